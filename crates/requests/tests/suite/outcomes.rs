//! What callers are told, against the record of the backend server.

use std::time::Duration;

use requests::ServeEnd;

use crate::agents::Agents;
use crate::caller::{Caller, once};

/// Guards against a cut response that HTTP presents as complete (P3).
#[tokio::test]
async fn cut_responses_are_never_complete() {
    let all = Agents::start(1).await;
    let agent = &all.agents[0];
    for act in ["cut", "cut-chunked"] {
        let mut caller = Caller::connect(agent.caller).await;
        let target = format!("GET /read?act={act}&size=20000");
        let answer = caller.call(&target, "", "").await;
        assert_eq!(answer.status, 200);
        assert!(!answer.complete, "{act}");
        assert!(caller.is_closed().await);
    }
    // The end of a response without a length can't be told from a cut.
    let answer = once(agent.caller, "GET /read?act=no-length", "", "").await;
    assert_eq!((answer.status, answer.outcome()), (502, "unknown"));
    tokio::time::sleep(Duration::from_millis(50)).await;
    let ends = agent.ends.lock().unwrap();
    assert_eq!(ends.iter().filter(|end| **end == ServeEnd::Cut).count(), 2);
}

/// Guards against HTTP/1.0 callers, for whom a cut would look complete.
#[tokio::test]
async fn old_versions_are_refused() {
    let all = Agents::start(1).await;
    let mut caller = Caller::connect(all.agents[0].caller).await;
    caller
        .send("GET /read?act=cut-chunked HTTP/1.0\r\nhost: a\r\n\r\n")
        .await;
    let answer = caller.answer(false).await.unwrap();
    assert_eq!((answer.status, answer.outcome()), (505, "not-run"));
    assert_eq!(all.began(""), 0);
}

/// Guards against delivering a response that belongs to another request (P3).
#[tokio::test]
async fn mixed_up_responses_are_refused() {
    let all = Agents::start(1).await;
    let answer = once(all.agents[0].caller, "GET /read?act=mixed", "", "").await;
    assert_eq!((answer.status, answer.outcome()), (502, "unknown"));
}

/// Guards against a backend server whose own header would claim an outcome.
#[tokio::test]
async fn a_backend_server_cannot_state_an_outcome() {
    let all = Agents::start(1).await;
    let answer = once(all.agents[0].caller, "GET /read?act=forge", "", "").await;
    assert_eq!((answer.status, answer.outcome()), (200, ""));
    assert_eq!(answer.header("connection"), None);
}

/// Guards against a second run of a request that may have begun (P5), and
/// against calling it not run (P4).
#[tokio::test]
async fn a_broken_request_is_unknown_and_runs_once() {
    let all = Agents::start(1).await;
    for act in ["close", "garbage"] {
        let target = format!("POST /once?act={act}");
        let answer = once(all.agents[0].caller, &target, "", "b").await;
        assert_eq!((answer.status, answer.outcome()), (502, "unknown"));
        assert_eq!(all.began(&format!("act={act}")), 1, "{act}");
    }
}

/// Guards against giving up an idempotent request that may be sent again, and
/// against more retries than attempts allow.
#[tokio::test]
async fn an_idempotent_request_is_sent_again_within_its_attempts() {
    let all = Agents::start(1).await;
    let answer = once(all.agents[0].caller, "GET /read?act=close", "", "").await;
    assert_eq!((answer.status, answer.outcome()), (502, "unknown"));
    assert_eq!(all.began("act=close"), 2);
}

/// Guards against retries that add more than their share of the load.
#[tokio::test]
async fn retries_stay_within_the_budget() {
    let all = Agents::start(1).await;
    for _ in 0..60 {
        once(all.agents[0].caller, "GET /read?act=close", "", "").await;
    }
    let began = all.began("act=close");
    // 10% of 60, and the one that a new agent may make at once.
    assert!((60..=60 + 6 + 1).contains(&began), "{began}");
}

/// Guards against "not run" for a request that a backend server saw (P4).
#[tokio::test]
async fn an_unreachable_backend_server_means_not_run() {
    let mut all = Agents::start(1).await;
    all.point(0, ports::free().into());
    let answer = once(all.agents[0].caller, "POST /once", "", "b").await;
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
    assert!(answer.header("retry-after").is_some());
    assert_eq!(all.began(""), 0);
}

/// Guards against work that goes on after its deadline or its caller.
#[tokio::test]
async fn deadline_and_leaving_caller_cancel_the_request() {
    let all = Agents::start(1).await;
    let agent = &all.agents[0];
    let answer = once(agent.caller, "GET /brief?delay=3000", "", "").await;
    assert_eq!((answer.status, answer.outcome()), (504, "unknown"));
    let headers = "Jacinthsill-Deadline-Ms: 200\r\n";
    let answer = once(agent.caller, "GET /read?delay=3000", headers, "").await;
    assert_eq!((answer.status, answer.outcome()), (504, "unknown"));
    let mut caller = Caller::connect(agent.caller).await;
    caller
        .send("GET /read?delay=3000&left=1 HTTP/1.1\r\nhost: a\r\n\r\n")
        .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(caller);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let began = agent.fake.began();
    assert_eq!(began.len(), 3);
    assert!(began.iter().all(|began| began.cancelled), "{began:?}");
    assert_eq!(agent.handler().active_requests(), 0);
    let left = began[1]
        .head
        .split("jacinthsill-deadline-ms: ")
        .nth(1)
        .unwrap();
    let left: u64 = left.split("\r\n").next().unwrap().parse().unwrap();
    assert!((1..=200).contains(&left), "{left}");
}

/// Guards against counts that hide refusals or unknown outcomes.
#[tokio::test]
async fn counts_follow_the_outcomes() {
    let all = Agents::start(1).await;
    let agent = &all.agents[0];
    once(agent.caller, "GET /read", "", "").await;
    once(agent.caller, "GET /read?status=500", "", "").await;
    once(agent.caller, "POST /once?act=close", "", "").await;
    once(
        agent.caller,
        "GET /read",
        "Jacinthsill-Deadline-Ms: 0\r\n",
        "",
    )
    .await;
    let mut sums = std::collections::BTreeMap::new();
    for bucket in agent.handler().take_counts() {
        let class = bucket.class.unwrap();
        let counts: &mut api::Counts = sums.entry(class.to_string()).or_default();
        counts.add(&bucket.counts);
    }
    let (read, once) = (sums["read"], sums["once"]);
    assert_eq!(
        (read.good, read.bad, read.not_run, read.unknown),
        (1, 2, 1, 0)
    );
    assert_eq!((once.good, once.bad, once.unknown), (0, 1, 1));
    assert!(agent.handler().take_counts().is_empty());
}
