//! Edge cases of HTTP/1.1.

use crate::agents::Agents;
use crate::caller::{Caller, once};

/// Guards against two lengths that let one request hide another.
#[tokio::test]
async fn conflicting_lengths_are_refused() {
    let all = Agents::start(1).await;
    let heads = [
        "content-length: 4\r\ntransfer-encoding: chunked",
        "transfer-encoding: chunked\r\ncontent-length: 4",
        "content-length: 4\r\ncontent-length: 5",
        "transfer-encoding: xchunked",
    ];
    for head in heads {
        let mut caller = Caller::connect(all.agents[0].caller).await;
        let hidden = "0\r\n\r\nGET /read?hidden=1 HTTP/1.1\r\nhost: a\r\n\r\n";
        let text = format!("POST /once HTTP/1.1\r\nhost: a\r\n{head}\r\n\r\n{hidden}");
        caller.send(&text).await;
        let answer = caller.answer(false).await.unwrap();
        assert_eq!(answer.status, 400, "{head}");
        assert!(caller.is_closed().await, "{head}");
    }
    assert_eq!(all.began(""), 0);
}

/// Guards against malformed and oversized heads.
#[tokio::test]
async fn invalid_heads_are_refused() {
    let all = Agents::start(1).await;
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
        let mut caller = Caller::connect(all.agents[0].caller).await;
        caller.send(text).await;
        let answer = caller.answer(false).await.unwrap();
        assert_eq!(answer.status, status, "{:.60}", text);
    }
    let answer = once(all.agents[0].caller, "GET /other", "", "").await;
    assert_eq!((answer.status, answer.outcome()), (404, "not-run"));
    assert_eq!(all.began(""), 0);
}

/// Guards against responses out of order and lost requests on one connection.
#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let all = Agents::start(1).await;
    let mut caller = Caller::connect(all.agents[0].caller).await;
    let get = |n: usize| format!("GET /read?size={n} HTTP/1.1\r\nhost: a\r\n\r\n");
    let post = "POST /read?size=7 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n\
                3\r\nabc\r\n2;ext=1\r\nde\r\n0\r\nx-trailer: 1\r\n\r\n";
    let text = format!("{}{}{post}{}", get(5), get(6), get(8));
    caller.send(&text).await;
    for size in 5..=8 {
        let answer = caller.answer(false).await.unwrap();
        assert_eq!((answer.status, answer.body.len()), (200, size));
    }
    assert!(!all.agents[0].fake.began()[2].head.contains("x-trailer"));
}

/// Guards against bodies sent before they are wanted, and against waiting for ever.
#[tokio::test]
async fn expect_continue_is_answered_only_for_wanted_bodies() {
    let all = Agents::start(1).await;
    let mut caller = Caller::connect(all.agents[0].caller).await;
    let head = "host: a\r\nexpect: 100-continue\r\ncontent-length: ";
    caller
        .send(&format!("POST /read HTTP/1.1\r\n{head}3\r\n\r\n"))
        .await;
    assert_eq!(caller.answer(false).await.unwrap().status, 100);
    caller.send("abc").await;
    assert_eq!(caller.answer(false).await.unwrap().status, 200);
    caller
        .send(&format!("POST /small HTTP/1.1\r\n{head}101\r\n\r\n"))
        .await;
    assert_eq!(caller.answer(false).await.unwrap().status, 413);
    let began = all.agents[0].fake.began();
    assert_eq!((began.len(), began[0].body.as_slice()), (1, &b"abc"[..]));
    assert!(!began[0].head.contains("expect"));
}

/// Guards against bodies after HEAD and against headers of one connection that pass.
#[tokio::test]
async fn head_and_hop_headers() {
    let all = Agents::start(1).await;
    let mut caller = Caller::connect(all.agents[0].caller).await;
    let answer = caller.call("HEAD /read?size=1000", "", "").await;
    assert_eq!(
        (answer.status, answer.header("content-length")),
        (200, Some("1000"))
    );
    let headers = "connection: x-private, keep-alive\r\nx-private: 1\r\nupgrade: h2c\r\n\
                   te: trailers\r\nx-public: 1\r\n";
    assert_eq!(caller.call("GET /read", headers, "").await.status, 200);
    let answer = caller.call("GET /read?act=chunked&size=3000", "", "").await;
    assert!(answer.complete && answer.body.len() >= 3_000);
    let answer = caller.call("GET /read", "connection: close\r\n", "").await;
    assert_eq!(answer.status, 200);
    assert!(caller.is_closed().await);
    let head = &all.agents[0].fake.began()[1].head;
    for name in ["x-private", "upgrade", "te:", "connection"] {
        assert!(!head.contains(name), "{name}: {head}");
    }
    assert!(head.contains("x-public"));
}

/// Guards against a connection per request for idempotent work, and against a
/// reused one for non-idempotent work, whose close would leave it unknown.
#[tokio::test]
async fn only_idempotent_requests_reuse_connections() {
    let all = Agents::start(1).await;
    let agent = &all.agents[0];
    for _ in 0..5 {
        once(agent.caller, "GET /read", "", "").await;
    }
    assert_eq!(agent.fake.connections(), 1);
    for _ in 0..5 {
        once(agent.caller, "POST /once", "", "b").await;
    }
    assert_eq!(agent.fake.connections(), 6);
}

/// Guards against an upload that is changed or held in memory as a whole.
#[tokio::test]
async fn large_bodies_pass_both_ways() {
    let all = Agents::start(1).await;
    let body = "u".repeat(900_000);
    let answer = once(all.agents[0].caller, "POST /long?size=900000", "", &body).await;
    assert!(answer.complete && answer.body.len() == 900_000);
    assert_eq!(all.agents[0].fake.began()[0].body.len(), 900_000);
}
