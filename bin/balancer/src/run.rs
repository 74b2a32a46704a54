//! Start, work and stop of a balancer.

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

/// Time between two sets of metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Time without packets after which a stopping balancer ends.
const QUIET: Duration = Duration::from_secs(1);

/// Runs until a stop request.
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
        sockets.push(forward::open(settings.packets, settings.workers > 1)?);
    }
    let watcher = Watcher::start(
        watcher_settings(&settings),
        Client::new(key.clone()).with_address_overrides(&settings.routes),
        log.clone(),
        HeartbeatPayload::default,
    );
    let (routes_out, routes) = watch::channel(Arc::new(Routes::default()));
    tokio::spawn(follow(watcher.view(), routes_out, log.clone()));
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
    tokio::spawn(emit(telemetry.metrics.clone(), Arc::clone(&stats)));
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
        "stopping; packets are sent on until the fabric sends no more"
    );
    let linger = settings.linger_ms.duration();
    tokio::select! {
        () = stop_gracefully(&watcher, &stats, linger) => info!(log, "stopped"),
        () = stop.immediate() => info!(log, "stopped at once"),
    }
    Ok(())
}

fn watcher_settings(settings: &Settings) -> WatcherSettings {
    let started = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WatcherSettings {
        control: Arc::new(Replicas::new(settings.control.clone())),
        region: settings.region,
        incarnation: Incarnation(Millis::from(started).0),
        ..WatcherSettings::new(
            settings.host.clone(),
            Role::Balancer,
            settings.centre.clone(),
            Scope::Region(settings.region),
        )
    }
}

async fn stop_gracefully(watcher: &Watcher, stats: &Stats, linger: Duration) {
    watcher.leave().await;
    forward::settle(&stats.received, QUIET, linger).await;
}

async fn follow(
    mut view: watch::Receiver<Arc<View>>,
    out: watch::Sender<Arc<Routes>>,
    log: Logger,
) {
    while view.changed().await.is_ok() {
        let newest = Arc::clone(&view.borrow_and_update());
        let held = Arc::clone(&out.borrow());
        // A large service's lookup table takes longer than packets may wait.
        let built = tokio::task::spawn_blocking(move || (held.updated(&newest), newest)).await;
        let Ok((routes, newest)) = built else {
            continue;
        };
        slog::debug!(log, "routes updated"; "config" => newest.config.0, "services" => newest.services.len());
        out.send_replace(Arc::new(routes));
    }
}

async fn emit(metrics: Metrics, counters: Arc<Stats>) {
    let mut before = stats::Snapshot::default();
    loop {
        tokio::time::sleep(METRICS_INTERVAL).await;
        let after = counters.snapshot();
        stats::emit(&metrics, &before, &after);
        before = after;
    }
}
