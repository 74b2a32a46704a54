//! P1: an established flow survives any planned change.

use std::time::Duration;

use e2e::traffic::{all_kept, echo_flows};
use e2e::{Cluster, Shape, turn};
use faults::Plan;
use nix::sys::signal::Signal;

const FLOWS: usize = 300;
const STOP: Duration = Duration::from_secs(10);

/// Guards against flows that break when balancers join, stop or are killed, and against
/// balancers that need state: the fabric sprays every packet to any of them.
#[tokio::test(flavor = "multi_thread")]
async fn flows_survive_balancers_that_come_and_go() {
    let _turn = turn().await;
    let mut cluster = Cluster::start(Shape {
        echo: 3,
        ..Shape::default()
    })
    .await;
    let flows = echo_flows(&cluster.caller(1), FLOWS).await;
    cluster.add_balancer().await;
    cluster.pause(500).await;
    // Planned stop: the fabric stops using it first.
    cluster.use_balancers(|index| index != 0);
    assert_eq!(cluster.balancers[0].process.stop(STOP).await, Some(0));
    // Crash: the fabric goes on spraying to it for a second.
    cluster.balancers[1].process.kill();
    cluster.pause(1_000).await;
    cluster.use_balancers(|index| index > 1);
    cluster.add_balancer().await;
    cluster.use_balancers(|index| index > 1);
    // Freeze and go on: late packets of a table that is old by then.
    cluster.balancers[2].process.signal(Signal::SIGSTOP);
    cluster.pause(1_000).await;
    cluster.balancers[2].process.signal(Signal::SIGCONT);
    cluster.pause(500).await;
    all_kept(flows).await;
}

/// Guards against flows that break when the table changes: joins, announced drains, planned
/// restarts of agents and profile changes, with a balancer that joins after each one.
#[tokio::test(flavor = "multi_thread")]
async fn flows_survive_table_and_profile_changes() {
    let _turn = turn().await;
    let mut cluster = Cluster::start(Shape {
        echo: 3,
        ..Shape::default()
    })
    .await;
    let flows = echo_flows(&cluster.caller(1), FLOWS).await;
    for _ in 0..2 {
        let index = cluster.add_agent("echo").await;
        let host = cluster.agents[index].host.clone();
        cluster.serving(&host).await;
    }
    cluster.add_balancer().await;
    let host = cluster.agents[0].host.clone();
    cluster.operator.announce("backend-server", &host).await;
    cluster.write_declarations(|web| web["concurrency"]["queue"] = 32.into());
    cluster
        .operator
        .apply(&cluster.declarations(), Duration::from_secs(5))
        .await;
    // Planned restart: the successor starts on its own port, then the old one is told to stop.
    let (host, port) = (cluster.agents[1].host.clone(), ports::free());
    cluster.start_agent("echo", &host, port).await;
    cluster.pause(1_500).await;
    cluster.agents[1].process.signal(Signal::SIGTERM);
    cluster.add_balancer().await;
    // Only balancers without any earlier table are left.
    cluster.use_balancers(|index| index > 2);
    cluster.pause(2_000).await;
    assert!(
        cluster.agents[1].process.is_running(),
        "it still holds flows"
    );
    all_kept(flows).await;
    assert_eq!(cluster.agents[1].process.wait(STOP).await, Some(0));
}

/// Guards against flows that depend on control: they outlive a stop of the leader and of all.
#[tokio::test(flavor = "multi_thread")]
async fn flows_survive_control() {
    let _turn = turn().await;
    let mut cluster = Cluster::start(Shape {
        echo: 3,
        ..Shape::default()
    })
    .await;
    let mut flows = echo_flows(&cluster.caller(1), FLOWS).await;
    let leader = cluster.leader().await.unwrap();
    let node = cluster.controls.get_mut(&leader).unwrap();
    assert_eq!(node.process.stop(STOP).await, Some(0));
    cluster.pause(2_000).await;
    for node in cluster.controls.values_mut() {
        node.process.kill();
    }
    // Longer than a lease: nothing may expire without control.
    cluster.pause(6_000).await;
    flows.extend(echo_flows(&cluster.caller(2), 30).await);
    all_kept(flows).await;
}

/// Guards against pairs of faults: packet loss, copies and reordering while balancers crash,
/// the table changes and the control leader is lost.
#[tokio::test(flavor = "multi_thread")]
async fn flows_survive_changes_over_bad_links() {
    let _turn = turn().await;
    let bad = Plan {
        loss: 0.01,
        duplicate: 0.02,
        reorder: 0.05,
        delay_ms: 1,
        jitter_ms: 4,
        ..Plan::default()
    };
    let shape = Shape {
        echo: 3,
        packets: bad,
        answers: bad,
        seed: 11,
        ..Shape::default()
    };
    let mut cluster = Cluster::start(shape).await;
    let flows = echo_flows(&cluster.caller(1), FLOWS).await;
    let leader = cluster.leader().await.unwrap();
    cluster.controls.get_mut(&leader).unwrap().process.kill();
    cluster.balancers[0].process.kill();
    cluster.pause(1_000).await;
    cluster.use_balancers(|index| index > 0);
    let index = cluster.add_agent("echo").await;
    cluster.use_balancers(|index| index > 0);
    let host = cluster.agents[index].host.clone();
    cluster.serving(&host).await;
    let host = cluster.agents[0].host.clone();
    cluster.operator.announce("backend-server", &host).await;
    cluster.pause(2_000).await;
    assert!(cluster.balancers[1].packets.stats().lost > 0);
    all_kept(flows).await;
}
