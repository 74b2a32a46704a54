//! Cost of a running agent by open flows: `load [FLOWS]...`, in release mode.
//!
//! Needs the agent built beside it. Prints processor time of the agent for a
//! new flow and for an exchange of one message each way, and its memory.

#[path = "../tests/rig/mod.rs"]
mod rig;

use std::time::Duration;

use api::MemberState;
use netstack::pipe::Pipe;
use rig::{Agent, Ends, Rig, echo, finish, until};
use serde_json::json;
use tokio::task::JoinSet;

/// Flows in use at the same time; with 100, answers overflowed the receive buffer of the
/// fabric on a busy machine, and each lost one costs a time-out of 1 s.
const BATCH: usize = 32;

/// Exchanges measured in total.
const EXCHANGES: usize = 40_000;

/// User and system time in ticks of 10 ms, as a duration.
fn busy(agent: &Agent) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", agent.pid())).unwrap_or_default();
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    let ticks: u64 = fields.skip(11).take(2).flat_map(|f| f.parse::<u64>()).sum();
    Duration::from_millis(ticks * 10)
}

/// Resident memory in KiB.
fn resident(agent: &Agent) -> u64 {
    let statm = std::fs::read_to_string(format!("/proc/{}/statm", agent.pid())).unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse::<u64>().ok());
    pages.unwrap_or(0) * 4
}

async fn measure(count: usize) {
    let rig = Rig::new(json!({"name": "p", "protocol": "tcp"})).await;
    let mut agent = rig.agent(1).await;
    let serving = [(1, MemberState::Serving)];
    until("serving", || rig.control.states() == serving).await;
    rig.set_candidates(&[&agent]);
    let (memory, start) = (resident(&agent), busy(&agent));
    let mut flows: Vec<(Pipe, Ends)> = Vec::with_capacity(count);
    while flows.len() < count {
        let mut batch = JoinSet::new();
        for number in flows.len()..count.min(flows.len() + BATCH) {
            let (mut app, end) = rig.open(1024 + number as u16);
            batch.spawn(async move {
                echo(&mut app, b"x").await;
                (app, end)
            });
        }
        flows.extend(batch.join_all().await);
    }
    let opened = busy(&agent) - start;
    let idle = resident(&agent) - memory;
    let start = busy(&agent);
    let rounds = EXCHANGES.div_ceil(count);
    for _ in 0..rounds {
        for chunk in flows.chunks_mut(BATCH) {
            let exchanges = chunk.iter_mut().map(|(app, _)| echo(app, &[7; 1000]));
            futures_all(exchanges).await;
        }
    }
    let exchanged = busy(&agent) - start;
    println!(
        "{count:>6} flows: {:.0?} for a new flow with an exchange, {:.1?} for an exchange, \
         {:.1} KiB a flow idle, {:.1} after use",
        opened / count as u32,
        exchanged / (rounds * count) as u32,
        idle as f64 / count as f64,
        (resident(&agent) - memory) as f64 / count as f64,
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
    let state = rig.control.state.lock().expect("a lock");
    let buckets = state.burns.iter().flat_map(|batch| &batch.buckets);
    let kept: u64 = buckets.map(|bucket| bucket.counts.kept).sum();
    println!("{kept:>6} of {count} flows kept");
}

/// Runs futures at the same time on this task.
async fn futures_all(futures: impl Iterator<Item = impl Future<Output = ()>>) {
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
