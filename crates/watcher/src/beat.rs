//! Heartbeats to the control leader.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use api::{HeartbeatReply, path};
use rpc::{Client, RpcError};
use slog::{Logger, info, warn};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until, timeout};

use crate::peers::Peers;
use crate::{Beat, Contact, View, WatcherSettings, heartbeat};

/// Time limit of one heartbeat; below the lease, so that two tries fit into it.
const LIMIT: Duration = Duration::from_millis(1500);

/// Wait after a failed heartbeat; a new leader has to be found within the lease.
const RETRY: Duration = Duration::from_millis(150);

/// Longest time spent on the last heartbeat.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);

pub(crate) struct Sender {
    settings: Arc<WatcherSettings>,
    client: Client,
    log: Logger,
    view: watch::Receiver<Arc<View>>,
    beat: Box<dyn Fn() -> Beat + Send + Sync>,
    peers: Mutex<Peers>,
    wake: Notify,
    left: AtomicBool,
}

impl std::fmt::Debug for Sender {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Sender")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl Sender {
    pub(crate) fn new(
        settings: Arc<WatcherSettings>,
        client: Client,
        log: Logger,
        view: watch::Receiver<Arc<View>>,
        beat: Box<dyn Fn() -> Beat + Send + Sync>,
    ) -> Self {
        let peers = Mutex::new(Peers::new(Arc::clone(&settings.control), 0));
        Self {
            settings,
            client,
            log,
            view,
            beat,
            peers,
            wake: Notify::new(),
            left: AtomicBool::new(false),
        }
    }

    pub(crate) async fn run(self: Arc<Self>, contact: watch::Sender<Contact>) {
        let mut reachable = true;
        // A heartbeat after the leave would join again.
        while !self.left.load(Ordering::Acquire) {
            let start = Instant::now();
            let result = self.send(false).await;
            let wait = match &result {
                Ok(reply) => {
                    self.settings.control.set_members(&reply.replicas);
                    contact.send_modify(|last| {
                        last.order = reply.order;
                        last.known = reply.known;
                        last.answers += 1;
                    });
                    self.settings.interval
                }
                Err(_) => RETRY,
            };
            self.report(&result, &mut reachable);
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
                tokio::time::sleep(RETRY).await;
            }
        };
        if timeout(LEAVE_LIMIT, attempts).await.is_err() {
            warn!(
                self.log,
                "control did not confirm the leave; the lease ends by itself"
            );
        }
    }

    async fn send(&self, leaving: bool) -> Result<HeartbeatReply, Option<RpcError>> {
        let peer = self.lock().get(Instant::now()).ok_or(None)?;
        let message = heartbeat(
            &self.settings,
            (self.beat)(),
            &self.view.borrow().clone(),
            leaving,
        );
        let result = self
            .client
            .post(peer, path::HEARTBEAT, &message, LIMIT)
            .await;
        if let Err(error) = &result {
            self.lock().failed(error, Instant::now());
        }
        result.map_err(Some)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn report(&self, result: &Result<HeartbeatReply, Option<RpcError>>, reachable: &mut bool) {
        match result {
            Ok(_) if !*reachable => info!(self.log, "control leader answers again"),
            Err(Some(error)) if *reachable => {
                warn!(self.log, "control leader does not answer; going on with the last tables"; "error" => %error);
            }
            _ => {}
        }
        *reachable = result.is_ok();
    }
}
