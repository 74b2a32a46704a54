//! Traffic of the tests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use load::caller::{Ask, Caller, EchoFlow, EchoReport, HttpFlow, Outcome};
use load::ledger::Ledger;
use tokio::task::JoinSet;

use crate::{ECHO, LIMIT, WEB};

/// Time between the blocks of an echo flow.
const PACE: Duration = Duration::from_millis(50);

/// Opens echo flows and waits until all are established.
///
/// # Panics
/// When one is not established in time.
pub async fn echo_flows(caller: &Caller, count: usize) -> Vec<EchoFlow> {
    let mut flows = Vec::new();
    for _ in 0..count {
        flows.push(EchoFlow::start(caller, ECHO, PACE));
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    for flow in &mut flows {
        assert!(flow.established(LIMIT).await, "a flow is not established");
    }
    flows
}

/// Ends echo flows; returns their reports.
pub async fn finish(flows: Vec<EchoFlow>) -> Vec<Option<EchoReport>> {
    let tasks: JoinSet<_> = flows.into_iter().map(EchoFlow::finish).collect();
    tasks.join_all().await
}

/// Ends echo flows and checks that each one was kept.
///
/// # Panics
/// With the reports of those that were not.
pub async fn all_kept(flows: Vec<EchoFlow>) {
    let reports = finish(flows).await;
    let count = reports.len();
    let broken: Vec<_> = reports
        .into_iter()
        .filter(|report| !report.as_ref().is_some_and(EchoReport::is_kept))
        .collect();
    assert!(
        broken.is_empty(),
        "{} of {count} broken: {broken:?}",
        broken.len()
    );
}

/// Connections that send requests until they are stopped.
#[derive(Debug)]
pub struct Requests {
    /// What callers were told.
    pub ledger: Arc<Ledger>,
    /// Connections that ended before they were asked to.
    pub broken: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

impl Requests {
    /// Starts `count` connections; `next` makes the request of a connection and turn.
    #[must_use]
    pub fn start(
        caller: &Caller,
        count: usize,
        pause: Duration,
        next: impl Fn(usize, usize) -> Ask + Send + Sync + Clone + 'static,
    ) -> Self {
        let mut requests = Self {
            ledger: Arc::default(),
            broken: Arc::default(),
            stop: Arc::default(),
            tasks: JoinSet::new(),
        };
        for number in 0..count {
            let caller = caller.clone();
            let ledger = Arc::clone(&requests.ledger);
            let broken = Arc::clone(&requests.broken);
            let stop = Arc::clone(&requests.stop);
            let next = next.clone();
            requests.tasks.spawn(async move {
                let mut flow = HttpFlow::open(&caller, WEB).await;
                let mut turn = 0;
                while let Ok(open) = &mut flow
                    && !stop.load(Ordering::Relaxed)
                {
                    let ask = next(number, turn);
                    let (outcome, _) = open.ask(&ask).await;
                    ledger.add(&ask, outcome);
                    turn += 1;
                    if !open.is_open() || matches!(outcome, Outcome::Broken | Outcome::Late) {
                        broken.fetch_add(1, Ordering::Relaxed);
                        flow = HttpFlow::open(&caller, WEB).await;
                    }
                    tokio::time::sleep(pause).await;
                }
                if let Ok(open) = flow {
                    open.close(LIMIT).await;
                }
            });
        }
        requests
    }

    /// Lets each connection finish its request and closes it; returns how many broke.
    pub async fn stop(mut self) -> (Arc<Ledger>, u64) {
        self.stop.store(true, Ordering::Relaxed);
        while self.tasks.join_next().await.is_some() {}
        (self.ledger, self.broken.load(Ordering::Relaxed))
    }
}
