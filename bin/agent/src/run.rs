//! Start, work and stop of an agent.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use api::{Order, Role, Scope};
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use requests::{Handler, HandlerSettings};
use rpc::{Client, Key};
use slog::{Logger, info, warn};
use startup::{Metrics, Stop, Telemetry};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};
use units::Incarnation;
use watcher::{ControlStatus, Replicas, Watcher, WatcherSettings};

use crate::burn::Burn;
use crate::cli::Agent;
use crate::error::AgentError;
use crate::http::{self, Context};
use crate::packets::{self, Command, Packets};
use crate::settings::{self, Settings};
use crate::shared::{Shared, unix_time};
use crate::{health, siblings, stats};

/// Time between two sets of metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two looks at whether the flows have ended.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time for the last counts.
const LAST_COUNTS: Duration = Duration::from_secs(2);

/// Time in which the RST packets of ended flows leave.
const ABORT_TIME: Duration = Duration::from_millis(200);

/// Commands that wait for the packet loop.
const COMMANDS: usize = 64;

/// Most threads; the backend server on the same VM needs the rest.
const MAX_THREADS: usize = 4;

/// Runs until a stop request.
///
/// # Errors
/// When the settings are invalid or an address can't be bound.
pub fn run(options: &Agent) -> Result<(), AgentError> {
    let settings = settings::load(&options.settings)?;
    let key = Key::read(&settings.key_file)?;
    if options.check {
        return Ok(());
    }
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads.min(MAX_THREADS))
        .enable_all()
        .build()
        .map_err(AgentError::Runtime)?;
    runtime.block_on(serve(settings, key))
}

async fn serve(settings: Settings, key: Key) -> Result<(), AgentError> {
    let host = settings.host.as_str();
    let telemetry = Telemetry::start(&settings.log, &settings.metrics, "agent", host)?;
    let log = telemetry.log.clone();
    let mut stop = Stop::listen()?;
    raise_file_limit(&log);
    let socket = packets::open(settings.packets)?;
    let address = settings.http;
    let client = Client::new(key.clone()).with_address_overrides(&settings.routes);
    let shared = Arc::new(shared(settings, &client, &key, &log));
    let for_beat = Arc::clone(&shared);
    let watcher = Arc::new(Watcher::start(
        watcher_settings(&shared),
        client.clone(),
        log.clone(),
        move || for_beat.beat(),
    ));
    let context = Context {
        shared: Arc::clone(&shared),
        key: key.clone(),
        view: watcher.view(),
    };
    let _server = http::start(address.into(), context, &log)?;

    let (commands, receiver) = mpsc::channel(COMMANDS);
    let packets = Packets::new(
        socket,
        key,
        Arc::clone(&shared),
        rand::random(),
        log.clone(),
    );
    tokio::spawn(packets.run(watcher.view(), receiver));
    tokio::spawn(health::run(
        Arc::clone(&shared),
        Arc::clone(&watcher),
        log.clone(),
    ));
    tokio::spawn(siblings::run(
        Arc::clone(&shared),
        client.clone(),
        watcher.view(),
        commands.clone(),
    ));
    tokio::spawn(follow_orders(
        Arc::clone(&shared),
        watcher.control_status(),
        log.clone(),
    ));
    tokio::spawn(emit(telemetry.metrics.clone(), Arc::clone(&shared)));
    let (end_counts, counts_ended) = oneshot::channel::<()>();
    let burn = Burn::new(Arc::clone(&shared), client, log.clone());
    let burn = tokio::spawn(burn.run(async {
        // The sender is dropped at the end in any case.
        let _ = counts_ended.await;
    }));
    info!(log, "ready"; "packets" => %shared.settings.packets, "http" => %address,
        "incarnation" => shared.incarnation.0);

    stop.graceful().await;
    info!(log, "draining"; "flows" => shared.open.load(Ordering::Relaxed));
    shared.change_standing(|standing| standing.stop());
    watcher.send_heartbeat_now();
    let leave = async {
        drain(&shared, &commands, &log).await;
        drop(end_counts);
        if timeout(LAST_COUNTS, burn).await.is_err() {
            warn!(log, "control did not acknowledge the last counts");
        }
        watcher.leave().await;
    };
    tokio::select! {
        () = leave => info!(log, "stopped"),
        () = stop.immediate() => {
            abort(&commands).await;
            info!(log, "stopped at once");
        }
    }
    Ok(())
}

fn shared(settings: Settings, client: &Client, key: &Key, log: &Logger) -> Shared {
    let incarnation = settings
        .incarnation
        .unwrap_or_else(|| Incarnation(unix_time().0));
    let (service, host) = (settings.service.clone(), settings.host.clone());
    let handler_settings = HandlerSettings {
        incarnation,
        slots: settings.slots,
        seed: rand::random(),
        ..HandlerSettings::new(service, host, settings.backend)
    };
    let handler = Handler::new(handler_settings, client.clone(), key.clone(), log.clone());
    Shared::new(settings, incarnation, handler)
}

fn watcher_settings(shared: &Shared) -> WatcherSettings {
    let settings = &shared.settings;
    WatcherSettings {
        control: Arc::new(Replicas::new(settings.control.clone())),
        region: settings.region,
        incarnation: shared.incarnation,
        ..WatcherSettings::new(
            settings.host.clone(),
            Role::Agent,
            settings.centre.clone(),
            Scope::Service(settings.service.clone()),
        )
    }
}

/// Each flow of a `tcp` service needs a file descriptor for the backend server.
fn raise_file_limit(log: &Logger) {
    let raised = getrlimit(Resource::RLIMIT_NOFILE)
        .and_then(|(_, hard)| setrlimit(Resource::RLIMIT_NOFILE, hard, hard));
    if let Err(error) = raised {
        warn!(log, "cannot raise the limit of open files"; "error" => %error);
    }
}

/// Waits until every flow ended, or until the profile's limit.
async fn drain(shared: &Shared, commands: &mpsc::Sender<Command>, log: &Logger) {
    let keep = shared
        .service
        .borrow()
        .as_ref()
        .map_or(Duration::ZERO, |s| s.profile.drain.keep_ms.duration());
    let start = Instant::now();
    loop {
        let open = shared.open.load(Ordering::Relaxed);
        if open == 0 && shared.handler.active_requests() == 0 {
            return;
        }
        if !keep.is_zero() && start.elapsed() >= keep {
            warn!(log, "flows are ended by the profile's limit"; "flows" => open);
            return abort(commands).await;
        }
        sleep(DRAIN_INTERVAL).await;
    }
}

async fn abort(commands: &mpsc::Sender<Command>) {
    if commands.send(Command::Abort).await.is_ok() {
        sleep(ABORT_TIME).await;
    }
}

/// Drains while a planned change lasts and takes new flows again after it.
async fn follow_orders(
    shared: Arc<Shared>,
    mut contact: watch::Receiver<ControlStatus>,
    log: Logger,
) {
    let mut before = Order::Serve;
    while contact.changed().await.is_ok() {
        let order = contact.borrow_and_update().order;
        if order != before {
            before = order;
            info!(log, "order from control"; "order" => ?order);
            shared.change_standing(|standing| standing.set_ordered(order == Order::Drain));
        }
    }
}

async fn emit(metrics: Metrics, shared: Arc<Shared>) {
    let mut before = stats::Snapshot::default();
    loop {
        sleep(METRICS_INTERVAL).await;
        let after = shared.stats.snapshot();
        stats::emit(&metrics, &before, &after);
        before = after;
    }
}
