//! Requests handed to siblings.

use std::time::{Duration, Instant};

use api::{MemberState, RelayHead};
use bytes::Bytes;
use requests::RelayReply;
use units::{Incarnation, Millis};

use crate::agents::{Agents, SERVICE};
use crate::caller::{Caller, once};

/// Time in which each agent has polled the others.
const POLLED: Duration = Duration::from_millis(1_500);

fn head(incarnation: Incarnation) -> RelayHead {
    RelayHead {
        service: SERVICE,
        incarnation,
        class: "read".parse().expect("valid"),
        left_ms: Millis(2_000),
        method: "GET".into(),
        uri: "/read?relayed=1".into(),
        headers: vec![("host".into(), "a".into())],
        leaving: false,
    }
}

/// Guards against new work at a leaving backend server (P6) and broken
/// connections to it (P7).
#[tokio::test]
async fn a_draining_agent_relays_on_its_connections() {
    let all = Agents::start(3).await;
    tokio::time::sleep(POLLED).await;
    let mut caller = Caller::connect(all.agents[0].caller).await;
    assert_eq!(caller.call("GET /read", "", "").await.status, 200);
    let address = all.agents[0].caller;
    let begun = tokio::spawn(async move { once(address, "GET /read?delay=500", "", "").await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    all.agents[0].handler().drain();
    for _ in 0..10 {
        let answer = caller
            .call("POST /once?drained=1&size=3000", "", "body")
            .await;
        assert_eq!((answer.status, answer.body.len()), (200, 3_000));
    }
    assert_eq!(all.agents[0].fake.count("drained"), 0);
    assert_eq!(all.began("drained"), 10);
    assert!(begun.await.unwrap().complete);
}

/// Guards against queued work that begins at a leaving backend server (P6).
#[tokio::test]
async fn waiting_requests_leave_a_draining_agent() {
    let all = Agents::start(2).await;
    let address = all.agents[0].caller;
    for _ in 0..2 {
        tokio::spawn(async move { once(address, "GET /read?delay=1000", "", "").await });
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let waiting = tokio::spawn(async move { once(address, "POST /once?queued=1", "", "b").await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(all.began("queued"), 0);
    all.agents[0].handler().drain();
    assert_eq!(waiting.await.unwrap().status, 200);
    assert_eq!(all.agents[1].fake.count("queued"), 1);
}

/// Guards against work that begins at a leaving backend server because no
/// sibling takes it, and against a second hop.
#[tokio::test]
async fn without_a_sibling_a_draining_agent_refuses() {
    let all = Agents::start(2).await;
    tokio::time::sleep(POLLED).await;
    for agent in &all.agents {
        agent.handler().drain();
    }
    let answer = once(all.agents[0].caller, "POST /once", "", "b").await;
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
    assert_eq!(all.began(""), 0);
}

/// Guards against short work that waits behind long work while a sibling is free.
#[tokio::test]
async fn a_full_agent_uses_a_free_sibling() {
    let all = Agents::start(2).await;
    tokio::time::sleep(POLLED).await;
    let address = all.agents[0].caller;
    for _ in 0..2 {
        tokio::spawn(async move { once(address, "GET /read?delay=2000", "", "").await });
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let start = Instant::now();
    assert_eq!(
        once(address, "GET /read?relayed=1", "", "").await.status,
        200
    );
    assert!(start.elapsed() < Duration::from_secs(1));
    assert_eq!(all.agents[1].fake.count("relayed"), 1);
}

/// Guards against a relayed request that runs at another service, another
/// incarnation or in a class that is not known (P2).
#[tokio::test]
async fn foreign_relays_are_not_run() {
    let all = Agents::start(1).await;
    let agent = &all.agents[0];
    let own = head(agent.incarnation);
    let foreign = [
        RelayHead {
            service: units::ServiceId(8),
            ..own.clone()
        },
        RelayHead {
            incarnation: Incarnation(99),
            ..own.clone()
        },
        RelayHead {
            class: "none".parse().unwrap(),
            ..own.clone()
        },
        RelayHead {
            uri: "/re ad".into(),
            ..own.clone()
        },
    ];
    for head in foreign {
        let answer = agent.handler().relay(head, Bytes::new()).await;
        assert!(matches!(answer, RelayReply::NotRun { .. }), "{answer:?}");
    }
    let large = Bytes::from(vec![0; requests::MAX_RELAY_BODY + 1]);
    let answer = agent.handler().relay(own.clone(), large).await;
    assert!(matches!(answer, RelayReply::NotRun { .. }));
    assert_eq!(all.began(""), 0);
    let answer = agent.handler().relay(own, Bytes::new()).await;
    assert!(matches!(answer, RelayReply::Response { status: 200, .. }));
}

/// Guards against a burst at a leaving agent that is refused although its
/// siblings could queue it.
#[tokio::test]
async fn relays_of_a_leaving_agent_may_wait() {
    let all = Agents::start(2).await;
    tokio::time::sleep(POLLED).await;
    all.agents[0].handler().drain();
    let address = all.agents[0].caller;
    let calls: tokio::task::JoinSet<_> = (0..16)
        .map(|_| async move { once(address, "GET /read?delay=30", "", "").await.status })
        .collect();
    assert_eq!(calls.join_all().await, [200; 16]);
}

/// Guards against a cut or late response of a sibling that passes as complete
/// or as not run.
#[tokio::test]
async fn failures_behind_a_sibling_are_unknown() {
    let all = Agents::start(2).await;
    tokio::time::sleep(POLLED).await;
    all.agents[0].handler().drain();
    let address = all.agents[0].caller;
    for target in ["POST /once?act=cut&size=100", "POST /once?act=close"] {
        let answer = once(address, target, "", "b").await;
        assert_eq!(
            (answer.status, answer.outcome()),
            (502, "unknown"),
            "{target}"
        );
    }
    let headers = "Jacinthsill-Deadline-Ms: 300\r\n";
    let answer = once(address, "POST /once?delay=3000", headers, "b").await;
    assert_eq!((answer.status, answer.outcome()), (504, "unknown"));
    assert_eq!(all.began("/once"), 3);
}

/// Guards against relays to members that the table lists as draining.
#[tokio::test]
async fn draining_members_are_no_siblings() {
    let all = Agents::start(2).await;
    let mut view = all.view();
    let tables = view.tables.get_mut(&SERVICE).unwrap();
    let mut table = api::Table::clone(&tables.current);
    table.members[1].state = MemberState::Draining;
    tables.current = table.into();
    all.agents[0].handler().update(&view);
    tokio::time::sleep(POLLED).await;
    assert!(all.agents[0].handler().sibling_loads().is_empty());
    all.agents[0].handler().drain();
    let answer = once(all.agents[0].caller, "GET /read", "", "").await;
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
}

/// Guards against "not run" for an idempotent request whose first attempt began and broke, and whose
/// next attempt finds no place.
#[tokio::test]
async fn a_retry_that_is_refused_leaves_the_outcome_unknown() {
    let all = Agents::start(1).await;
    let address = all.agents[0].caller;
    let call =
        tokio::spawn(async move { once(address, "GET /read?act=close&delay=200", "", "").await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    all.agents[0].handler().drain();
    let answer = call.await.unwrap();
    assert_eq!((answer.status, answer.outcome()), (502, "unknown"));
    assert_eq!(all.began("/read"), 1);
}
