//! The built agent between stand-ins. Each test names the failure it guards against.

mod rig;

use std::net::SocketAddr;
use std::time::Duration;

use api::{MemberState, Order};
use netstack::FlowEnd;
use rig::{LIMIT, Rig, command, echo, finish, header, key, until};
use rpc::Key;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout};
use units::{Incarnation, ServiceId};

fn tcp() -> serde_json::Value {
    json!({"name": "p", "protocol": "tcp", "health": {"interval_ms": 100}})
}

/// Guards against a planned restart that breaks flows or takes new ones twice (P1, P7).
#[tokio::test(flavor = "multi_thread")]
async fn restart_with_the_successor_first_keeps_flows() {
    let rig = Rig::new(tcp()).await;
    let mut old = rig.agent(1).await;
    rig.set_candidates(&[&old]);
    let (mut app, end) = rig.open(4001);
    echo(&mut app, b"before").await;

    let new = rig.agent(2).await;
    old.signal();
    until("the old agent announces draining", || {
        rig.control.states() == [(1, MemberState::Draining), (2, MemberState::Serving)]
    })
    .await;
    rig.set_candidates(&[&new, &old]);
    for number in 0..50_u32 {
        echo(&mut app, &number.to_be_bytes()).await;
    }
    let (mut fresh, fresh_end) = rig.open(4002);
    echo(&mut fresh, b"fresh").await;
    // A notice that comes before the table that names its owner is repeated.
    let start = Instant::now();
    while new.stats().await["redirects"] != 1 {
        assert!(
            start.elapsed() < LIMIT,
            "the successor never learns the owner"
        );
        echo(&mut app, b"again").await;
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(new.stats().await["open"], 1);
    assert_eq!(old.stats().await["open"], 1);

    finish(app, end).await;
    assert!(old.exit().await, "the old agent ends by itself");
    assert_eq!(rig.control.states(), [(2, MemberState::Serving)]);
    finish(fresh, fresh_end).await;
}

/// Guards against new work at a backend server that leaves, and against a planned change that
/// ends flows (P1, P6).
#[tokio::test(flavor = "multi_thread")]
async fn planned_change_refuses_new_flows_and_keeps_old_ones() {
    let rig = Rig::new(tcp()).await;
    let agent = rig.agent(1).await;
    rig.set_candidates(&[&agent]);
    let (mut app, end) = rig.open(4001);
    echo(&mut app, b"before").await;
    let set = |order| rig.control.state.lock().expect("a lock").order = order;
    set(Order::Drain);
    until("draining", || {
        rig.control.states() == [(1, MemberState::Draining)]
    })
    .await;
    let (_app, refused) = rig.open(4002);
    let refused = timeout(LIMIT, refused)
        .await
        .expect("in time")
        .expect("an end");
    assert_eq!(refused, FlowEnd::Refused);
    echo(&mut app, b"during").await;
    set(Order::Serve);
    until("serving", || {
        rig.control.states() == [(1, MemberState::Serving)]
    })
    .await;
    let (mut again, again_end) = rig.open(4003);
    echo(&mut again, b"after").await;
    finish(app, end).await;
    finish(again, again_end).await;
}

/// Guards against packets for a former holder of the address, and against forged ones (P2).
#[tokio::test(flavor = "multi_thread")]
async fn foreign_and_forged_datagrams_are_dropped() {
    let rig = Rig::new(tcp()).await;
    let agent = rig.agent(5).await;
    rig.set_candidates(&[&agent]);
    let (mut app, end) = rig.open(4001);
    echo(&mut app, b"a valid flow").await;
    let mut syn = Vec::new();
    etherparse::PacketBuilder::ipv4([10, 0, 0, 1], [10, 9, 0, 1], 9)
        .tcp(4002, 80, 1, 1000)
        .syn()
        .write(&mut syn, &[])
        .expect("a SYN");
    let right = header(&[agent.candidate]);
    let mut service = right;
    service.service = ServiceId(9);
    let mut candidate = agent.candidate;
    candidate.incarnation = Incarnation(4);
    let former = header(&[candidate]);
    let other = Key::from([8; 32]);
    for (header, key) in [(service, &key()), (former, &key()), (right, &other)] {
        let mut out = Vec::new();
        wire::encode_packet(key, &header, &syn, &mut out).expect("a datagram");
        let to = agent.candidate.address;
        rig.fabric.send_to(&out, to).await.expect("a send");
        rig.fabric.send_to(&out[..30], to).await.expect("a send");
    }
    sleep(Duration::from_millis(300)).await;
    let stats = agent.stats().await;
    let expected = json!({
        "other_service": 1, "other_incarnation": 1, "tag": 1, "truncated": 3,
    });
    assert_eq!(stats["stats"]["dropped"], expected);
    assert_eq!(
        (&stats["open"], &stats["stats"]["resets"]),
        (&json!(1), &json!(0))
    );
    finish(app, end).await;
}

/// Guards against a truncated stream that looks complete, in both directions (P3).
#[tokio::test(flavor = "multi_thread")]
async fn failures_end_in_a_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let backend = listener.local_addr().expect("an address");
    let rig = Rig::with_backend(tcp(), backend).await;
    // A probe is a connection without bytes; a flow sends its wish first.
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut wish = [0; 4];
                if stream.read_exact(&mut wish).await.is_err() {
                    return;
                }
                stream.write_all(b"half").await.expect("an answer");
                sleep(Duration::from_millis(100)).await;
                if &wish == b"fail" {
                    stream.set_zero_linger().expect("an option");
                }
            });
        }
    });
    let agent = rig.agent(1).await;
    rig.set_candidates(&[&agent]);
    for (port, wish, expected) in [
        (4001, b"fail", FlowEnd::Reset),
        (4002, b"good", FlowEnd::Closed),
    ] {
        let (mut app, end) = rig.open(port);
        app.write_all(wish).await.expect("a wish");
        let mut answer = Vec::new();
        let read = timeout(LIMIT, app.read_to_end(&mut answer))
            .await
            .expect("in time");
        assert_eq!(answer, b"half");
        assert_eq!(read.is_ok(), expected == FlowEnd::Closed);
        // Both directions have to end for an orderly close.
        let _ = app.shutdown().await;
        assert_eq!(
            timeout(LIMIT, end).await.expect("in time").expect("an end"),
            expected
        );
    }
}

