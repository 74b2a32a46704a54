//! Runs an experiment against processes that are already running.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::result::Collector;
use super::settings::offset;
use super::{Arrival, Experiment, Summary, arrivals};
use crate::backend::{Backend, BackendSettings};
use crate::caller::{Ask, Caller, HttpFlow, Outcome};
use crate::error::LoadError;
use crate::fabric::{Exit, Fabric, FabricSettings};

/// Longest wait until the deployment answers.
const START: Duration = Duration::from_secs(30);

/// Longest wait for an answer beyond its deadline.
const GRACE_MS: u64 = 2_000;

/// Time between two looks at the busy slots.
const SAMPLE: Duration = Duration::from_millis(50);

/// Connections opened at a time; more at once overflow the queues of the packet loops.
const BATCH: usize = 50;

/// Network of the callers' addresses.
const NET: u8 = 210;

struct Run {
    experiment: Experiment,
    caller: Caller,
    idle: Mutex<VecDeque<HttpFlow>>,
    collector: Mutex<Collector>,
    broken: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs an experiment.
///
/// # Errors
/// When a port is taken or the deployment does not answer.
pub async fn drive(experiment: &Experiment) -> Result<Summary, LoadError> {
    let usage = |message: &str| LoadError::Usage {
        what: experiment.name.clone(),
        message: message.into(),
    };
    let backends = backends(experiment).await?;
    let exits = (0..experiment.balancers).map(|index| Exit {
        address: experiment.loopback(offset::BALANCER, index).into(),
        delay_ms: experiment.delay_ms,
    });
    let fabric = Fabric::start(FabricSettings {
        listen: experiment.loopback(offset::FABRIC, 0).into(),
        balancers: exits.collect(),
        answer_ms: experiment.delay_ms,
        seed: experiment.seed,
        ..FabricSettings::default()
    })
    .map_err(LoadError::io("listen"))?;
    let collector = Collector::new(experiment).ok_or_else(|| usage("no histogram"))?;
    let run = Arc::new(Run {
        experiment: experiment.clone(),
        caller: Caller::new(fabric, NET, experiment.seed),
        idle: Mutex::default(),
        collector: Mutex::new(collector),
        broken: AtomicU64::new(0),
    });
    if !answers(&run).await {
        return Err(usage("the deployment does not answer"));
    }
    open_connections(&run).await;
    let before: Vec<u64> = backends
        .iter()
        .map(|b| b.record().summary().begun)
        .collect();
    let busy = play(&run, &backends).await;
    let begun = backends.iter().zip(&before);
    let begun = begun.map(|(backend, before)| backend.record().summary().begun - before);
    let begun = begun.collect();
    let broken = run.broken.load(Ordering::Relaxed);
    let empty = Collector::new(experiment).ok_or_else(|| usage("no histogram"))?;
    let (classes, seconds) = std::mem::replace(&mut *lock(&run.collector), empty).finish();
    Ok(Summary {
        capacity: experiment.capacity(),
        experiment: experiment.clone(),
        classes,
        seconds,
        busy_imbalance: imbalance(&busy),
        begun,
        broken,
    })
}

async fn backends(experiment: &Experiment) -> Result<Vec<Backend>, LoadError> {
    let mut out = Vec::new();
    for index in 0..experiment.hosts {
        let settings = BackendSettings {
            host: format!("{}-{}", experiment.service, index + 1).into(),
            listen: experiment.loopback(offset::BACKEND, index).into(),
            slots: experiment.slots,
            seed: experiment.seed + index as u64,
            ..BackendSettings::default()
        };
        out.push(
            Backend::start(settings)
                .await
                .map_err(LoadError::io("listen"))?,
        );
    }
    Ok(out)
}

/// Whether the deployment answers in time, on as many connections as there are hosts.
async fn answers(run: &Run) -> bool {
    let deadline = Instant::now() + START;
    let mut answered = 0;
    while Instant::now() < deadline {
        let ask = Ask {
            limit: Duration::from_secs(1),
            ..Ask::get(format!("start-{answered}"), "/")
        };
        let flow = HttpFlow::open(&run.caller, run.experiment.address).await;
        if let Ok(mut flow) = flow
            && flow.ask(&ask).await.0 == Outcome::Complete
        {
            answered += 1;
        }
        if answered >= run.experiment.hosts * 2 {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    false
}

async fn open_connections(run: &Run) {
    for number in 0..run.experiment.connections {
        if let Ok(flow) = HttpFlow::open(&run.caller, run.experiment.address).await {
            lock(&run.idle).push_back(flow);
        }
        if number % BATCH == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    // Handshakes end while nothing else goes on.
    tokio::time::sleep(Duration::from_millis(500)).await;
}

/// Sends every request at its time; returns the sums of busy slots by host.
async fn play(run: &Arc<Run>, backends: &[Backend]) -> Vec<u64> {
    let all = arrivals(&run.experiment);
    let bar = ProgressBar::new(all.len() as u64);
    let style = ProgressStyle::with_template("{prefix} {bar:40} {pos}/{len} {elapsed}");
    if let Ok(style) = style {
        bar.set_style(style);
    }
    bar.set_prefix(run.experiment.name.to_string());
    let over = AtomicBool::new(false);
    let send = async {
        let start = Instant::now();
        let mut tasks = JoinSet::new();
        for (number, arrival) in all.into_iter().enumerate() {
            tokio::time::sleep_until(start + arrival.at).await;
            tasks.spawn(one(Arc::clone(run), number, arrival, start + arrival.at));
            while tasks.try_join_next().is_some() {}
            bar.inc(1);
        }
        while tasks.join_next().await.is_some() {}
        over.store(true, Ordering::Relaxed);
    };
    let sample = async {
        let mut sums = vec![0; backends.len()];
        while !over.load(Ordering::Relaxed) {
            for (sum, backend) in sums.iter_mut().zip(backends) {
                *sum += backend.record().summary().busy;
            }
            tokio::time::sleep(SAMPLE).await;
        }
        sums
    };
    let ((), sums) = tokio::join!(send, sample);
    bar.finish_and_clear();
    sums
}

async fn one(run: Arc<Run>, number: usize, arrival: Arrival, due: Instant) {
    let class = &run.experiment.classes[arrival.class];
    let id = format!("{}-{number}", run.experiment.name);
    let method = class.method.parse().unwrap_or(http::Method::GET);
    let ask = Ask {
        method,
        size: class.size,
        service_ms: Some(arrival.service_ms),
        deadline_ms: Some(class.deadline_ms),
        body: vec![1; class.upload].into(),
        limit: Duration::from_millis(class.deadline_ms + GRACE_MS),
        ..Ask::get(id, &class.path)
    };
    let idle = lock(&run.idle).pop_front();
    let flow = match idle {
        Some(flow) => Ok(flow),
        None => HttpFlow::open(&run.caller, run.experiment.address).await,
    };
    let Ok(mut flow) = flow else {
        return lock(&run.collector).add(arrival, Outcome::Broken, 0);
    };
    let (outcome, _) = flow.ask(&ask).await;
    let micros = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
    lock(&run.collector).add(arrival, outcome, micros);
    if flow.is_open() && !matches!(outcome, Outcome::Broken | Outcome::Late) {
        lock(&run.idle).push_back(flow);
    } else {
        run.broken.fetch_add(1, Ordering::Relaxed);
        if let Ok(flow) = HttpFlow::open(&run.caller, run.experiment.address).await {
            lock(&run.idle).push_back(flow);
        }
    }
}

/// Maximum over mean.
fn imbalance(sums: &[u64]) -> f64 {
    let most = sums.iter().copied().max().unwrap_or(0);
    let mean = sums.iter().sum::<u64>() as f64 / sums.len().max(1) as f64;
    if mean > 0.0 { most as f64 / mean } else { 1.0 }
}
