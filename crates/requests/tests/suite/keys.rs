//! Idempotency keys over real agents.

use std::time::Duration;

use crate::agents::{Agents, now};
use crate::caller::{Caller, once};

fn header(key: &str) -> String {
    format!("Idempotency-Key: {key}\r\n")
}

/// Guards against a second run for a resend at any agent (P5).
#[tokio::test]
async fn resends_run_once_and_get_the_kept_response() {
    let all = Agents::start(3).await;
    let key = header(&format!("{}-order", now()));
    let first = once(all.agents[0].caller, "POST /once?size=9", &key, "b").await;
    assert_eq!(first.status, 200);
    tokio::time::sleep(Duration::from_millis(200)).await;
    for agent in &all.agents {
        let again = once(agent.caller, "POST /once?size=9", &key, "b").await;
        assert_eq!((again.status, &again.body), (200, &first.body));
    }
    let other = once(all.agents[1].caller, "POST /once?size=9", &key, "c").await;
    assert_eq!((other.status, other.outcome()), (422, "attempt-not-run"));
    assert_eq!(all.began("/once"), 1);
}

/// Guards against a second run while the first is running or after a response
/// that is too large to keep.
#[tokio::test]
async fn running_and_large_responses_are_conflicts() {
    let all = Agents::start(3).await;
    let key = header(&format!("{}-slow", now()));
    let address = all.agents[0].caller;
    let copy = key.clone();
    let first =
        tokio::spawn(
            async move { once(address, "POST /once?delay=500&size=5000", &copy, "b").await },
        );
    tokio::time::sleep(Duration::from_millis(200)).await;
    let target = "POST /once?delay=500&size=5000";
    let again = once(all.agents[1].caller, target, &key, "b").await;
    assert_eq!((again.status, again.outcome()), (409, "in-progress"));
    assert_eq!(first.await.unwrap().status, 200);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let again = once(all.agents[2].caller, target, &key, "b").await;
    assert_eq!((again.status, again.outcome()), (409, "unknown"));
    assert_eq!(all.began("/once"), 1);
}

/// Guards against a second run after the outcome was lost (P5).
#[tokio::test]
async fn an_unknown_outcome_stays_unknown() {
    let all = Agents::start(3).await;
    for (name, target) in [
        ("cut", "POST /once?act=close"),
        ("late", "POST /once?delay=3000"),
    ] {
        let key = header(&format!("{}-{name}", now()));
        let headers = format!("{key}Jacinthsill-Deadline-Ms: 300\r\n");
        let first = once(all.agents[0].caller, target, &headers, "b").await;
        assert_eq!(first.outcome(), "unknown");
        tokio::time::sleep(Duration::from_millis(200)).await;
        let again = once(all.agents[1].caller, target, &key, "b").await;
        assert_eq!((again.status, again.outcome()), (409, "unknown"));
    }
    assert_eq!(all.began("/once"), 2);
}

/// Guards against a key that stays taken though its request surely did not begin.
#[tokio::test]
async fn a_refused_attempt_gives_its_claim_back() {
    let mut all = Agents::start(3).await;
    all.point(0, ports::free().into());
    let key = header(&format!("{}-again", now()));
    let first = once(all.agents[0].caller, "POST /once", &key, "b").await;
    assert_eq!((first.status, first.outcome()), (503, "not-run"));
    tokio::time::sleep(Duration::from_millis(200)).await;
    let again = once(all.agents[1].caller, "POST /once", &key, "b").await;
    assert_eq!(again.status, 200);
    assert_eq!(all.began("/once"), 1);
}

/// Guards against a second run by replicas that forgot the key in a restart.
#[tokio::test]
async fn restarted_agents_grant_nothing_they_may_have_granted() {
    let mut all = Agents::start(3).await;
    let text = format!("{}-restart", now());
    let key = header(&text);
    assert_eq!(
        once(all.agents[0].caller, "POST /once?size=5000", &key, "b")
            .await
            .status,
        200
    );
    all.restart(0);
    let again = once(all.agents[0].caller, "POST /once?size=5000", &key, "b").await;
    assert_eq!((again.status, again.outcome()), (409, "unknown"));
    all.restart(1);
    let again = once(all.agents[1].caller, "POST /once?size=5000", &key, "b").await;
    assert!(["unknown", "attempt-not-run"].contains(&again.outcome()));
    all.restart(2);
    let again = once(all.agents[2].caller, "POST /once?size=5000", &key, "b").await;
    assert_eq!((again.status, again.outcome()), (503, "attempt-not-run"));
    // A new set with the new incarnations serves new keys, and only those.
    let start = now();
    all.sets.push(api::KeySet {
        start: units::Millis(start),
        members: all.key_members(),
    });
    all.update();
    let again = once(all.agents[0].caller, "POST /once?size=5000", &key, "b").await;
    assert_eq!(again.outcome(), "attempt-not-run");
    let fresh = header(&format!("{}-fresh", start + 1));
    assert_eq!(
        once(all.agents[0].caller, "POST /once?fresh=1", &fresh, "b")
            .await
            .status,
        200
    );
    assert_eq!((all.began("size=5000"), all.began("fresh")), (1, 1));
}

/// Guards against keys outside their window, past the horizon, or malformed.
#[tokio::test]
async fn keys_outside_their_time_are_not_run() {
    let mut all = Agents::start(3).await;
    let address = all.agents[0].caller;
    let late = once(
        address,
        "POST /once",
        &header(&format!("{}-a", now() - 600_001)),
        "",
    )
    .await;
    assert_eq!((late.status, late.outcome()), (409, "unknown"));
    let early = once(
        address,
        "POST /once",
        &header(&format!("{}-a", now() + 6_000)),
        "",
    )
    .await;
    assert_eq!((early.status, early.outcome()), (409, "unknown"));
    let bad = once(address, "POST /once", &header("order-1"), "").await;
    assert_eq!((bad.status, bad.outcome()), (400, "attempt-not-run"));
    all.horizon = now() - 1_000;
    all.update();
    let past = once(address, "POST /once", &header(&format!("{}-a", now())), "").await;
    assert_eq!((past.status, past.outcome()), (503, "attempt-not-run"));
    assert_eq!(all.began(""), 0);
    // Work without keys goes on without a horizon.
    assert_eq!(once(address, "POST /once", "", "").await.status, 200);
}

/// Guards against a second run when many copies of one request arrive at once
/// at all agents, some of whose callers leave.
#[tokio::test]
async fn crossed_copies_run_at_most_once() {
    let all = Agents::start(3).await;
    for round in 0..20 {
        let name = format!("copy={round}.");
        let key = header(&format!("{}-{round}", now()));
        let mut calls = Vec::new();
        for copy in 0..6 {
            let address = all.agents[copy % 3].caller;
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
                    Some(once(address, &target, &key, "").await)
                }
            }));
        }
        let mut answered = 0;
        for call in calls {
            let Some(answer) = call.await.unwrap() else {
                continue;
            };
            answered += usize::from(answer.status == 200);
            let outcomes = ["in-progress", "attempt-not-run", "not-run", "unknown"];
            assert!(answer.status == 200 || outcomes.contains(&answer.outcome()));
            if answer.outcome() == "not-run" {
                assert_eq!(all.began(&name), 0, "told not run after it began");
            }
        }
        assert!(all.began(&name) <= 1, "round {round}");
        assert!(answered == 0 || all.began(&name) == 1);
    }
}