/// Guards against a backend server that is announced although nothing reaches it, and against
/// one failed probe that takes it out.
#[tokio::test(flavor = "multi_thread")]
async fn lost_backend_server_is_drained() {
    let backend = SocketAddr::from(ports::free());
    let listener = TcpListener::bind(backend).await.expect("a port");
    let rig = Rig::with_backend(tcp(), backend).await;
    let agent = rig.agent(1).await;
    until("serving", || {
        rig.control.states() == [(1, MemberState::Serving)]
    })
    .await;
    drop(listener);
    until("draining", || {
        rig.control.states() == [(1, MemberState::Draining)]
    })
    .await;
    let _listener = TcpListener::bind(backend).await.expect("the same port");
    until("serving again", || {
        rig.control.states() == [(1, MemberState::Serving)]
    })
    .await;
    drop(agent);
}

/// Guards against counts that are lost or counted twice while control has no leader.
#[tokio::test(flavor = "multi_thread")]
async fn counts_are_sent_until_acknowledged() {
    let rig = Rig::new(tcp()).await;
    rig.control.state.lock().expect("a lock").refuse = 2;
    let mut agent = rig.agent(1).await;
    rig.set_candidates(&[&agent]);
    let (mut app, end) = rig.open(4001);
    echo(&mut app, b"a flow").await;
    finish(app, end).await;
    agent.signal();
    assert!(agent.exit().await);
    let state = rig.control.state.lock().expect("a lock");
    let numbers: Vec<u64> = state.burns.iter().map(|batch| batch.number).collect();
    assert_eq!(numbers[..3], [1, 1, 1], "refused batches keep their number");
    assert!(state.burns[..3].windows(2).all(|pair| pair[0] == pair[1]));
    let kept = |batch: &api::BurnBatch| batch.buckets.iter().map(|b| b.counts.kept).sum::<u64>();
    let accepted = state.burns.iter().skip(2);
    assert_eq!(accepted.map(kept).sum::<u64>(), 1);
}

/// Guards against panics and long output for mistakes that operators make.
#[tokio::test(flavor = "multi_thread")]
async fn mistakes_end_in_one_line() {
    let rig = Rig::new(tcp()).await;
    let running = rig.agent(1).await;
    let packets = running.candidate.address.to_string();
    let http = running.http.to_string();
    for (change, expected) in [
        (
            json!({"packets": packets}),
            "is another process using the port?",
        ),
        (json!({"http": http}), "cannot open the HTTP interface"),
        (json!({"slots": 0}), "0 is out of range"),
        (json!({"colour": "red"}), "colour"),
        (
            json!({"key_file": "missing.hex"}),
            "cannot read the key file missing.hex",
        ),
        (json!({"packets": "0.0.0.0:1"}), "use a fixed address"),
    ] {
        let path = rig.write_settings(2, change);
        let output = timeout(LIMIT, command(&path).output())
            .await
            .expect("in time");
        let output = output.expect("an end");
        let text = String::from_utf8(output.stderr).expect("text");
        assert_eq!(output.status.code(), Some(1), "{text}");
        let lines: Vec<&str> = text.lines().filter(|l| !l.starts_with('{')).collect();
        assert!(
            lines.len() == 1 && lines[0].contains(expected),
            "{expected}: {text}"
        );
    }
}
