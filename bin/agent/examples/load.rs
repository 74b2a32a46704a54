//! Measures the cost of an agent by the number of open flows: `load [FLOWS]...`, in release mode.
//!
//! Needs the agent program in the parent folder of the example. Prints the CPU time of the agent
//! for a new flow and for an exchange of one message each way, and its memory per flow.

#[path = "../tests/harness/mod.rs"]
mod harness;

use std::time::Duration;

use api::MemberState;
use harness::{Agent, FlowEndTask, Harness, echo, finish, until};
use netstack::pipe::Pipe;
use serde_json::json;
use tokio::task::JoinSet;

/// Flows in use at the same time. With 100, packets overflowed the receive buffer of the fabric on
/// a busy machine, and each lost packet costs a timeout of 1 s.
const BATCH: usize = 32;

/// Total number of measured exchanges.
const EXCHANGES: usize = 40_000;

/// User and system CPU time, which `/proc` counts in ticks of 10 ms.
fn cpu_time(agent: &Agent) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", agent.pid())).unwrap_or_default();
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    let ticks: u64 = fields.skip(11).take(2).flat_map(|f| f.parse::<u64>()).sum();
    Duration::from_millis(ticks * 10)
}

/// Resident memory, for pages of 4 KiB.
fn resident_kib(agent: &Agent) -> u64 {
    let statm = std::fs::read_to_string(format!("/proc/{}/statm", agent.pid())).unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse::<u64>().ok());
    pages.unwrap_or(0) * 4
}

async fn measure(count: usize) {
    let harness = Harness::new(json!({"name": "p", "protocol": "tcp"})).await;
    let mut agent = harness.agent(1).await;
    let serving = [(1, MemberState::Serving)];
    until("serving", || harness.control.states() == serving).await;
    harness.set_candidates(&[&agent]);
    let (memory, start) = (resident_kib(&agent), cpu_time(&agent));
    let mut flows: Vec<(Pipe, FlowEndTask)> = Vec::with_capacity(count);
    while flows.len() < count {
        let mut batch = JoinSet::new();
        for number in flows.len()..count.min(flows.len() + BATCH) {
            let (mut app, end) = harness.open(1024 + number as u16);
            batch.spawn(async move {
                echo(&mut app, b"x").await;
                (app, end)
            });
        }
        flows.extend(batch.join_all().await);
    }
    let opened = cpu_time(&agent) - start;
    let idle = resident_kib(&agent) - memory;
    let start = cpu_time(&agent);
    let rounds = EXCHANGES.div_ceil(count);
    for _ in 0..rounds {
        for chunk in flows.chunks_mut(BATCH) {
            let exchanges = chunk.iter_mut().map(|(app, _)| echo(app, &[7; 1000]));
            join_all_local(exchanges).await;
        }
    }
    let exchanged = cpu_time(&agent) - start;
    println!(
        "{count:>6} flows: {:.0?} for a new flow with an exchange, {:.1?} for an exchange, \
         {:.1} KiB a flow idle, {:.1} after use",
        opened / count as u32,
        exchanged / (rounds * count) as u32,
        idle as f64 / count as f64,
        (resident_kib(&agent) - memory) as f64 / count as f64,
    );
    let mut ends = JoinSet::new();
    for (app, end) in flows {
        ends.spawn(finish(app, end));
        if ends.len() >= BATCH {
            ends.join_next().await;
        }
    }
    ends.join_all().await;
    agent.signal();
    assert!(agent.exit().await, "the agent failed");
    let state = harness.control.state.lock().expect("a lock");
    let buckets = state.burns.iter().flat_map(|batch| &batch.buckets);
    let kept: u64 = buckets.map(|bucket| bucket.counts.kept).sum();
    println!("{kept:>6} of {count} flows kept");
}

/// Runs futures concurrently on this task.
async fn join_all_local(futures: impl Iterator<Item = impl Future<Output = ()>>) {
    let mut pending: Vec<_> = futures.map(Box::pin).collect();
    std::future::poll_fn(|cx| {
        pending.retain_mut(|future| future.as_mut().poll(cx).is_pending());
        if pending.is_empty() {
            std::task::Poll::Ready(())
        } else {
            std::task::Poll::Pending
        }
    })
    .await;
}

#[tokio::main]
async fn main() {
    let counts: Vec<usize> = std::env::args().skip(1).flat_map(|a| a.parse()).collect();
    let counts = if counts.is_empty() {
        vec![100, 1_000]
    } else {
        counts
    };
    for count in counts {
        measure(count).await;
    }
}
