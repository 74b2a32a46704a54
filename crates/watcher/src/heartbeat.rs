//! Heartbeats to the control leader.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use api::{Heartbeat, HeartbeatReply, path};
use rpc::{Client, RpcError};
use slog::{Logger, info, warn};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until, timeout};

use crate::replica_selector::ReplicaSelector;
use crate::{ControlStatus, HeartbeatPayload, View, WatcherSettings};

/// Time limit of one heartbeat; short enough for two attempts within the lease.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

/// Delay after a failed heartbeat; a new leader has to be found within the lease.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time limit of all attempts to send the leave.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

pub(crate) struct HeartbeatSender {
    settings: Arc<WatcherSettings>,
    client: Client,
    log: Logger,
    view: watch::Receiver<Arc<View>>,
    payload: Box<dyn Fn() -> HeartbeatPayload + Send + Sync>,
    replicas: Mutex<ReplicaSelector>,
    wake: Notify,
    left: AtomicBool,
}

impl std::fmt::Debug for HeartbeatSender {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HeartbeatSender")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl HeartbeatSender {
    pub(crate) fn new(
        settings: Arc<WatcherSettings>,
        client: Client,
        log: Logger,
        view: watch::Receiver<Arc<View>>,
        payload: Box<dyn Fn() -> HeartbeatPayload + Send + Sync>,
    ) -> Self {
        let replicas = Mutex::new(ReplicaSelector::new(Arc::clone(&settings.control), 0));
        Self {
            settings,
            client,
            log,
            view,
            payload,
            replicas,
            wake: Notify::new(),
            left: AtomicBool::new(false),
        }
    }

    pub(crate) async fn run(self: Arc<Self>, status_out: watch::Sender<ControlStatus>) {
        let mut reachable = true;
        // A heartbeat after the leave would make this node join again.
        while !self.left.load(Ordering::Acquire) {
            let start = Instant::now();
            let result = self.send(false).await;
            let wait = match &result {
                Ok(reply) => {
                    self.settings.control.set_members(&reply.replicas);
                    status_out.send_modify(|status| {
                        status.order = reply.order;
                        status.service_known = reply.known;
                        status.replies += 1;
                    });
                    self.settings.heartbeat_interval
                }
                Err(_) => RETRY_DELAY,
            };
            self.log_reachability(&result, &mut reachable);
            tokio::select! {
                () = sleep_until(start + wait) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }

    pub(crate) async fn leave(&self) {
        self.left.store(true, Ordering::Release);
        let attempts = async {
            while self.send(true).await.is_err() {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        };
        if timeout(LEAVE_TIMEOUT, attempts).await.is_err() {
            warn!(
                self.log,
                "control did not confirm the leave; the lease will expire"
            );
        }
    }

    async fn send(&self, leaving: bool) -> Result<HeartbeatReply, Option<RpcError>> {
        let peer = self.lock().select().ok_or(None)?;
        let message = self.message(leaving);
        let result = self
            .client
            .post(peer, path::HEARTBEAT, &message, REQUEST_TIMEOUT)
            .await;
        match &result {
            Ok(_) => self.lock().prefer(peer),
            Err(error) => self.lock().record_failure(error, Instant::now()),
        }
        result.map_err(Some)
    }

    fn message(&self, leaving: bool) -> Heartbeat {
        let payload = (self.payload)();
        let settings = &self.settings;
        Heartbeat {
            host: settings.host.clone(),
            role: settings.role,
            region: settings.region,
            centre: settings.centre.clone(),
            incarnation: settings.incarnation,
            config: self.view.borrow().config,
            flows: payload.flows,
            backend: payload.backend,
            leaving,
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ReplicaSelector> {
        self.replicas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn log_reachability(
        &self,
        result: &Result<HeartbeatReply, Option<RpcError>>,
        reachable: &mut bool,
    ) {
        match result {
            Ok(_) if !*reachable => info!(self.log, "control leader replies again"),
            Err(Some(error)) if *reachable => {
                warn!(self.log, "control leader does not reply; continuing with the last tables"; "error" => %error);
            }
            _ => {}
        }
        *reachable = result.is_ok();
    }
}
