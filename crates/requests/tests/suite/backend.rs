//! Backend server that records each request it began; the query says what it does.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// One request as it arrived.
#[derive(Debug, Clone, Default)]
pub struct Began {
    pub target: String,
    pub head: String,
    pub body: Vec<u8>,
    /// The connection was closed before the response was written.
    pub cancelled: bool,
}

#[derive(Debug, Clone)]
pub struct Fake {
    pub address: SocketAddr,
    began: Arc<Mutex<Vec<Began>>>,
    connections: Arc<Mutex<usize>>,
}

impl Fake {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback works");
        let fake = Self {
            address: listener.local_addr().expect("loopback works"),
            began: Arc::default(),
            connections: Arc::default(),
        };
        let server = fake.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                *server.connections.lock().expect("not poisoned") += 1;
                tokio::spawn(server.clone().connection(stream));
            }
        });
        fake
    }

    pub fn began(&self) -> Vec<Began> {
        self.began.lock().expect("not poisoned").clone()
    }

    /// Requests begun whose target contains the text.
    pub fn count(&self, text: &str) -> usize {
        self.began()
            .iter()
            .filter(|b| b.target.contains(text))
            .count()
    }

    pub fn connections(&self) -> usize {
        *self.connections.lock().expect("not poisoned")
    }

    async fn connection(self, mut stream: TcpStream) {
        let mut read = Vec::new();
        while let Some(end) = read_until(&mut stream, &mut read, b"\r\n\r\n").await {
            let head = String::from_utf8_lossy(&read[..end]).into_owned();
            read.drain(..end);
            let mut words = head.split(' ');
            let target = words.nth(1).expect("a target").to_owned();
            let index = {
                let mut began = self.began.lock().expect("not poisoned");
                began.push(Began {
                    target: target.clone(),
                    head: head.clone(),
                    ..Began::default()
                });
                began.len() - 1
            };
            let Some(body) = read_body(&mut stream, &mut read, &head).await else {
                self.began.lock().expect("not poisoned")[index].cancelled = true;
                return;
            };
            self.began.lock().expect("not poisoned")[index].body = body;
            let delay = option(&target, "delay").map_or(0, |ms| ms.parse().expect("valid"));
            let mut byte = [0; 1];
            tokio::select! {
                () = tokio::time::sleep(Duration::from_millis(delay)) => {}
                _ = stream.read(&mut byte) => {
                    self.began.lock().expect("not poisoned")[index].cancelled = true;
                    return;
                }
            }
            if !respond(&mut stream, &target, &head).await {
                return;
            }
        }
    }
}

/// Value of a query parameter.
fn option(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(n, _)| *n == name)
        .map(|(_, v)| v.to_owned())
        .next()
}

/// Writes what the query asks for; returns whether the connection goes on.
async fn respond(stream: &mut TcpStream, target: &str, head: &str) -> bool {
    let size: usize = option(target, "size").map_or(2, |size| size.parse().expect("valid"));
    let status = option(target, "status").unwrap_or_else(|| "200".into());
    let body = "x".repeat(size);
    let act = option(target, "act").unwrap_or_default();
    let extra = match act.as_str() {
        "mixed" => "jacinthsill-request: 999999\r\n",
        "forge" => "jacinthsill-outcome: not-run\r\nconnection: close\r\n",
        _ => "",
    };
    let response = match act.as_str() {
        "close" => return false,
        "garbage" => "what\r\n\r\n".into(),
        "cut" => format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
            size + 10
        ),
        "cut-chunked" => {
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
            act.as_str(),
            "cut" | "cut-chunked" | "no-length" | "garbage"
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
            .expect("one part")
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
