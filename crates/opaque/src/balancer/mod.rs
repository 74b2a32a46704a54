//! Runs the balancer for opaque flows.

mod outcome;
mod packet_loop;
mod report;
mod settings;
mod stats;

use std::sync::Arc;
use std::time::Duration;

use api::{Role, Scope};
use dispatch::{Directory, DispatchSettings, Dispatcher, LinkSettings};
use rpc::{Client, Key};
use slog::{Logger, info};
use startup::Telemetry;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use watcher::{HeartbeatPayload, Replicas, View, Watcher};
use wire::Codec;

use crate::telemetry::LoopTelemetry;
use crate::{OpaqueError, new_incarnation, socket};
use packet_loop::PacketLoop;
pub use settings::BalancerSettings;
pub use stats::BalancerStats;

/// Time without packets after which a stopping balancer exits.
const QUIET_PERIOD: Duration = Duration::from_millis(700);

/// A running balancer.
#[derive(Debug)]
pub struct Balancer {
    watcher: Watcher,
    replicas: Arc<Replicas>,
    directory: watch::Receiver<Arc<Directory>>,
    stats: Arc<BalancerStats>,
}

impl Balancer {
    /// Opens the sockets and starts the balancer.
    ///
    /// # Errors
    /// If an address can't be bound.
    pub fn start(
        settings: &BalancerSettings,
        codec: Codec,
        telemetry: &Telemetry,
    ) -> Result<Self, OpaqueError> {
        let log = &telemetry.log;
        let key = Key::from_public_name(&settings.identity.deployment);
        let packet_socket = socket::open(settings.packets, "packets")?;
        let notice_socket = socket::open(settings.notices, "notices")?;
        let replicas = Arc::new(Replicas::new(settings.identity.control.clone()));
        let scope = Scope::Region(settings.identity.region);
        let watcher = Watcher::start(
            settings.identity.watcher(
                Role::Balancer,
                scope,
                new_incarnation(),
                Arc::clone(&replicas),
            ),
            Client::new(key.clone()),
            log.clone(),
            HeartbeatPayload::default,
        );
        let (directory_sender, directory) = watch::channel(Arc::new(Directory::default()));
        tokio::spawn(update_directory(
            watcher.view(),
            watcher.reader().read_at(),
            directory_sender,
            log.clone(),
        ));
        let stats = Arc::new(BalancerStats::default());
        let link = LinkSettings {
            bytes_per_second: (settings.link_mbps.unwrap_or(0.0) * 125_000.0) as u64,
            full_segment_bytes: codec.full_segment_bytes,
            window_bytes: codec.window_bytes,
            ..LinkSettings::default()
        };
        let dispatcher = Dispatcher::new(
            DispatchSettings {
                link,
                syn_copies: codec.syn_copies,
                ..DispatchSettings::default()
            },
            settings.notices,
            settings.identity.centre.clone(),
            Instant::now(),
        );
        let packet_loop = PacketLoop {
            codec,
            key,
            packet_socket,
            notice_socket,
            dispatcher,
            directory: directory.clone(),
            view_confirmed: watcher.confirmed_at(),
            reader: watcher.reader(),
            caller_port: settings.packets.port(),
            stats: Arc::clone(&stats),
            telemetry: LoopTelemetry::new(telemetry, Instant::now()),
        };
        tokio::spawn(packet_loop.run());
        Ok(Self {
            watcher,
            replicas,
            directory,
            stats,
        })
    }

    /// Whether the balancer has received its routes and can forward packets.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.directory.borrow().config_version().0 > 0
    }

    /// Control replicas; a settings reload updates their addresses here.
    #[must_use]
    pub fn replicas(&self) -> &Replicas {
        &self.replicas
    }

    /// Counters of this balancer.
    #[must_use]
    pub fn stats(&self) -> &BalancerStats {
        &self.stats
    }

    /// Tells control that this balancer leaves, then forwards packets until none arrive for
    /// a quiet period, but at most for `limit`.
    pub async fn stop(&self, limit: Duration) {
        let end = Instant::now() + limit;
        self.watcher.leave().await;
        let mut previous = self.stats.received();
        while Instant::now() < end {
            sleep(QUIET_PERIOD.min(end - Instant::now())).await;
            let received = self.stats.received();
            if received == previous {
                return;
            }
            previous = received;
        }
    }
}

/// Builds a new directory for each view and each linearizable read.
async fn update_directory(
    mut view: watch::Receiver<Arc<View>>,
    mut read_at: watch::Receiver<Option<Instant>>,
    sender: watch::Sender<Arc<Directory>>,
    log: Logger,
) {
    let mut last = None;
    loop {
        let changed = tokio::select! {
            changed = view.changed() => changed,
            changed = read_at.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
        // In this order: a view that is taken after the time of a read includes the read.
        let read_at = *read_at.borrow_and_update();
        let newest = Arc::clone(&view.borrow_and_update());
        let mut directory = Directory::clone(&sender.borrow());
        if last.as_ref().is_none_or(|last| !Arc::ptr_eq(&newest, last)) {
            directory = directory.updated(&newest);
            info!(log, "configuration and tables applied"; "config" => newest.config.0,
                "routes" => directory.route_count(), "services" => newest.services.len());
            last = Some(newest);
        }
        sender.send_replace(Arc::new(directory.with_read_at(read_at)));
    }
}
