//! Startup, tasks and shutdown of the agent.

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

use crate::burn::BurnReporter;
use crate::cli::Agent;
use crate::error::AgentError;
use crate::http::{self, Context};
use crate::packets::{self, Command, PacketLoop};
use crate::settings::{self, Settings};
use crate::shared::{SharedState, unix_time};
use crate::{health, siblings, stats};

/// Interval between two reports of metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of the checks whether all flows have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time for sending the final burn counts.
const FINAL_COUNTS_TIMEOUT: Duration = Duration::from_secs(2);

/// Time in which the RST packets of aborted flows are sent.
const ABORT_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of commands queued for the packet loop.
const COMMAND_QUEUE: usize = 64;

/// Maximum number of worker threads; the backend server on the same VM needs the other cores.
const MAX_THREADS: usize = 4;

/// Runs the agent until a stop signal.
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
    let socket = packets::bind_socket(settings.packets)?;
    let address = settings.http;
    let client = Client::new(key.clone()).with_address_overrides(&settings.routes);
    let shared = Arc::new(create_shared_state(settings, &client, &key, &log));
    let heartbeat_state = Arc::clone(&shared);
    let watcher = Arc::new(Watcher::start(
        watcher_settings(&shared),
        client.clone(),
        log.clone(),
        move || heartbeat_state.heartbeat(),
    ));
    let context = Context {
        shared: Arc::clone(&shared),
        key: key.clone(),
        view: watcher.view(),
    };
    let _server = http::start(address.into(), context, &log)?;

    let (commands, receiver) = mpsc::channel(COMMAND_QUEUE);
    let packet_loop = PacketLoop::new(
        socket,
        key,
        Arc::clone(&shared),
        watcher.reader(),
        rand::random(),
        log.clone(),
    );
    tokio::spawn(packet_loop.run(watcher.view(), receiver));
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
    tokio::spawn(apply_orders(
        Arc::clone(&shared),
        watcher.control_status(),
        log.clone(),
    ));
    tokio::spawn(report_metrics(
        telemetry.metrics.clone(),
        Arc::clone(&shared),
    ));
    let (stop_burn, burn_stopped) = oneshot::channel::<()>();
    let burn_reporter = BurnReporter::new(Arc::clone(&shared), client, log.clone());
    let burn_task = tokio::spawn(burn_reporter.run(async {
        // Resolves with an error when the sender is dropped.
        let _ = burn_stopped.await;
    }));
    info!(log, "ready"; "packets" => %shared.settings.packets, "http" => %address,
        "incarnation" => shared.incarnation.0);

    stop.graceful().await;
    info!(log, "draining"; "flows" => shared.open_flows.load(Ordering::Relaxed));
    shared.update_status(|status| status.set_stopping());
    watcher.send_heartbeat_now();
    let leave = async {
        drain(&shared, &commands, &log).await;
        drop(stop_burn);
        if timeout(FINAL_COUNTS_TIMEOUT, burn_task).await.is_err() {
            warn!(log, "control did not acknowledge the final burn counts");
        }
        watcher.leave().await;
    };
    tokio::select! {
        () = leave => info!(log, "stopped"),
        () = stop.immediate() => {
            abort_flows(&commands).await;
            info!(log, "stopped at once");
        }
    }
    Ok(())
}

fn create_shared_state(
    settings: Settings,
    client: &Client,
    key: &Key,
    log: &Logger,
) -> SharedState {
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
    SharedState::new(settings, incarnation, handler)
}

fn watcher_settings(shared: &SharedState) -> WatcherSettings {
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

/// Raises the limit of open files: each flow of a `tcp` service needs a file descriptor for its
/// connection to the backend server.
fn raise_file_limit(log: &Logger) {
    let raised = getrlimit(Resource::RLIMIT_NOFILE)
        .and_then(|(_, hard)| setrlimit(Resource::RLIMIT_NOFILE, hard, hard));
    if let Err(error) = raised {
        warn!(log, "cannot raise the limit of open files"; "error" => %error);
    }
}

/// Waits until all flows and requests have ended, and aborts the flows when `drain.keep_ms` of the
/// profile, if it is not 0, has passed.
async fn drain(shared: &SharedState, commands: &mpsc::Sender<Command>, log: &Logger) {
    let keep_time = shared
        .service
        .borrow()
        .as_ref()
        .map_or(Duration::ZERO, |s| s.profile.drain.keep_ms.duration());
    let start = Instant::now();
    loop {
        let open = shared.open_flows.load(Ordering::Relaxed);
        if open == 0 && shared.handler.active_requests() == 0 {
            return;
        }
        if !keep_time.is_zero() && start.elapsed() >= keep_time {
            warn!(log, "drain limit of the profile reached; aborting flows"; "flows" => open);
            return abort_flows(commands).await;
        }
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

async fn abort_flows(commands: &mpsc::Sender<Command>) {
    if commands.send(Command::Abort).await.is_ok() {
        sleep(ABORT_DELAY).await;
    }
}

/// Drains while control orders it, and accepts new flows again afterwards.
async fn apply_orders(
    shared: Arc<SharedState>,
    mut contact: watch::Receiver<ControlStatus>,
    log: Logger,
) {
    let mut previous = Order::Serve;
    while contact.changed().await.is_ok() {
        let order = contact.borrow_and_update().order;
        if order != previous {
            previous = order;
            info!(log, "received an order from control"; "order" => ?order);
            shared.update_status(|status| status.set_drain_ordered(order == Order::Drain));
        }
    }
}

async fn report_metrics(metrics: Metrics, shared: Arc<SharedState>) {
    let mut previous = stats::Snapshot::default();
    loop {
        sleep(METRICS_INTERVAL).await;
        let current = shared.stats.snapshot();
        stats::send_metrics(&metrics, &previous, &current);
        previous = current;
    }
}
