//! Caller that writes raw bytes and checks whether responses are complete.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body has the length or the final chunk that the head announces.
    pub complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self
            .head
            .split("\r\n")
            .filter_map(|line| line.split_once(": "));
        lines
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v)
    }

    pub fn outcome(&self) -> &str {
        self.header("jacinthsill-outcome").unwrap_or("")
    }
}

#[derive(Debug)]
pub struct Caller {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Caller {
    pub async fn connect(agent: SocketAddr) -> Self {
        let stream = TcpStream::connect(agent).await.expect("loopback works");
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub async fn send(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .await
            .expect("loopback works");
    }

    /// Sends a request with `Content-Length` and reads the response.
    pub async fn call(&mut self, line: &str, headers: &str, body: &str) -> Response {
        let length = body.len();
        let text = format!(
            "{line} HTTP/1.1\r\nhost: a\r\n{headers}content-length: {length}\r\n\r\n{body}"
        );
        self.send(&text).await;
        self.read_response(line.starts_with("HEAD"))
            .await
            .expect("the agent responds")
    }

    /// Reads one response; `None` if the connection ended before the end of its head.
    pub async fn read_response(&mut self, is_head: bool) -> Option<Response> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.read_more().await {
                return None;
            }
        };
        let head =
            String::from_utf8(self.buffer.drain(..end).collect()).expect("the head is UTF-8");
        let mut response = Response {
            status: head[9..12].parse().expect("valid"),
            head,
            ..Response::default()
        };
        let length = response
            .header("content-length")
            .map(|l| l.parse::<usize>().expect("valid"));
        if is_head || response.status == 100 || response.status == 304 {
            response.complete = true;
        } else if let Some(length) = length {
            while self.buffer.len() < length && self.read_more().await {}
            response.complete = self.buffer.len() >= length;
            let received = length.min(self.buffer.len());
            response.body = self.buffer.drain(..received).collect();
        } else {
            let last_chunk = b"0\r\n\r\n";
            while !self.buffer.ends_with(last_chunk) && self.read_more().await {}
            response.complete = self.buffer.ends_with(last_chunk);
            response.body = std::mem::take(&mut self.buffer);
        }
        Some(response)
    }

    /// Whether the agent closed the connection without sending more data.
    pub async fn is_closed(&mut self) -> bool {
        self.buffer.is_empty() && !self.read_more().await
    }

    async fn read_more(&mut self) -> bool {
        let read = self.stream.read_buf(&mut self.buffer);
        let read = tokio::time::timeout(READ_TIMEOUT, read)
            .await
            .expect("the agent sent no data before the timeout");
        read.is_ok_and(|count| count > 0)
    }
}

/// Sends one request on a new connection and reads the response.
pub async fn send_request(agent: SocketAddr, line: &str, headers: &str, body: &str) -> Response {
    Caller::connect(agent).await.call(line, headers, body).await
}
