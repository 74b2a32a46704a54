//! P2: a packet never reaches a service other than its own.

use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::time::Duration;

use e2e::cluster::KEY;
use e2e::traffic::{all_kept, echo_flows, finish};
use e2e::{Cluster, ECHO, RIVAL, Shape, turn};
use faults::Plan;
use load::caller::{EchoFlow, EchoReport};
use netstack::{Connection, StackSettings};
use units::{Epoch, Flow, Incarnation, ServiceId};
use wire::{Candidate, Candidates, Flags, Header};

/// Guards against traffic to a reused address: the agent of another firm's service starts on the
/// address of a lost one, while a balancer that is cut off from control still sends there.
#[tokio::test(flavor = "multi_thread")]
async fn reused_address_gets_no_foreign_bytes() {
    let _turn = turn().await;
    let shape = Shape {
        balancers: 1,
        echo: 2,
        controls: 1,
        ..Shape::default()
    };
    let mut cluster = Cluster::start(shape).await;
    let caller = cluster.caller(1);
    let flows = echo_flows(&caller, 100).await;
    for link in &cluster.balancers[0].control {
        link.set(Plan::partition()).unwrap();
    }
    let address = cluster.agents[0].packets;
    cluster.agents[0].process.kill();
    let index = cluster.start_agent("rival", "rival-1", address).await;
    assert_eq!(cluster.agents[index].packets, address);
    cluster.serving("rival-1").await;
    // New flows, too: the balancer still ranks the lost agent first for half of them.
    let more: Vec<_> = (0..100)
        .map(|_| EchoFlow::start(&caller, ECHO, Duration::from_millis(50)))
        .collect();
    let before = cluster.balancers[0].packets.stats().received;
    cluster.pause(4_000).await;
    assert!(cluster.balancers[0].packets.stats().received > before + 100);
    let summary = cluster.backends["rival-1"].record().summary();
    assert_eq!(summary.bytes, 0, "bytes of another service: {summary:?}");
    // The service of that address itself works, seen by a balancer with the new table.
    cluster.add_balancer().await;
    cluster.use_balancers(|index| index == 1);
    let mut own = EchoFlow::start(&caller, RIVAL, Duration::from_millis(50));
    assert!(own.established(Duration::from_secs(10)).await);
    assert!(cluster.backends["rival-1"].record().summary().bytes > 0);
    drop((flows, more, own));
}

fn syn(port: u16) -> (Flow, Vec<u8>) {
    let flow = Flow {
        caller: SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), port),
        service: ECHO,
    };
    let now = tokio::time::Instant::now();
    let mut connection = Connection::connect(&StackSettings::default(), flow, now, 3);
    let mut out = Vec::new();
    connection.poll(now, &mut out);
    (flow, out.remove(0))
}

fn datagram(
    key: [u8; 32],
    to: SocketAddrV4,
    service: u32,
    incarnation: u64,
    inner: &[u8],
) -> Vec<u8> {
    let mut candidates = Candidates::default();
    candidates.push(Candidate {
        address: to,
        incarnation: Incarnation(incarnation),
    });
    let header = Header {
        hop: 0,
        flags: Flags::default(),
        service: ServiceId(service),
        epoch: Epoch(1),
        candidates,
        ..Header::default()
    };
    let mut out = Vec::new();
    wire::encode_packet(&key.into(), &header, inner, &mut out).expect("a valid packet");
    out
}

/// Guards against headers that are forged, changed on the way or meant for another service or
/// incarnation: none may open a flow or break one.
#[tokio::test(flavor = "multi_thread")]
async fn forged_headers_are_dropped() {
    let _turn = turn().await;
    let shape = Shape {
        balancers: 1,
        echo: 1,
        controls: 1,
        ..Shape::default()
    };
    let cluster = Cluster::start(shape).await;
    let flows = echo_flows(&cluster.caller(1), 20).await;
    let agent = &cluster.agents[0];
    let log = agent.process.log();
    let ready = log.lines().find(|line| line.contains("\"ready\"")).unwrap();
    let ready: serde_json::Value = serde_json::from_str(ready).unwrap();
    let incarnation = ready["incarnation"].as_u64().unwrap();
    let view = cluster.operator.stored("service", "echo").await.unwrap();
    assert_eq!(view.body.name(), "echo");
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let host = cluster.agents[0].host.clone();
    let connections = || cluster.backends[&host].record().summary().bytes;
    let stray = cluster.fabric.stats().stray;
    for service in 0..8 {
        let (_, inner) = syn(1_000 + u16::try_from(service).unwrap());
        let wrong_key = datagram([1; 32], agent.packets, service, incarnation, &inner);
        let wrong_incarnation = datagram(KEY, agent.packets, service, incarnation - 1, &inner);
        let mut changed = datagram(KEY, agent.packets, service, incarnation, &inner);
        // The service within the header, after magic, version, kind, hop, count, flags, reserved.
        changed[8] ^= 1;
        for sent in [wrong_key, wrong_incarnation, changed] {
            socket.send_to(&sent, agent.packets).unwrap();
        }
    }
    cluster.pause(1_000).await;
    // A SYN that is taken is answered to a caller that does not exist, which the fabric counts.
    assert_eq!(cluster.fabric.stats().stray, stray);
    // The check itself: a right header for the right service is answered.
    for service in 0..8 {
        let (_, inner) = syn(2_000 + u16::try_from(service).unwrap());
        let right = datagram(KEY, agent.packets, service, incarnation, &inner);
        socket.send_to(&right, agent.packets).unwrap();
    }
    cluster.pause(500).await;
    assert!(cluster.fabric.stats().stray > stray, "no header was right");
    assert!(connections() > 0);
    all_kept(flows).await;
}

/// Guards against a report that calls flows of a killed agent kept: the harness has to see losses.
#[tokio::test(flavor = "multi_thread")]
async fn lost_agents_lose_their_flows_only() {
    let _turn = turn().await;
    let mut cluster = Cluster::start(Shape {
        echo: 3,
        ..Shape::default()
    })
    .await;
    let flows = echo_flows(&cluster.caller(1), 150).await;
    let share = cluster.backends[&cluster.agents[0].host].record().summary();
    cluster.agents[0].process.kill();
    cluster.pause(8_000).await;
    // A flow whose agent is gone may still wait for an answer; it is as lost.
    let kept = |report: &Option<_>| report.as_ref().is_some_and(EchoReport::is_kept);
    let reports = finish(flows).await;
    let broken = reports.iter().filter(|report| !kept(report)).count();
    // Probes connect, too, so the connections only bound the flows from above.
    assert!(
        broken > 20 && broken <= 100,
        "{broken} of 150 broken, {share:?}"
    );
}
