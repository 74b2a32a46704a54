//! Caller that writes raw bytes and checks how responses end.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// No test waits longer than this for one read.
const LIMIT: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// The body ended as its head says.
    pub complete: bool,
}

impl Answer {
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
    read: Vec<u8>,
}

impl Caller {
    pub async fn connect(agent: SocketAddr) -> Self {
        let stream = TcpStream::connect(agent).await.expect("loopback works");
        Self {
            stream,
            read: Vec::new(),
        }
    }

    pub async fn send(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .await
            .expect("loopback works");
    }

    /// Sends a request with a length and reads the response.
    pub async fn call(&mut self, line: &str, headers: &str, body: &str) -> Answer {
        let length = body.len();
        let text = format!(
            "{line} HTTP/1.1\r\nhost: a\r\n{headers}content-length: {length}\r\n\r\n{body}"
        );
        self.send(&text).await;
        self.answer(line.starts_with("HEAD"))
            .await
            .expect("loopback works")
    }

    /// Reads one response; `None` if the connection ended before its head.
    pub async fn answer(&mut self, is_head: bool) -> Option<Answer> {
        let end = loop {
            if let Some(at) = self.read.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.more().await {
                return None;
            }
        };
        let head = String::from_utf8(self.read.drain(..end).collect()).expect("loopback works");
        let mut answer = Answer {
            status: head[9..12].parse().expect("valid"),
            head,
            ..Answer::default()
        };
        let length = answer
            .header("content-length")
            .map(|l| l.parse::<usize>().expect("valid"));
        if is_head || answer.status == 100 || answer.status == 304 {
            answer.complete = true;
        } else if let Some(length) = length {
            while self.read.len() < length && self.more().await {}
            answer.complete = self.read.len() >= length;
            let got = length.min(self.read.len());
            answer.body = self.read.drain(..got).collect();
        } else {
            let last = b"0\r\n\r\n";
            while !self.read.ends_with(last) && self.more().await {}
            answer.complete = self.read.ends_with(last);
            answer.body = std::mem::take(&mut self.read);
        }
        Some(answer)
    }

    /// Whether the agent closed the connection without sending more.
    pub async fn is_closed(&mut self) -> bool {
        self.read.is_empty() && !self.more().await
    }

    async fn more(&mut self) -> bool {
        let read = self.stream.read_buf(&mut self.read);
        let read = tokio::time::timeout(LIMIT, read)
            .await
            .expect("the agent is silent");
        read.is_ok_and(|count| count > 0)
    }
}

/// One request on its own connection.
pub async fn once(agent: SocketAddr, line: &str, headers: &str, body: &str) -> Answer {
    Caller::connect(agent).await.call(line, headers, body).await
}
