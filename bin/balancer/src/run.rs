//! Startup, tasks and shutdown of the balancer.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use api::{Role, Scope};
use rpc::{Client, Key};
use slog::{Logger, info};
use startup::{Metrics, Stop, Telemetry};
use tokio::sync::watch;
use units::{Incarnation, Millis};
use watcher::{HeartbeatPayload, Replicas, View, Watcher, WatcherSettings};

use crate::cli::Balancer;
use crate::error::BalancerError;
use crate::forward::{self, Worker};
use crate::http::{self, Context};
use crate::routes::Routes;
use crate::settings::{self, Settings};
use crate::stats::{self, Stats};

/// Interval between two reports of metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Time without packets after which a stopping balancer exits.
const IDLE_PERIOD: Duration = Duration::from_secs(1);

/// Runs the balancer until a stop signal.
///
/// # Errors
/// When the settings are invalid or an address can't be bound.
pub fn run(options: &Balancer) -> Result<(), BalancerError> {
    let settings = settings::load(&options.settings)?;
    let key = Key::read(&settings.key_file)?;
    if options.check {
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.workers + 1)
        .enable_all()
        .build()
        .map_err(BalancerError::Runtime)?;
    runtime.block_on(serve(settings, key))
}

async fn serve(settings: Settings, key: Key) -> Result<(), BalancerError> {
    let host = settings.host.as_str();
    let telemetry = Telemetry::start(&settings.log, &settings.metrics, "balancer", host)?;
    let log = telemetry.log.clone();
    let mut stop = Stop::listen()?;
    let stats = Arc::new(Stats::default());
    let mut sockets = Vec::new();
    for _ in 0..settings.workers {
        sockets.push(forward::bind_socket(
            settings.packets,
            settings.workers > 1,
        )?);
    }
    let watcher = Watcher::start(
        watcher_settings(&settings),
        Client::new(key.clone()).with_address_overrides(&settings.routes),
        log.clone(),
        HeartbeatPayload::default,
    );
    let (routes_sender, routes) = watch::channel(Arc::new(Routes::default()));
    tokio::spawn(update_routes(watcher.view(), routes_sender, log.clone()));
    for socket in sockets {
        let worker = Worker::new(
            socket,
            key.clone(),
            settings.cache,
            routes.clone(),
            Arc::clone(&stats),
        );
        tokio::spawn(worker.run());
    }
    tokio::spawn(report_metrics(
        telemetry.metrics.clone(),
        Arc::clone(&stats),
    ));
    let context = Context {
        stats: Arc::clone(&stats),
        view: watcher.view(),
    };
    let _server = settings
        .http
        .map(|address| http::start(address, context, &log))
        .transpose()?;
    info!(log, "ready"; "packets" => %settings.packets);

    stop.graceful().await;
    info!(
        log,
        "stopping; forwarding packets until the fabric stops sending"
    );
    let timeout = settings.linger_ms.duration();
    tokio::select! {
        () = stop_gracefully(&watcher, &stats, timeout) => info!(log, "stopped"),
        () = stop.immediate() => info!(log, "stopped at once"),
    }
    Ok(())
}

fn watcher_settings(settings: &Settings) -> WatcherSettings {
    let start_time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WatcherSettings {
        control: Arc::new(Replicas::new(settings.control.clone())),
        region: settings.region,
        incarnation: Incarnation(Millis::from(start_time).0),
        ..WatcherSettings::new(
            settings.host.clone(),
            Role::Balancer,
            settings.centre.clone(),
            Scope::Region(settings.region),
        )
    }
}

async fn stop_gracefully(watcher: &Watcher, stats: &Stats, timeout: Duration) {
    watcher.leave().await;
    forward::wait_until_idle(&stats.received, IDLE_PERIOD, timeout).await;
}

async fn update_routes(
    mut views: watch::Receiver<Arc<View>>,
    sender: watch::Sender<Arc<Routes>>,
    log: Logger,
) {
    while views.changed().await.is_ok() {
        let view = Arc::clone(&views.borrow_and_update());
        let previous = Arc::clone(&sender.borrow());
        // Building the lookup table of a large service would block a thread that forwards packets.
        let updated = tokio::task::spawn_blocking(move || (previous.updated(&view), view)).await;
        let Ok((routes, view)) = updated else {
            continue;
        };
        slog::debug!(log, "routes updated"; "config" => view.config.0, "services" => view.services.len());
        sender.send_replace(Arc::new(routes));
    }
}

async fn report_metrics(metrics: Metrics, stats: Arc<Stats>) {
    let mut previous = stats::Snapshot::default();
    loop {
        tokio::time::sleep(METRICS_INTERVAL).await;
        let current = stats.snapshot();
        stats::send_metrics(&metrics, &previous, &current);
        previous = current;
    }
}
