//! P6 and P7: no new work after 3 s at a leaving backend server, and graceful stops.

use std::time::Duration;

use e2e::traffic::{Requests, all_kept, echo_flows};
use e2e::{Cluster, Shape, turn};
use faults::Plan;
use load::backend::{End, unix_ms};
use load::caller::{Ask, HttpFlow, Outcome};
use load::ledger::judge;

/// Time after which a leaving backend server gets no new work.
const LEAVE_MS: u64 = 3_000;

const STOP: Duration = Duration::from_secs(20);

fn page(number: usize, turn: usize) -> Ask {
    Ask::get(format!("c{number}-{turn}"), "/shop")
}

/// Newest begin at a backend server, in ms after a time.
fn newest(cluster: &Cluster, host: &str, since: u64) -> u64 {
    let entries = cluster.backends[host].record().entries();
    let newest = entries.iter().map(|entry| entry.begun).max();
    newest.unwrap_or(0).saturating_sub(since)
}

/// Guards against new work at a leaving backend server (P6), on established connections and on
/// new ones, also when every balancer is cut off from control and keeps its old table.
#[tokio::test(flavor = "multi_thread")]
async fn no_new_work_behind_balancers_without_control() {
    let _turn = turn().await;
    let cluster = Cluster::start(Shape {
        web: 3,
        ..Shape::default()
    })
    .await;
    let requests = Requests::start(&cluster.caller(1), 40, Duration::from_millis(20), page);
    cluster.pause(500).await;
    for link in cluster
        .balancers
        .iter()
        .flat_map(|balancer| &balancer.control)
    {
        link.set(Plan::partition()).unwrap();
    }
    cluster.pause(500).await;
    let host = cluster.agents[0].host.clone();
    let since = unix_ms();
    cluster.operator.announce("backend-server", &host).await;
    // New connections all the time, which the old table still ranks to the leaving one.
    let caller = cluster.caller(2);
    let mut complete = 0;
    for number in 0..200 {
        let mut flow = HttpFlow::open(&caller, e2e::WEB).await.unwrap();
        let (outcome, _) = flow.ask(&page(100 + number, 0)).await;
        complete += usize::from(outcome == Outcome::Complete);
        flow.close(Duration::ZERO).await;
        cluster.pause(25).await;
    }
    let (ledger, broken) = requests.stop().await;
    let after = newest(&cluster, &host, since);
    assert!(
        after <= LEAVE_MS,
        "new work {after} ms after the announcement"
    );
    assert!(
        unix_ms() - since > LEAVE_MS + 1_000,
        "the test ended too early"
    );
    assert_eq!(broken, 0);
    assert!(complete >= 190, "{complete} of 200 complete");
    let verdict = judge(&ledger.lines(), &cluster.entries());
    assert!(verdict.is_clean(), "{verdict:?}");
}

/// Guards against a leaving agent that keeps getting work because it can't reach control (P6):
/// the stop of its own process has to be enough.
#[tokio::test(flavor = "multi_thread")]
async fn no_new_work_at_a_stopped_agent_without_control() {
    let _turn = turn().await;
    let mut cluster = Cluster::start(Shape {
        web: 3,
        ..Shape::default()
    })
    .await;
    let requests = Requests::start(&cluster.caller(1), 40, Duration::from_millis(20), page);
    cluster.pause(500).await;
    for link in cluster
        .balancers
        .iter()
        .flat_map(|balancer| &balancer.control)
    {
        link.set(Plan::partition()).unwrap();
    }
    for link in &cluster.agents[0].control {
        link.set(Plan::partition()).unwrap();
    }
    let host = cluster.agents[0].host.clone();
    let since = unix_ms();
    cluster.agents[0]
        .process
        .signal(nix::sys::signal::Signal::SIGTERM);
    cluster.pause(5_000).await;
    let (_, broken) = requests.stop().await;
    let after = newest(&cluster, &host, since);
    assert!(after <= LEAVE_MS, "new work {after} ms after the stop");
    assert_eq!(broken, 0);
    assert!(cluster.agents[0].process.wait(STOP).await.is_some());
}

/// Guards against stops that interrupt requests in progress or exit with an error (P7): every
/// program is stopped once under load, long requests included.
#[tokio::test(flavor = "multi_thread")]
async fn stops_are_graceful() {
    let _turn = turn().await;
    let shape = Shape {
        web: 3,
        echo: 1,
        ..Shape::default()
    };
    let mut cluster = Cluster::start(shape).await;
    let next = |number: usize, turn: usize| {
        let id = format!("c{number}-{turn}");
        if number < 3 {
            Ask {
                service_ms: Some(1_200),
                size: 30_000,
                ..Ask::get(id, "/reports")
            }
        } else {
            Ask::get(id, "/shop")
        }
    };
    let requests = Requests::start(&cluster.caller(1), 30, Duration::from_millis(30), next);
    let flows = echo_flows(&cluster.caller(2), 50).await;
    cluster.pause(800).await;
    let leader = cluster.leader().await.unwrap();
    let node = cluster.controls.get_mut(&leader).unwrap();
    assert_eq!(node.process.stop(STOP).await, Some(0), "control leader");
    cluster.use_balancers(|index| index > 0);
    assert_eq!(
        cluster.balancers[0].process.stop(STOP).await,
        Some(0),
        "balancer"
    );
    cluster.agents[0]
        .process
        .signal(nix::sys::signal::Signal::SIGTERM);
    cluster.pause(3_000).await;
    let (ledger, broken) = requests.stop().await;
    let code = cluster.agents[0].process.wait(STOP).await;
    assert_eq!(
        code,
        Some(0),
        "agent; its log: {}",
        cluster.agents[0].process.log()
    );
    assert_eq!(broken, 0, "connections that broke");
    let verdict = judge(&ledger.lines(), &cluster.entries());
    assert!(verdict.is_clean(), "{verdict:?}");
    let allowed = [Outcome::Complete, Outcome::NotRun];
    assert!(
        verdict.counts.keys().all(|o| allowed.contains(o)),
        "{verdict:?}"
    );
    let entries = cluster.entries();
    assert!(
        entries.iter().all(|e| e.end == End::Done),
        "a request was interrupted"
    );
    all_kept(flows).await;
    for index in 1..cluster.agents.len() {
        let code = cluster.agents[index].process.stop(STOP).await;
        assert_eq!(code, Some(0), "agent {index}");
    }
    for node in cluster.controls.values_mut() {
        if node.process.is_running() {
            assert_eq!(node.process.stop(STOP).await, Some(0), "control");
        }
    }
}
