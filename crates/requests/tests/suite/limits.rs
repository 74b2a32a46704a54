//! Limits of slots, queue, streams and bodies; slow and unresponsive callers.

use std::time::{Duration, Instant};

use crate::agents::Cluster;
use crate::caller::{Caller, send_request};

/// Guards against more running requests than slots, and against an unbounded queue.
#[tokio::test]
async fn slots_and_queue_are_bounded() {
    let mut cluster = Cluster::start(1).await;
    cluster.profile.concurrency.queue = 3;
    cluster.update();
    let agent = &cluster.agents[0];
    let mut calls = Vec::new();
    for _ in 0..8 {
        let address = agent.address;
        let call = async move { send_request(address, "GET /read?delay=300", "", "").await };
        calls.push(tokio::spawn(call));
    }
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert_eq!(agent.fake.requests().len(), 2);
    let mut rejected = 0;
    for call in calls {
        let response = call.await.unwrap();
        if response.status == 503 {
            assert_eq!(response.outcome(), "not-run");
            assert!(response.header("retry-after").is_some());
            rejected += 1;
        }
    }
    assert_eq!((rejected, agent.fake.requests().len()), (3, 5));
}

/// Guards against long requests in the slot that is reserved for short ones.
#[tokio::test]
async fn long_requests_leave_the_reserved_slot_free() {
    let cluster = Cluster::start(1).await;
    let address = cluster.agents[0].address;
    for _ in 0..3 {
        tokio::spawn(async move { send_request(address, "GET /long?delay=2000", "", "").await });
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(cluster.request_count("/long"), 1);
    let start = Instant::now();
    let response = send_request(address, "GET /read", "", "").await;
    assert_eq!(response.status, 200);
    assert!(start.elapsed() < Duration::from_millis(1_000));
}

/// Guards against streams that occupy slots, and against an unlimited number of streams.
#[tokio::test]
async fn streams_take_no_slot_and_are_bounded() {
    let mut cluster = Cluster::start(1).await;
    cluster.profile.concurrency.flows = 4;
    cluster.update();
    let address = cluster.agents[0].address;
    let mut streams = Vec::new();
    for _ in 0..4 {
        let mut caller = Caller::connect(address).await;
        caller
            .send("GET /stream?delay=3000 HTTP/1.1\r\nhost: a\r\n\r\n")
            .await;
        streams.push(caller);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(cluster.request_count("/stream"), 4);
    let response = send_request(address, "GET /stream", "", "").await;
    assert_eq!((response.status, response.outcome()), (503, "not-run"));
    assert_eq!(send_request(address, "GET /read", "", "").await.status, 200);
    drop(streams);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(
        send_request(address, "GET /stream", "", "").await.status,
        200
    );
}

/// Guards against accepting bodies above the limit of their class, with and without a length.
#[tokio::test]
async fn body_limits_are_exact() {
    let cluster = Cluster::start(1).await;
    let address = cluster.agents[0].address;
    let full = "y".repeat(100);
    assert_eq!(
        send_request(address, "POST /small", "", &full).await.status,
        200
    );
    let over = "y".repeat(101);
    let response = send_request(address, "POST /small", "", &over).await;
    assert_eq!((response.status, response.outcome()), (413, "not-run"));
    let mut caller = Caller::connect(address).await;
    let head = "POST /small HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    caller
        .send(&format!("{head}65\r\n{over}\r\n0\r\n\r\n"))
        .await;
    let response = caller.read_response(false).await.unwrap();
    assert_eq!((response.status, response.outcome()), (413, "not-run"));
    assert_eq!(cluster.request_count("/small"), 1);
}

/// Guards against "not run" for a chunked body that exceeds its limit after the request began.
#[tokio::test]
async fn body_that_exceeds_its_limit_late_is_unknown() {
    let cluster = Cluster::start(1).await;
    let mut caller = Caller::connect(cluster.agents[0].address).await;
    let head = "POST /once HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    caller.send(head).await;
    let block = format!("8000\r\n{}\r\n", "z".repeat(0x8000));
    for _ in 0..33 {
        caller.send(&block).await;
    }
    let response = caller.read_response(false).await.unwrap();
    assert_eq!((response.status, response.outcome()), (413, "unknown"));
    assert_eq!(cluster.request_count("/once"), 1);
}

/// Guards against slow senders of small bodies that occupy slots.
#[tokio::test]
async fn slow_small_body_occupies_no_slot() {
    let cluster = Cluster::start(1).await;
    let mut caller = Caller::connect(cluster.agents[0].address).await;
    caller
        .send("POST /brief HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc")
        .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(cluster.request_count(""), 0);
    let response = caller.read_response(false).await.unwrap();
    assert_eq!((response.status, response.outcome()), (408, "not-run"));
    assert_eq!(cluster.request_count(""), 0);
}

/// Guards against heads that are never completed, and against closing idle connections.
#[tokio::test]
async fn incomplete_heads_time_out_and_idle_connections_stay_open() {
    let cluster = Cluster::start(1).await;
    let address = cluster.agents[0].address;
    let mut idle = Caller::connect(address).await;
    let mut incomplete = Caller::connect(address).await;
    incomplete.send("GET /read HTTP/1.1\r\nhos").await;
    let start = Instant::now();
    assert!(incomplete.is_closed().await);
    assert!(start.elapsed() >= Duration::from_millis(400));
    assert_eq!(idle.call("GET /read", "", "").await.status, 200);
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(idle.call("GET /read", "", "").await.status, 200);
}

/// Guards against a caller that reads nothing and occupies its slot forever.
#[tokio::test]
async fn caller_that_does_not_read_is_disconnected_at_the_deadline() {
    let cluster = Cluster::start(1).await;
    let agent = &cluster.agents[0];
    let mut caller = Caller::connect(agent.address).await;
    let size = 64 << 20;
    caller
        .send(&format!(
            "GET /brief?size={size} HTTP/1.1\r\nhost: a\r\n\r\n"
        ))
        .await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(agent.handler().active_requests(), 1);
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(agent.handler().active_requests(), 0);
    let response = caller.read_response(false).await.unwrap();
    assert!(!response.complete);
}

/// Guards against a caller that reads nothing and occupies its slot until a distant deadline:
/// the write timeout expires first.
#[tokio::test]
async fn caller_that_does_not_read_is_disconnected_by_the_write_timeout() {
    let cluster = Cluster::start(1).await;
    let agent = &cluster.agents[0];
    let mut caller = Caller::connect(agent.address).await;
    let size = 64 << 20;
    caller
        .send(&format!(
            "GET /read?size={size} HTTP/1.1\r\nhost: a\r\n\r\n"
        ))
        .await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(agent.handler().active_requests(), 1);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(agent.handler().active_requests(), 0);
}

/// Guards against a load peak that makes members unhealthy, against full load on a
/// backend server that sheds requests, and against requests to an unreachable one.
#[tokio::test]
async fn shed_requests_reduce_slots_and_failures_reduce_health() {
    let mut cluster = Cluster::start(1).await;
    let address = cluster.agents[0].address;
    for _ in 0..6 {
        let response = send_request(address, "GET /read?status=503", "", "").await;
        assert_eq!((response.status, response.outcome()), (503, ""));
    }
    let handler = cluster.agents[0].handler();
    assert!(handler.is_healthy());
    assert_eq!(handler.load(0).slots, 1);
    cluster.set_backend(0, ports::free().into());
    // The first request makes two attempts; three failures are needed.
    send_request(address, "POST /once", "", "").await;
    assert!(cluster.agents[0].handler().is_healthy());
    send_request(address, "POST /once", "", "").await;
    assert!(!cluster.agents[0].handler().is_healthy());
    assert!(!cluster.agents[0].handler().load(0).serving);
}

/// Guards against queueing a request that would wait beyond its deadline.
#[tokio::test]
async fn requests_that_would_miss_their_deadline_are_rejected_immediately() {
    let cluster = Cluster::start(1).await;
    let address = cluster.agents[0].address;
    for _ in 0..2 {
        send_request(address, "GET /read?delay=300", "", "").await;
    }
    for _ in 0..6 {
        tokio::spawn(async move { send_request(address, "GET /read?delay=300", "", "").await });
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let start = Instant::now();
    let headers = "Jacinthsill-Deadline-Ms: 400\r\n";
    let response = send_request(address, "GET /read?too-late=1", headers, "").await;
    assert_eq!((response.status, response.outcome()), (503, "not-run"));
    assert!(start.elapsed() < Duration::from_millis(200));
    // Its body is not requested either.
    let mut caller = Caller::connect(address).await;
    let head = "host: a\r\nexpect: 100-continue\r\ncontent-length: 3\r\n";
    caller
        .send(&format!(
            "POST /read?too-late=1 HTTP/1.1\r\n{head}{headers}\r\n"
        ))
        .await;
    assert_eq!(caller.read_response(false).await.unwrap().status, 503);
    assert_eq!(cluster.request_count("too-late"), 0);
}
