//! Tests idempotency keys across agents.

use std::time::Duration;

use crate::agents::{Cluster, unix_now};
use crate::caller::{Caller, send_request};

fn header(key: &str) -> String {
    format!("Idempotency-Key: {key}\r\n")
}

/// Guards against running a request again that is resent to any agent (P5).
#[tokio::test]
async fn resent_requests_run_once_and_get_the_stored_response() {
    let cluster = Cluster::start(3).await;
    let key = header(&format!("{}-order", unix_now()));
    let first = send_request(cluster.agents[0].address, "POST /once?size=9", &key, "b").await;
    assert_eq!(first.status, 200);
    tokio::time::sleep(Duration::from_millis(200)).await;
    for agent in &cluster.agents {
        let again = send_request(agent.address, "POST /once?size=9", &key, "b").await;
        assert_eq!((again.status, &again.body), (200, &first.body));
    }
    let other = send_request(cluster.agents[1].address, "POST /once?size=9", &key, "c").await;
    assert_eq!((other.status, other.outcome()), (422, "attempt-not-run"));
    assert_eq!(cluster.request_count("/once"), 1);
}

/// Guards against running a request again while the first attempt is running or
/// after a response that is too large to store.
#[tokio::test]
async fn running_and_large_responses_are_conflicts() {
    let cluster = Cluster::start(3).await;
    let key = header(&format!("{}-slow", unix_now()));
    let address = cluster.agents[0].address;
    let copy = key.clone();
    let first = tokio::spawn(async move {
        send_request(address, "POST /once?delay=500&size=5000", &copy, "b").await
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    let target = "POST /once?delay=500&size=5000";
    let again = send_request(cluster.agents[1].address, target, &key, "b").await;
    assert_eq!((again.status, again.outcome()), (409, "in-progress"));
    assert_eq!(first.await.unwrap().status, 200);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let again = send_request(cluster.agents[2].address, target, &key, "b").await;
    assert_eq!((again.status, again.outcome()), (409, "unknown"));
    assert_eq!(cluster.request_count("/once"), 1);
}

/// Guards against running a request again after its outcome was lost (P5).
#[tokio::test]
async fn unknown_outcome_stays_unknown() {
    let cluster = Cluster::start(3).await;
    for (name, target) in [
        ("closed", "POST /once?mode=close"),
        ("late", "POST /once?delay=3000"),
    ] {
        let key = header(&format!("{}-{name}", unix_now()));
        let headers = format!("{key}Jacinthsill-Deadline-Ms: 300\r\n");
        let first = send_request(cluster.agents[0].address, target, &headers, "b").await;
        assert_eq!(first.outcome(), "unknown");
        tokio::time::sleep(Duration::from_millis(200)).await;
        let again = send_request(cluster.agents[1].address, target, &key, "b").await;
        assert_eq!((again.status, again.outcome()), (409, "unknown"));
    }
    assert_eq!(cluster.request_count("/once"), 2);
}

/// Guards against a key that stays claimed although its request certainly did not begin.
#[tokio::test]
async fn rejected_attempt_releases_its_claim() {
    let mut cluster = Cluster::start(3).await;
    cluster.set_backend(0, ports::free().into());
    let key = header(&format!("{}-again", unix_now()));
    let first = send_request(cluster.agents[0].address, "POST /once", &key, "b").await;
    assert_eq!((first.status, first.outcome()), (503, "not-run"));
    tokio::time::sleep(Duration::from_millis(200)).await;
    let again = send_request(cluster.agents[1].address, "POST /once", &key, "b").await;
    assert_eq!(again.status, 200);
    assert_eq!(cluster.request_count("/once"), 1);
}

/// Guards against a second run after replicas lost the key in a restart.
#[tokio::test]
async fn restarted_agents_deny_keys_they_may_have_granted() {
    let mut cluster = Cluster::start(3).await;
    let text = format!("{}-restart", unix_now());
    let key = header(&text);
    assert_eq!(
        send_request(cluster.agents[0].address, "POST /once?size=5000", &key, "b")
            .await
            .status,
        200
    );
    cluster.restart(0);
    let again = send_request(cluster.agents[0].address, "POST /once?size=5000", &key, "b").await;
    assert_eq!((again.status, again.outcome()), (409, "unknown"));
    cluster.restart(1);
    let again = send_request(cluster.agents[1].address, "POST /once?size=5000", &key, "b").await;
    assert!(["unknown", "attempt-not-run"].contains(&again.outcome()));
    cluster.restart(2);
    let again = send_request(cluster.agents[2].address, "POST /once?size=5000", &key, "b").await;
    assert_eq!((again.status, again.outcome()), (503, "attempt-not-run"));
    // A new key set with the new incarnations serves only newer keys.
    let start = unix_now();
    cluster.key_sets.push(api::KeySet {
        start: units::Millis(start),
        members: cluster.key_members(),
    });
    cluster.update();
    let again = send_request(cluster.agents[0].address, "POST /once?size=5000", &key, "b").await;
    assert_eq!(again.outcome(), "attempt-not-run");
    let fresh = header(&format!("{}-fresh", start + 1));
    assert_eq!(
        send_request(cluster.agents[0].address, "POST /once?fresh=1", &fresh, "b")
            .await
            .status,
        200
    );
    assert_eq!(
        (
            cluster.request_count("size=5000"),
            cluster.request_count("fresh")
        ),
        (1, 1)
    );
}

/// Guards against accepting keys that are outside their window, past the horizon or malformed.
#[tokio::test]
async fn keys_outside_their_window_are_rejected() {
    let mut cluster = Cluster::start(3).await;
    let address = cluster.agents[0].address;
    let late = send_request(
        address,
        "POST /once",
        &header(&format!("{}-a", unix_now() - 600_001)),
        "",
    )
    .await;
    assert_eq!((late.status, late.outcome()), (409, "unknown"));
    let early = send_request(
        address,
        "POST /once",
        &header(&format!("{}-a", unix_now() + 6_000)),
        "",
    )
    .await;
    assert_eq!((early.status, early.outcome()), (409, "unknown"));
    let bad = send_request(address, "POST /once", &header("order-1"), "").await;
    assert_eq!((bad.status, bad.outcome()), (400, "attempt-not-run"));
    cluster.horizon = unix_now() - 1_000;
    cluster.update();
    let past = send_request(
        address,
        "POST /once",
        &header(&format!("{}-a", unix_now())),
        "",
    )
    .await;
    assert_eq!((past.status, past.outcome()), (503, "attempt-not-run"));
    assert_eq!(cluster.request_count(""), 0);
    // Requests without a key don't depend on the horizon.
    assert_eq!(
        send_request(address, "POST /once", "", "").await.status,
        200
    );
}

/// Guards against a second run when several copies of one request arrive concurrently
/// at all agents and some callers disconnect.
#[tokio::test]
async fn concurrent_copies_run_at_most_once() {
    let cluster = Cluster::start(3).await;
    for round in 0..20 {
        let name = format!("copy={round}.");
        let key = header(&format!("{}-{round}", unix_now()));
        let mut calls = Vec::new();
        for copy in 0..6 {
            let address = cluster.agents[copy % 3].address;
            let target = format!("POST /once?{name}");
            let key = key.clone();
            calls.push(tokio::spawn(async move {
                if copy == 5 {
                    let mut caller = Caller::connect(address).await;
                    caller
                        .send(&format!("{target} HTTP/1.1\r\nhost: a\r\n{key}\r\n"))
                        .await;
                    None
                } else {
                    Some(send_request(address, &target, &key, "").await)
                }
            }));
        }
        let mut answered = 0;
        for call in calls {
            let Some(response) = call.await.unwrap() else {
                continue;
            };
            answered += usize::from(response.status == 200);
            let outcomes = ["in-progress", "attempt-not-run", "not-run", "unknown"];
            assert!(response.status == 200 || outcomes.contains(&response.outcome()));
            if response.outcome() == "not-run" {
                assert_eq!(
                    cluster.request_count(&name),
                    0,
                    "reported as not run after it was received"
                );
            }
        }
        assert!(cluster.request_count(&name) <= 1, "round {round}");
        assert!(answered == 0 || cluster.request_count(&name) == 1);
    }
}
