//! Tests of the agent program in a test environment. Each test names the failure it guards against.

mod harness;

use std::net::SocketAddr;
use std::time::Duration;

use api::{MemberState, Order};
use harness::{Harness, TIMEOUT, command, echo, finish, header, key, until};
use netstack::FlowEnd;
use rpc::Key;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout};
use units::{Incarnation, ServiceId};

fn tcp() -> serde_json::Value {
    json!({"name": "p", "protocol": "tcp", "health": {"interval_ms": 100}})
}

/// Guards against a planned restart that breaks flows or accepts new ones twice (P1, P7).
#[tokio::test(flavor = "multi_thread")]
async fn restart_with_the_successor_first_keeps_flows() {
    let harness = Harness::new(tcp()).await;
    let mut old = harness.agent(1).await;
    harness.set_candidates(&[&old]);
    let (mut app, end) = harness.open(4001);
    echo(&mut app, b"before").await;

    let new = harness.agent(2).await;
    old.signal();
    until("the old agent announces draining", || {
        harness.control.states() == [(1, MemberState::Draining), (2, MemberState::Serving)]
    })
    .await;
    harness.set_candidates(&[&new, &old]);
    for number in 0..50_u32 {
        echo(&mut app, &number.to_be_bytes()).await;
    }
    let (mut fresh, fresh_end) = harness.open(4002);
    echo(&mut fresh, b"fresh").await;
    // A notice that arrives before the table that contains its owner is sent again.
    let start = Instant::now();
    while new.stats().await["redirects"] != 1 {
        assert!(
            start.elapsed() < TIMEOUT,
            "the successor never learns the owner"
        );
        echo(&mut app, b"again").await;
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(new.stats().await["open"], 1);
    assert_eq!(old.stats().await["open"], 1);

    finish(app, end).await;
    assert!(old.exit().await, "the old agent ends by itself");
    assert_eq!(harness.control.states(), [(2, MemberState::Serving)]);
    finish(fresh, fresh_end).await;
}

/// Guards against new flows to a draining backend server, and against a planned change that ends
/// established flows (P1, P6).
#[tokio::test(flavor = "multi_thread")]
async fn planned_change_refuses_new_flows_and_keeps_old_ones() {
    let harness = Harness::new(tcp()).await;
    let agent = harness.agent(1).await;
    harness.set_candidates(&[&agent]);
    let (mut app, end) = harness.open(4001);
    echo(&mut app, b"before").await;
    let set = |order| harness.control.state.lock().expect("a lock").order = order;
    set(Order::Drain);
    until("draining", || {
        harness.control.states() == [(1, MemberState::Draining)]
    })
    .await;
    let (_app, refused) = harness.open(4002);
    let refused = timeout(TIMEOUT, refused)
        .await
        .expect("in time")
        .expect("an end");
    assert_eq!(refused, FlowEnd::Refused);
    echo(&mut app, b"during").await;
    set(Order::Serve);
    until("serving", || {
        harness.control.states() == [(1, MemberState::Serving)]
    })
    .await;
    let (mut again, again_end) = harness.open(4003);
    echo(&mut again, b"after").await;
    finish(app, end).await;
    finish(again, again_end).await;
}

/// Guards against handling packets for an earlier incarnation at the same address or for another
/// service, and packets with a wrong key (P2).
#[tokio::test(flavor = "multi_thread")]
async fn foreign_and_forged_datagrams_are_dropped() {
    let harness = Harness::new(tcp()).await;
    let agent = harness.agent(5).await;
    harness.set_candidates(&[&agent]);
    let (mut app, end) = harness.open(4001);
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
        harness.fabric.send_to(&out, to).await.expect("a send");
        harness
            .fabric
            .send_to(&out[..30], to)
            .await
            .expect("a send");
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
    let harness = Harness::with_backend(tcp(), backend).await;
    // A health probe sends no bytes; a flow sends its request first.
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 4];
                if stream.read_exact(&mut request).await.is_err() {
                    return;
                }
                stream.write_all(b"half").await.expect("a response");
                sleep(Duration::from_millis(100)).await;
                if &request == b"fail" {
                    stream.set_zero_linger().expect("an option");
                }
            });
        }
    });
    let agent = harness.agent(1).await;
    harness.set_candidates(&[&agent]);
    for (port, request, expected) in [
        (4001, b"fail", FlowEnd::Reset),
        (4002, b"good", FlowEnd::Closed),
    ] {
        let (mut app, end) = harness.open(port);
        app.write_all(request).await.expect("a request");
        let mut response = Vec::new();
        let read = timeout(TIMEOUT, app.read_to_end(&mut response))
            .await
            .expect("in time");
        assert_eq!(response, b"half");
        assert_eq!(read.is_ok(), expected == FlowEnd::Closed);
        // Both directions have to end for an orderly close.
        let _ = app.shutdown().await;
        assert_eq!(
            timeout(TIMEOUT, end)
                .await
                .expect("in time")
                .expect("an end"),
            expected
        );
    }
}

/// Guards against a backend server that is announced although it is unreachable, and against
/// one failed probe that drains it.
#[tokio::test(flavor = "multi_thread")]
async fn unreachable_backend_server_is_drained() {
    let backend = SocketAddr::from(ports::free());
    let listener = TcpListener::bind(backend).await.expect("a port");
    let harness = Harness::with_backend(tcp(), backend).await;
    let agent = harness.agent(1).await;
    until("serving", || {
        harness.control.states() == [(1, MemberState::Serving)]
    })
    .await;
    drop(listener);
    until("draining", || {
        harness.control.states() == [(1, MemberState::Draining)]
    })
    .await;
    let _listener = TcpListener::bind(backend).await.expect("the same port");
    until("serving again", || {
        harness.control.states() == [(1, MemberState::Serving)]
    })
    .await;
    drop(agent);
}

/// Guards against counts that are lost or counted twice while control has no leader.
#[tokio::test(flavor = "multi_thread")]
async fn counts_are_sent_until_acknowledged() {
    let harness = Harness::new(tcp()).await;
    harness.control.state.lock().expect("a lock").rejections = 2;
    let mut agent = harness.agent(1).await;
    harness.set_candidates(&[&agent]);
    let (mut app, end) = harness.open(4001);
    echo(&mut app, b"a flow").await;
    finish(app, end).await;
    agent.signal();
    assert!(agent.exit().await);
    let state = harness.control.state.lock().expect("a lock");
    let numbers: Vec<u64> = state.burns.iter().map(|batch| batch.number).collect();
    assert_eq!(
        numbers[..3],
        [1, 1, 1],
        "rejected batches keep their number"
    );
    assert!(state.burns[..3].windows(2).all(|pair| pair[0] == pair[1]));
    let kept = |batch: &api::BurnBatch| batch.buckets.iter().map(|b| b.counts.kept).sum::<u64>();
    let accepted = state.burns.iter().skip(2);
    assert_eq!(accepted.map(kept).sum::<u64>(), 1);
}

/// Guards against panics and long output when the settings are wrong or a port is in use.
#[tokio::test(flavor = "multi_thread")]
async fn startup_errors_print_one_line() {
    let harness = Harness::new(tcp()).await;
    let running = harness.agent(1).await;
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
        let path = harness.write_settings(2, change);
        let output = timeout(TIMEOUT, command(&path).output())
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
