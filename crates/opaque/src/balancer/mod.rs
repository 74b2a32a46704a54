//! Balancer for opaque flows.

mod outcome;
mod packets;
mod settings;
mod stats;

use std::sync::Arc;
use std::time::Duration;

use api::{Role, Scope};
use dispatch::{Directory, Dispatch, DispatchSettings, LinkSettings};
use rpc::{Client, Key};
use slog::{Logger, info};
use startup::Telemetry;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use watcher::{Beat, Replicas, View, Watcher};
use wire::Codec;

use crate::tally::Tally;
use crate::{OpaqueError, incarnation, socket};
use packets::Packets;
pub use settings::BalancerSettings;
pub use stats::BalancerStats;

/// Time without packets after which a stopping balancer ends.
const QUIET: Duration = Duration::from_millis(700);

/// A running balancer.
#[derive(Debug)]
pub struct Balancer {
    watcher: Watcher,
    replicas: Arc<Replicas>,
    directory: watch::Receiver<Arc<Directory>>,
    stats: Arc<BalancerStats>,
}

impl Balancer {
    /// Opens the sockets and starts.
    ///
    /// # Errors
    /// When an address can't be bound.
    pub fn start(
        settings: &BalancerSettings,
        codec: Codec,
        telemetry: &Telemetry,
    ) -> Result<Self, OpaqueError> {
        let log = &telemetry.log;
        let key = Key::from_public_name(&settings.identity.deployment);
        let packets = socket::open(settings.packets, "packets")?;
        let notices = socket::open(settings.notices, "notices")?;
        let replicas = Arc::new(Replicas::new(settings.identity.control.clone()));
        let scope = Scope::Region(settings.identity.region);
        let watcher = Watcher::start(
            settings
                .identity
                .watcher(Role::Balancer, scope, incarnation(), Arc::clone(&replicas)),
            Client::new(key.clone()),
            log.clone(),
            Beat::default,
        );
        let (directory_out, directory) = watch::channel(Arc::new(Directory::default()));
        tokio::spawn(follow(watcher.view(), directory_out, log.clone()));
        let stats = Arc::new(BalancerStats::default());
        let link = LinkSettings {
            rate: (settings.link_mbps.unwrap_or(0.0) * 125_000.0) as u64,
            full: codec.full,
            window: codec.window,
            ..LinkSettings::default()
        };
        let dispatch = Dispatch::new(
            DispatchSettings {
                link,
                ..DispatchSettings::default()
            },
            settings.notices,
            settings.identity.centre.clone(),
            Instant::now(),
        );
        let worker = Packets {
            codec,
            key,
            packets,
            notices,
            dispatch,
            directory: directory.clone(),
            heard: watcher.heard(),
            callers: settings.packets.port(),
            stats: Arc::clone(&stats),
            tally: Tally::new(telemetry, Instant::now()),
        };
        tokio::spawn(worker.run());
        Ok(Self {
            watcher,
            replicas,
            directory,
            stats,
        })
    }

    /// Whether it has routes, so that it can send packets on.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.directory.borrow().config().0 > 0
    }

    /// Control replicas; changed settings go there.
    #[must_use]
    pub fn replicas(&self) -> &Replicas {
        &self.replicas
    }

    /// Counters.
    #[must_use]
    pub fn stats(&self) -> &BalancerStats {
        &self.stats
    }

    /// Tells control, and sends packets on until none come, at most for `limit`.
    pub async fn stop(&self, limit: Duration) {
        let end = Instant::now() + limit;
        self.watcher.leave().await;
        let mut before = self.stats.received();
        while Instant::now() < end {
            sleep(QUIET.min(end - Instant::now())).await;
            let after = self.stats.received();
            if after == before {
                return;
            }
            before = after;
        }
    }
}

/// Keeps the directory current.
async fn follow(
    mut view: watch::Receiver<Arc<View>>,
    out: watch::Sender<Arc<Directory>>,
    log: Logger,
) {
    while view.changed().await.is_ok() {
        let newest = Arc::clone(&view.borrow_and_update());
        let directory = out.borrow().updated(&newest);
        info!(log, "view in force"; "config" => newest.config.0,
            "routes" => directory.routes(), "services" => newest.services.len());
        out.send_replace(Arc::new(directory));
    }
}
