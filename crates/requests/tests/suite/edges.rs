//! Edge cases of HTTP/1.1.

use crate::agents::Cluster;
use crate::caller::{Caller, send_request};

/// Guards against request smuggling with conflicting lengths.
#[tokio::test]
async fn conflicting_lengths_are_rejected() {
    let cluster = Cluster::start(1).await;
    let heads = [
        "content-length: 4\r\ntransfer-encoding: chunked",
        "transfer-encoding: chunked\r\ncontent-length: 4",
        "content-length: 4\r\ncontent-length: 5",
        "transfer-encoding: xchunked",
    ];
    for head in heads {
        let mut caller = Caller::connect(cluster.agents[0].address).await;
        let hidden = "0\r\n\r\nGET /read?hidden=1 HTTP/1.1\r\nhost: a\r\n\r\n";
        let text = format!("POST /once HTTP/1.1\r\nhost: a\r\n{head}\r\n\r\n{hidden}");
        caller.send(&text).await;
        let response = caller.read_response(false).await.unwrap();
        assert_eq!(response.status, 400, "{head}");
        assert!(caller.is_closed().await, "{head}");
    }
    assert_eq!(cluster.request_count(""), 0);
}

/// Guards against accepting malformed or oversized heads.
#[tokio::test]
async fn invalid_heads_are_rejected() {
    let cluster = Cluster::start(1).await;
    let long = format!(
        "GET /read HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n",
        "h".repeat(17 << 10)
    );
    let many = format!(
        "GET /read HTTP/1.1\r\nhost: a\r\n{}\r\n",
        "a: b\r\n".repeat(101)
    );
    let cases = [
        ("GET /read\r\n\r\n", 400),
        ("GET /read HTTP/1.1\r\n\r\n", 400),
        ("GET /read HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", 400),
        ("GET /read HTTP/1.1\r\nhost : a\r\n\r\n", 400),
        ("CONNECT a:80 HTTP/1.1\r\nhost: a\r\n\r\n", 501),
        (long.as_str(), 431),
        (many.as_str(), 431),
    ];
    for (text, status) in cases {
        let mut caller = Caller::connect(cluster.agents[0].address).await;
        caller.send(text).await;
        let response = caller.read_response(false).await.unwrap();
        assert_eq!(response.status, status, "{:.60}", text);
    }
    let response = send_request(cluster.agents[0].address, "GET /other", "", "").await;
    assert_eq!((response.status, response.outcome()), (404, "not-run"));
    assert_eq!(cluster.request_count(""), 0);
}

/// Guards against reordered responses and lost requests on one connection.
#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let cluster = Cluster::start(1).await;
    let mut caller = Caller::connect(cluster.agents[0].address).await;
    let get = |n: usize| format!("GET /read?size={n} HTTP/1.1\r\nhost: a\r\n\r\n");
    let post = "POST /read?size=7 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n\
                3\r\nabc\r\n2;ext=1\r\nde\r\n0\r\nx-trailer: 1\r\n\r\n";
    let text = format!("{}{}{post}{}", get(5), get(6), get(8));
    caller.send(&text).await;
    for size in 5..=8 {
        let response = caller.read_response(false).await.unwrap();
        assert_eq!((response.status, response.body.len()), (200, size));
    }
    assert!(
        !cluster.agents[0].fake.requests()[2]
            .head
            .contains("x-trailer")
    );
}

/// Guards against `100 Continue` for a body that will be rejected, and against callers that
/// wait for it forever.
#[tokio::test]
async fn expect_continue_is_answered_only_for_accepted_bodies() {
    let cluster = Cluster::start(1).await;
    let mut caller = Caller::connect(cluster.agents[0].address).await;
    let head = "host: a\r\nexpect: 100-continue\r\ncontent-length: ";
    caller
        .send(&format!("POST /read HTTP/1.1\r\n{head}3\r\n\r\n"))
        .await;
    assert_eq!(caller.read_response(false).await.unwrap().status, 100);
    caller.send("abc").await;
    assert_eq!(caller.read_response(false).await.unwrap().status, 200);
    caller
        .send(&format!("POST /small HTTP/1.1\r\n{head}101\r\n\r\n"))
        .await;
    assert_eq!(caller.read_response(false).await.unwrap().status, 413);
    let requests = cluster.agents[0].fake.requests();
    assert_eq!(
        (requests.len(), requests[0].body.as_slice()),
        (1, &b"abc"[..])
    );
    assert!(!requests[0].head.contains("expect"));
}

/// Guards against bodies in responses to HEAD and against forwarded hop-by-hop headers.
#[tokio::test]
async fn head_requests_and_hop_by_hop_headers() {
    let cluster = Cluster::start(1).await;
    let mut caller = Caller::connect(cluster.agents[0].address).await;
    let response = caller.call("HEAD /read?size=1000", "", "").await;
    assert_eq!(
        (response.status, response.header("content-length")),
        (200, Some("1000"))
    );
    let headers = "connection: x-private, keep-alive\r\nx-private: 1\r\nupgrade: h2c\r\n\
                   te: trailers\r\nx-public: 1\r\n";
    assert_eq!(caller.call("GET /read", headers, "").await.status, 200);
    let response = caller
        .call("GET /read?mode=chunked&size=3000", "", "")
        .await;
    assert!(response.complete && response.body.len() >= 3_000);
    let response = caller.call("GET /read", "connection: close\r\n", "").await;
    assert_eq!(response.status, 200);
    assert!(caller.is_closed().await);
    let head = &cluster.agents[0].fake.requests()[1].head;
    for name in ["x-private", "upgrade", "te:", "connection"] {
        assert!(!head.contains(name), "{name}: {head}");
    }
    assert!(head.contains("x-public"));
}

/// Guards against a new connection for each idempotent request, and against reused connections
/// for non-idempotent ones: if the backend server closed one, the outcome would be unknown.
#[tokio::test]
async fn only_idempotent_requests_reuse_connections() {
    let cluster = Cluster::start(1).await;
    let agent = &cluster.agents[0];
    for _ in 0..5 {
        send_request(agent.address, "GET /read", "", "").await;
    }
    assert_eq!(agent.fake.connections(), 1);
    for _ in 0..5 {
        send_request(agent.address, "POST /once", "", "b").await;
    }
    assert_eq!(agent.fake.connections(), 6);
}

/// Guards against large bodies that are altered, or buffered in memory completely.
#[tokio::test]
async fn large_bodies_are_forwarded_in_both_directions() {
    let cluster = Cluster::start(1).await;
    let body = "u".repeat(900_000);
    let response = send_request(
        cluster.agents[0].address,
        "POST /long?size=900000",
        "",
        &body,
    )
    .await;
    assert!(response.complete && response.body.len() == 900_000);
    assert_eq!(cluster.agents[0].fake.requests()[0].body.len(), 900_000);
}
