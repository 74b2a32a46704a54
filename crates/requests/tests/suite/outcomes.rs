//! Outcomes that callers receive, compared with the requests that the backend server
//! recorded.

use std::time::Duration;

use requests::ServeEnd;

use crate::agents::Cluster;
use crate::caller::{Caller, send_request};

/// Guards against a truncated response that looks complete to the caller (P3).
#[tokio::test]
async fn truncated_responses_are_never_complete() {
    let cluster = Cluster::start(1).await;
    let agent = &cluster.agents[0];
    for mode in ["truncate", "truncate-chunked"] {
        let mut caller = Caller::connect(agent.address).await;
        let target = format!("GET /read?mode={mode}&size=20000");
        let response = caller.call(&target, "", "").await;
        assert_eq!(response.status, 200);
        assert!(!response.complete, "{mode}");
        assert!(caller.is_closed().await);
    }
    // Without a length, the end of a response can't be distinguished from truncation.
    let response = send_request(agent.address, "GET /read?mode=no-length", "", "").await;
    assert_eq!((response.status, response.outcome()), (502, "unknown"));
    tokio::time::sleep(Duration::from_millis(50)).await;
    let ends = agent.ends.lock().unwrap();
    assert_eq!(ends.iter().filter(|end| **end == ServeEnd::Cut).count(), 2);
}

/// Guards against serving HTTP/1.0 callers, to whom a truncated response would look complete.
#[tokio::test]
async fn old_http_versions_are_rejected() {
    let cluster = Cluster::start(1).await;
    let mut caller = Caller::connect(cluster.agents[0].address).await;
    caller
        .send("GET /read?mode=truncate-chunked HTTP/1.0\r\nhost: a\r\n\r\n")
        .await;
    let response = caller.read_response(false).await.unwrap();
    assert_eq!((response.status, response.outcome()), (505, "not-run"));
    assert_eq!(cluster.request_count(""), 0);
}

/// Guards against delivering a response that belongs to another request (P3).
#[tokio::test]
async fn responses_of_other_requests_are_rejected() {
    let cluster = Cluster::start(1).await;
    let response = send_request(cluster.agents[0].address, "GET /read?mode=wrong-id", "", "").await;
    assert_eq!((response.status, response.outcome()), (502, "unknown"));
}

/// Guards against forwarding an outcome header that the backend server sent itself.
#[tokio::test]
async fn outcome_header_of_the_backend_server_is_removed() {
    let cluster = Cluster::start(1).await;
    let response = send_request(
        cluster.agents[0].address,
        "GET /read?mode=forge-outcome",
        "",
        "",
    )
    .await;
    assert_eq!((response.status, response.outcome()), (200, ""));
    assert_eq!(response.header("connection"), None);
}

/// Guards against running a request again that may have run (P5), and against
/// reporting it as not run (P4).
#[tokio::test]
async fn failed_request_is_unknown_and_runs_once() {
    let cluster = Cluster::start(1).await;
    for mode in ["close", "garbage"] {
        let target = format!("POST /once?mode={mode}");
        let response = send_request(cluster.agents[0].address, &target, "", "b").await;
        assert_eq!((response.status, response.outcome()), (502, "unknown"));
        assert_eq!(cluster.request_count(&format!("mode={mode}")), 1, "{mode}");
    }
}

/// Guards against a failed idempotent request that is not retried, and against
/// more attempts than configured.
#[tokio::test]
async fn idempotent_request_is_retried_within_its_attempts() {
    let cluster = Cluster::start(1).await;
    let response = send_request(cluster.agents[0].address, "GET /read?mode=close", "", "").await;
    assert_eq!((response.status, response.outcome()), (502, "unknown"));
    assert_eq!(cluster.request_count("mode=close"), 2);
}

/// Guards against retries that exceed the retry budget.
#[tokio::test]
async fn retries_stay_within_the_budget() {
    let cluster = Cluster::start(1).await;
    for _ in 0..60 {
        send_request(cluster.agents[0].address, "GET /read?mode=close", "", "").await;
    }
    let attempts = cluster.request_count("mode=close");
    // 10% of 60, and one retry that a new agent may make immediately.
    assert!((60..=60 + 6 + 1).contains(&attempts), "{attempts}");
}

/// Guards against "not run" for a request that the backend server received (P4).
#[tokio::test]
async fn unreachable_backend_server_means_not_run() {
    let mut cluster = Cluster::start(1).await;
    cluster.set_backend(0, ports::free().into());
    let response = send_request(cluster.agents[0].address, "POST /once", "", "b").await;
    assert_eq!((response.status, response.outcome()), (503, "not-run"));
    assert!(response.header("retry-after").is_some());
    assert_eq!(cluster.request_count(""), 0);
}

/// Guards against requests that keep running after their deadline or after the caller
/// disconnected.
#[tokio::test]
async fn deadline_and_disconnected_caller_cancel_the_request() {
    let cluster = Cluster::start(1).await;
    let agent = &cluster.agents[0];
    let response = send_request(agent.address, "GET /brief?delay=3000", "", "").await;
    assert_eq!((response.status, response.outcome()), (504, "unknown"));
    let headers = "Jacinthsill-Deadline-Ms: 200\r\n";
    let response = send_request(agent.address, "GET /read?delay=3000", headers, "").await;
    assert_eq!((response.status, response.outcome()), (504, "unknown"));
    let mut caller = Caller::connect(agent.address).await;
    caller
        .send("GET /read?delay=3000&disconnect=1 HTTP/1.1\r\nhost: a\r\n\r\n")
        .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(caller);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let requests = agent.fake.requests();
    assert_eq!(requests.len(), 3);
    assert!(
        requests.iter().all(|request| request.cancelled),
        "{requests:?}"
    );
    assert_eq!(agent.handler().active_requests(), 0);
    let remaining_ms = requests[1]
        .head
        .split("jacinthsill-deadline-ms: ")
        .nth(1)
        .unwrap();
    let remaining_ms: u64 = remaining_ms.split("\r\n").next().unwrap().parse().unwrap();
    assert!((1..=200).contains(&remaining_ms), "{remaining_ms}");
}

/// Guards against counts that omit rejected requests or unknown outcomes.
#[tokio::test]
async fn counts_follow_the_outcomes() {
    let cluster = Cluster::start(1).await;
    let agent = &cluster.agents[0];
    send_request(agent.address, "GET /read", "", "").await;
    send_request(agent.address, "GET /read?status=500", "", "").await;
    send_request(agent.address, "POST /once?mode=close", "", "").await;
    send_request(
        agent.address,
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
