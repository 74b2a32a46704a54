//! Fake backend server that records the requests it receives. The query of a request
//! controls the response.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Request as it was received.
#[derive(Debug, Clone, Default)]
pub struct RecordedRequest {
    pub target: String,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the connection was closed before the response was written.
    pub cancelled: bool,
}

#[derive(Debug, Clone)]
pub struct FakeBackend {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<RecordedRequest>>>,
    connections: Arc<Mutex<usize>>,
}

impl FakeBackend {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback works");
        let fake = Self {
            address: listener.local_addr().expect("loopback works"),
            requests: Arc::default(),
            connections: Arc::default(),
        };
        let server = fake.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                *server.connections.lock().expect("not poisoned") += 1;
                tokio::spawn(server.clone().serve(stream));
            }
        });
        fake
    }

    pub fn requests(&self) -> Vec<RecordedRequest> {
        self.requests.lock().expect("not poisoned").clone()
    }

    /// Counts the received requests whose target contains `text`.
    pub fn request_count(&self, text: &str) -> usize {
        self.requests()
            .iter()
            .filter(|request| request.target.contains(text))
            .count()
    }

    pub fn connections(&self) -> usize {
        *self.connections.lock().expect("not poisoned")
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut read = Vec::new();
        while let Some(end) = read_until(&mut stream, &mut read, b"\r\n\r\n").await {
            let head = String::from_utf8_lossy(&read[..end]).into_owned();
            read.drain(..end);
            let mut parts = head.split(' ');
            let target = parts
                .nth(1)
                .expect("the request line has a target")
                .to_owned();
            let index = {
                let mut requests = self.requests.lock().expect("not poisoned");
                requests.push(RecordedRequest {
                    target: target.clone(),
                    head: head.clone(),
                    ..RecordedRequest::default()
                });
                requests.len() - 1
            };
            let Some(body) = read_body(&mut stream, &mut read, &head).await else {
                self.requests.lock().expect("not poisoned")[index].cancelled = true;
                return;
            };
            self.requests.lock().expect("not poisoned")[index].body = body;
            let delay =
                query_parameter(&target, "delay").map_or(0, |ms| ms.parse().expect("valid"));
            let mut byte = [0; 1];
            tokio::select! {
                () = tokio::time::sleep(Duration::from_millis(delay)) => {}
                _ = stream.read(&mut byte) => {
                    self.requests.lock().expect("not poisoned")[index].cancelled = true;
                    return;
                }
            }
            if !respond(&mut stream, &target, &head).await {
                return;
            }
        }
    }
}

/// Returns the value of a query parameter.
fn query_parameter(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(n, _)| *n == name)
        .map(|(_, v)| v.to_owned())
        .next()
}

/// Writes the response that the query asks for; returns whether the connection stays open.
async fn respond(stream: &mut TcpStream, target: &str, head: &str) -> bool {
    let size: usize =
        query_parameter(target, "size").map_or(2, |size| size.parse().expect("valid"));
    let status = query_parameter(target, "status").unwrap_or_else(|| "200".into());
    let body = "x".repeat(size);
    let mode = query_parameter(target, "mode").unwrap_or_default();
    let extra = match mode.as_str() {
        "wrong-id" => "jacinthsill-request: 999999\r\n",
        "forge-outcome" => "jacinthsill-outcome: not-run\r\nconnection: close\r\n",
        _ => "",
    };
    let response = match mode.as_str() {
        "close" => return false,
        "garbage" => "garbage\r\n\r\n".into(),
        "truncate" => format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
            size + 10
        ),
        "truncate-chunked" => {
            format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{size:x}\r\n{body}\r\n")
        }
        "chunked" => format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{size:x}\r\n{body}\r\n0\r\n\r\n"
        ),
        "no-length" => format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{body}"),
        _ if head.starts_with("HEAD ") => {
            format!("HTTP/1.1 {status} X\r\ncontent-length: {size}\r\n\r\n")
        }
        _ => format!("HTTP/1.1 {status} X\r\n{extra}content-length: {size}\r\n\r\n{body}"),
    };
    let written = stream.write_all(response.as_bytes()).await.is_ok();
    written
        && !matches!(
            mode.as_str(),
            "truncate" | "truncate-chunked" | "no-length" | "garbage"
        )
}

async fn read_until(stream: &mut TcpStream, read: &mut Vec<u8>, text: &[u8]) -> Option<usize> {
    loop {
        if let Some(at) = read.windows(text.len()).position(|w| w == text) {
            return Some(at + text.len());
        }
        if stream.read_buf(read).await.ok()? == 0 {
            return None;
        }
    }
}

async fn read_body(stream: &mut TcpStream, read: &mut Vec<u8>, head: &str) -> Option<Vec<u8>> {
    let head = head.to_ascii_lowercase();
    if head.contains("transfer-encoding: chunked") {
        let end = read_until(stream, read, b"0\r\n\r\n").await?;
        return Some(read.drain(..end).collect());
    }
    let length = head.split("content-length: ").nth(1);
    let length = length.map_or(0, |rest| {
        rest.split("\r\n")
            .next()
            .expect("split returns at least one part")
            .parse()
            .expect("valid")
    });
    while read.len() < length {
        if stream.read_buf(read).await.ok()? == 0 {
            return None;
        }
    }
    Some(read.drain(..length).collect())
}
