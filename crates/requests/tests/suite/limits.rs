//! Slots, queue, streams, slow and silent peers.

use std::time::{Duration, Instant};

use crate::agents::Agents;
use crate::caller::{Caller, once};

/// Guards against more requests in progress than slots, and against a queue
/// without bound.
#[tokio::test]
async fn slots_and_queue_are_bounded() {
    let mut all = Agents::start(1).await;
    all.profile.concurrency.queue = 3;
    all.update();
    let agent = &all.agents[0];
    let mut calls = Vec::new();
    for _ in 0..8 {
        let address = agent.caller;
        let call = async move { once(address, "GET /read?delay=300", "", "").await };
        calls.push(tokio::spawn(call));
    }
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert_eq!(agent.fake.began().len(), 2);
    let mut refused = 0;
    for call in calls {
        let answer = call.await.unwrap();
        if answer.status == 503 {
            assert_eq!(answer.outcome(), "not-run");
            assert!(answer.header("retry-after").is_some());
            refused += 1;
        }
    }
    assert_eq!((refused, agent.fake.began().len()), (3, 5));
}

/// Guards against long work in the slot that is reserved for short work.
#[tokio::test]
async fn long_classes_leave_a_slot() {
    let all = Agents::start(1).await;
    let address = all.agents[0].caller;
    for _ in 0..3 {
        tokio::spawn(async move { once(address, "GET /long?delay=2000", "", "").await });
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(all.began("/long"), 1);
    let start = Instant::now();
    let answer = once(address, "GET /read", "", "").await;
    assert_eq!(answer.status, 200);
    assert!(start.elapsed() < Duration::from_millis(1_000));
}

/// Guards against streams that take slots, and against streams without bound.
#[tokio::test]
async fn streams_take_no_slot_and_are_bounded() {
    let mut all = Agents::start(1).await;
    all.profile.concurrency.flows = 4;
    all.update();
    let address = all.agents[0].caller;
    let mut streams = Vec::new();
    for _ in 0..4 {
        let mut caller = Caller::connect(address).await;
        caller
            .send("GET /stream?delay=3000 HTTP/1.1\r\nhost: a\r\n\r\n")
            .await;
        streams.push(caller);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(all.began("/stream"), 4);
    let answer = once(address, "GET /stream", "", "").await;
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
    assert_eq!(once(address, "GET /read", "", "").await.status, 200);
    drop(streams);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(once(address, "GET /stream", "", "").await.status, 200);
}

/// Guards against bodies above the limit of their class, with and without a length.
#[tokio::test]
async fn body_limits_hold_exactly() {
    let all = Agents::start(1).await;
    let address = all.agents[0].caller;
    let full = "y".repeat(100);
    assert_eq!(once(address, "POST /small", "", &full).await.status, 200);
    let over = "y".repeat(101);
    let answer = once(address, "POST /small", "", &over).await;
    assert_eq!((answer.status, answer.outcome()), (413, "not-run"));
    let mut caller = Caller::connect(address).await;
    let head = "POST /small HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    caller
        .send(&format!("{head}65\r\n{over}\r\n0\r\n\r\n"))
        .await;
    let answer = caller.answer(false).await.unwrap();
    assert_eq!((answer.status, answer.outcome()), (413, "not-run"));
    assert_eq!(all.began("/small"), 1);
}

/// Guards against a chunked body whose excess shows only after it was begun.
#[tokio::test]
async fn a_late_excess_is_unknown() {
    let all = Agents::start(1).await;
    let mut caller = Caller::connect(all.agents[0].caller).await;
    let head = "POST /once HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    caller.send(head).await;
    let block = format!("8000\r\n{}\r\n", "z".repeat(0x8000));
    for _ in 0..33 {
        caller.send(&block).await;
    }
    let answer = caller.answer(false).await.unwrap();
    assert_eq!((answer.status, answer.outcome()), (413, "unknown"));
    assert_eq!(all.began("/once"), 1);
}

/// Guards against slow senders of small bodies that hold slots.
#[tokio::test]
async fn a_slow_small_body_holds_no_slot() {
    let all = Agents::start(1).await;
    let mut caller = Caller::connect(all.agents[0].caller).await;
    caller
        .send("POST /brief HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc")
        .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(all.began(""), 0);
    let answer = caller.answer(false).await.unwrap();
    assert_eq!((answer.status, answer.outcome()), (408, "not-run"));
    assert_eq!(all.began(""), 0);
}

/// Guards against heads that never end, and against closing idle connections.
#[tokio::test]
async fn silent_heads_are_closed_and_idle_connections_kept() {
    let all = Agents::start(1).await;
    let address = all.agents[0].caller;
    let mut idle = Caller::connect(address).await;
    let mut silent = Caller::connect(address).await;
    silent.send("GET /read HTTP/1.1\r\nhos").await;
    let start = Instant::now();
    assert!(silent.is_closed().await);
    assert!(start.elapsed() >= Duration::from_millis(400));
    assert_eq!(idle.call("GET /read", "", "").await.status, 200);
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(idle.call("GET /read", "", "").await.status, 200);
}

/// Guards against a caller that reads nothing and keeps its slot for ever.
#[tokio::test]
async fn a_caller_that_does_not_read_is_cut_at_the_deadline() {
    let all = Agents::start(1).await;
    let agent = &all.agents[0];
    let mut caller = Caller::connect(agent.caller).await;
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
    let answer = caller.answer(false).await.unwrap();
    assert!(!answer.complete);
}

/// Guards against a caller that reads nothing and holds its slot until a late
/// deadline.
#[tokio::test]
async fn a_caller_that_does_not_read_is_cut_before_a_late_deadline() {
    let all = Agents::start(1).await;
    let agent = &all.agents[0];
    let mut caller = Caller::connect(agent.caller).await;
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

/// Guards against a peak that makes members unhealthy, against full load on a
/// server that sheds, and against work for one that can't be reached.
#[tokio::test]
async fn shedding_takes_slots_and_failures_take_health() {
    let mut all = Agents::start(1).await;
    let address = all.agents[0].caller;
    for _ in 0..6 {
        let answer = once(address, "GET /read?status=503", "", "").await;
        assert_eq!((answer.status, answer.outcome()), (503, ""));
    }
    let handler = all.agents[0].handler();
    assert!(handler.is_healthy());
    assert_eq!(handler.load(0).slots, 1);
    all.point(0, ports::free().into());
    // The first request makes two attempts; three failures are needed.
    once(address, "POST /once", "", "").await;
    assert!(all.agents[0].handler().is_healthy());
    once(address, "POST /once", "", "").await;
    assert!(!all.agents[0].handler().is_healthy());
    assert!(!all.agents[0].handler().load(0).serving);
}

/// Guards against queueing a request whose wait exceeds its time left.
#[tokio::test]
async fn hopeless_requests_are_refused_at_once() {
    let all = Agents::start(1).await;
    let address = all.agents[0].caller;
    for _ in 0..2 {
        once(address, "GET /read?delay=300", "", "").await;
    }
    for _ in 0..6 {
        tokio::spawn(async move { once(address, "GET /read?delay=300", "", "").await });
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let start = Instant::now();
    let headers = "Jacinthsill-Deadline-Ms: 400\r\n";
    let answer = once(address, "GET /read?hopeless=1", headers, "").await;
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
    assert!(start.elapsed() < Duration::from_millis(200));
    // Not even its body is wanted.
    let mut caller = Caller::connect(address).await;
    let head = "host: a\r\nexpect: 100-continue\r\ncontent-length: 3\r\n";
    caller
        .send(&format!(
            "POST /read?hopeless=1 HTTP/1.1\r\n{head}{headers}\r\n"
        ))
        .await;
    assert_eq!(caller.answer(false).await.unwrap().status, 503);
    assert_eq!(all.began("hopeless"), 0);
}
