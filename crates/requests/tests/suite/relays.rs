//! Tests requests relayed to siblings.

use std::time::{Duration, Instant};

use api::{MemberState, RelayHead};
use bytes::Bytes;
use requests::RelayReply;
use units::{Incarnation, Millis};

use crate::agents::{Cluster, SERVICE};
use crate::caller::{Caller, send_request};

/// Time after which each agent has polled the others.
const POLL_WAIT: Duration = Duration::from_millis(1_500);

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

/// Guards against new requests at a draining backend server (P6) and against broken
/// connections of its callers (P7).
#[tokio::test]
async fn draining_agent_relays_requests_on_open_connections() {
    let cluster = Cluster::start(3).await;
    tokio::time::sleep(POLL_WAIT).await;
    let mut caller = Caller::connect(cluster.agents[0].address).await;
    assert_eq!(caller.call("GET /read", "", "").await.status, 200);
    let address = cluster.agents[0].address;
    let running =
        tokio::spawn(async move { send_request(address, "GET /read?delay=500", "", "").await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    cluster.agents[0].handler().drain();
    for _ in 0..10 {
        let response = caller
            .call("POST /once?drained=1&size=3000", "", "body")
            .await;
        assert_eq!((response.status, response.body.len()), (200, 3_000));
    }
    assert_eq!(cluster.agents[0].fake.request_count("drained"), 0);
    assert_eq!(cluster.request_count("drained"), 10);
    assert!(running.await.unwrap().complete);
}

/// Guards against queued requests that start at a draining backend server (P6).
#[tokio::test]
async fn queued_requests_are_relayed_by_a_draining_agent() {
    let cluster = Cluster::start(2).await;
    let address = cluster.agents[0].address;
    for _ in 0..2 {
        tokio::spawn(async move { send_request(address, "GET /read?delay=1000", "", "").await });
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let waiting =
        tokio::spawn(async move { send_request(address, "POST /once?queued=1", "", "b").await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(cluster.request_count("queued"), 0);
    cluster.agents[0].handler().drain();
    assert_eq!(waiting.await.unwrap().status, 200);
    assert_eq!(cluster.agents[1].fake.request_count("queued"), 1);
}

/// Guards against requests that start at a draining backend server because no sibling
/// accepts them, and against a second relay.
#[tokio::test]
async fn draining_agent_without_siblings_rejects_requests() {
    let cluster = Cluster::start(2).await;
    tokio::time::sleep(POLL_WAIT).await;
    for agent in &cluster.agents {
        agent.handler().drain();
    }
    let response = send_request(cluster.agents[0].address, "POST /once", "", "b").await;
    assert_eq!((response.status, response.outcome()), (503, "not-run"));
    assert_eq!(cluster.request_count(""), 0);
}

/// Guards against short requests that wait behind long ones while a sibling has free slots.
#[tokio::test]
async fn full_agent_relays_to_a_free_sibling() {
    let cluster = Cluster::start(2).await;
    tokio::time::sleep(POLL_WAIT).await;
    let address = cluster.agents[0].address;
    for _ in 0..2 {
        tokio::spawn(async move { send_request(address, "GET /read?delay=2000", "", "").await });
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let start = Instant::now();
    assert_eq!(
        send_request(address, "GET /read?relayed=1", "", "")
            .await
            .status,
        200
    );
    assert!(start.elapsed() < Duration::from_secs(1));
    assert_eq!(cluster.agents[1].fake.request_count("relayed"), 1);
}

/// Guards against running a relayed request for another service or another
/// incarnation, or of an unknown class (P2).
#[tokio::test]
async fn relayed_requests_for_others_are_not_run() {
    let cluster = Cluster::start(1).await;
    let agent = &cluster.agents[0];
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
        let reply = agent.handler().relay(head, Bytes::new()).await;
        assert!(matches!(reply, RelayReply::NotRun { .. }), "{reply:?}");
    }
    let large = Bytes::from(vec![0; requests::MAX_RELAY_BODY + 1]);
    let reply = agent.handler().relay(own.clone(), large).await;
    assert!(matches!(reply, RelayReply::NotRun { .. }));
    assert_eq!(cluster.request_count(""), 0);
    let reply = agent.handler().relay(own, Bytes::new()).await;
    assert!(matches!(reply, RelayReply::Response { status: 200, .. }));
}

/// Guards against rejecting a burst at a draining agent although its siblings could
/// queue the requests.
#[tokio::test]
async fn requests_of_a_draining_agent_may_wait_at_siblings() {
    let cluster = Cluster::start(2).await;
    tokio::time::sleep(POLL_WAIT).await;
    cluster.agents[0].handler().drain();
    let address = cluster.agents[0].address;
    let calls: tokio::task::JoinSet<_> = (0..16)
        .map(|_| async move {
            send_request(address, "GET /read?delay=30", "", "")
                .await
                .status
        })
        .collect();
    assert_eq!(calls.join_all().await, [200; 16]);
}

/// Guards against a truncated or late response of a sibling that is reported as complete
/// or as not run.
#[tokio::test]
async fn failures_at_a_sibling_are_unknown() {
    let cluster = Cluster::start(2).await;
    tokio::time::sleep(POLL_WAIT).await;
    cluster.agents[0].handler().drain();
    let address = cluster.agents[0].address;
    for target in ["POST /once?mode=truncate&size=100", "POST /once?mode=close"] {
        let response = send_request(address, target, "", "b").await;
        assert_eq!(
            (response.status, response.outcome()),
            (502, "unknown"),
            "{target}"
        );
    }
    let headers = "Jacinthsill-Deadline-Ms: 300\r\n";
    let response = send_request(address, "POST /once?delay=3000", headers, "b").await;
    assert_eq!((response.status, response.outcome()), (504, "unknown"));
    assert_eq!(cluster.request_count("/once"), 3);
}

/// Guards against relaying to members that the table lists as draining.
#[tokio::test]
async fn draining_members_are_not_siblings() {
    let cluster = Cluster::start(2).await;
    let mut view = cluster.view();
    let tables = view.tables.get_mut(&SERVICE).unwrap();
    let mut table = api::Table::clone(&tables.current);
    table.members[1].state = MemberState::Draining;
    tables.current = table.into();
    cluster.agents[0].handler().update(&view);
    tokio::time::sleep(POLL_WAIT).await;
    assert!(cluster.agents[0].handler().sibling_loads().is_empty());
    cluster.agents[0].handler().drain();
    let response = send_request(cluster.agents[0].address, "GET /read", "", "").await;
    assert_eq!((response.status, response.outcome()), (503, "not-run"));
}

/// Guards against "not run" for an idempotent request whose first attempt failed after it
/// began, and whose second attempt is rejected.
#[tokio::test]
async fn rejected_retry_leaves_the_outcome_unknown() {
    let cluster = Cluster::start(1).await;
    let address = cluster.agents[0].address;
    let call = tokio::spawn(async move {
        send_request(address, "GET /read?mode=close&delay=200", "", "").await
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    cluster.agents[0].handler().drain();
    let response = call.await.unwrap();
    assert_eq!((response.status, response.outcome()), (502, "unknown"));
    assert_eq!(cluster.request_count("/read"), 1);
}
