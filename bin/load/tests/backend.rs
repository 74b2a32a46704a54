//! The backend server stand-in.
#![expect(clippy::unwrap_used, reason = "helpers of tests fail by panicking")]

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use load::backend::{Backend, BackendSettings, Claim, End, Mode, content};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

type Sender = hyper::client::conn::http1::SendRequest<Full<Bytes>>;

async fn open(backend: &Backend) -> Sender {
    let stream = TcpStream::connect(backend.address()).await.unwrap();
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .unwrap();
    tokio::spawn(connection);
    sender
}

fn get(path: &str, id: &str, extra: &[(&str, &str)]) -> http::Request<Full<Bytes>> {
    let mut request = http::Request::get(path)
        .header("host", "test")
        .header("x-request-id", id);
    for (name, value) in extra {
        request = request.header(*name, *value);
    }
    request.body(Full::default()).unwrap()
}

/// Guards against content that does not belong to its request, and requests missing from the record.
#[tokio::test]
async fn answers_and_records() {
    let backend = Backend::start(BackendSettings::default()).await.unwrap();
    let mut sender = open(&backend).await;
    let answer = sender
        .send_request(get("/a", "id-1", &[("x-size", "9000")]))
        .await
        .unwrap();
    let body = answer.into_body().collect().await.unwrap().to_bytes();
    assert_eq!(body, content("id-1", "/a", 9_000));
    assert_ne!(body, content("id-2", "/a", 9_000));
    let entries = backend.record().entries();
    assert_eq!(entries.len(), 1);
    assert_eq!((&*entries[0].id, entries[0].end), ("id-1", End::Done));
}

/// Guards against a death that looks like a complete answer.
#[tokio::test]
async fn death_truncates() {
    let backend = Backend::start(BackendSettings::default()).await.unwrap();
    backend.set(|behaviour| behaviour.die = 2);
    // One declares its size, one is chunked.
    for number in 0..2 {
        let mut sender = open(&backend).await;
        let answer = sender
            .send_request(get("/a", "id-1", &[("x-size", "9000")]))
            .await
            .unwrap();
        let declared = answer.headers().contains_key("content-length");
        assert_eq!(declared, number == 0);
        assert!(answer.into_body().collect().await.is_err());
        assert_eq!(backend.record().entries()[number].end, End::Died);
    }
}

/// Guards against more work at a time than there are slots.
#[tokio::test]
async fn slots_bound_the_work() {
    let backend = Backend::start(BackendSettings::default()).await.unwrap();
    let begin = std::time::Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..4 {
        let mut sender = open(&backend).await;
        let request = get("/a", &number.to_string(), &[("x-service-ms", "100")]);
        tasks.spawn(async move { sender.send_request(request).await.unwrap().status() });
    }
    assert!(
        tasks
            .join_all()
            .await
            .iter()
            .all(http::StatusCode::is_success)
    );
    assert!(begin.elapsed() >= Duration::from_millis(200));
}

/// Guards against cancelled requests that the record calls done.
#[tokio::test]
async fn cancelled_is_recorded() {
    let backend = Backend::start(BackendSettings::default()).await.unwrap();
    let mut sender = open(&backend).await;
    let request = get("/a", "id-1", &[("x-service-ms", "60000")]);
    let wait = tokio::time::timeout(Duration::from_millis(100), sender.send_request(request));
    assert!(wait.await.is_err());
    drop(sender);
    for _ in 0..100 {
        if backend.record().entries()[0].end == End::Cancelled {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("still {:?}", backend.record().entries());
}

/// Guards against shedding that counts as begun, and endpoints that can't mislead.
#[tokio::test]
async fn sheds_and_misleads() {
    let backend = Backend::start(BackendSettings::default()).await.unwrap();
    backend.set(|behaviour| {
        behaviour.shed = 1.0;
        behaviour.healthy = false;
        behaviour.health = Claim::Good;
    });
    let mut sender = open(&backend).await;
    let answer = sender.send_request(get("/a", "id-1", &[])).await.unwrap();
    assert_eq!(answer.status(), 503);
    answer.into_body().collect().await.unwrap();
    assert_eq!(backend.record().begins("id-1"), 0);
    let answer = sender
        .send_request(get("/health", "id-2", &[]))
        .await
        .unwrap();
    assert_eq!(answer.status(), 200);
}

/// Guards against an echo that loses bytes, and a crash that leaves connections open.
#[tokio::test]
async fn echo_and_crash() {
    let settings = BackendSettings {
        mode: Mode::Echo,
        ..BackendSettings::default()
    };
    let mut backend = Backend::start(settings).await.unwrap();
    let mut stream = TcpStream::connect(backend.address()).await.unwrap();
    stream.write_all(b"hello").await.unwrap();
    let mut buf = [0; 5];
    stream.read_exact(&mut buf).await.unwrap();
    assert_eq!(&buf, b"hello");
    backend.crash();
    assert!(matches!(stream.read(&mut buf).await, Ok(0) | Err(_)));
    backend.restart().await.unwrap();
    TcpStream::connect(backend.address()).await.unwrap();
}
