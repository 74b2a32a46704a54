//! Record, random numbers, time and a small HTTP/1.1 client.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Record of what was sent, answered and run, with seconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self {
            start: Instant::now(),
            file,
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:8.3} {text}").unwrap();
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Random number from the system's random device.
pub fn random() -> u32 {
    let mut raw = [0; 4];
    File::open("/dev/urandom")
        .and_then(|mut f| f.read_exact(&mut raw))
        .unwrap();
    u32::from_le_bytes(raw)
}

pub struct Answer {
    pub status: u16,
    pub location: Option<String>,
}

/// One call on a connection of its own; `None` without an answer within `limit`.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<Answer> {
    let deadline = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(to), limit).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body.as_bytes()).ok()?;
    let mut raw = Vec::new();
    let mut part = [0; 16_384];
    loop {
        let left = deadline.checked_duration_since(Instant::now())?;
        stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .ok()?;
        match stream.read(&mut part) {
            Ok(0) => break,
            Ok(size) => raw.extend_from_slice(&part[..size]),
            Err(_) => return None,
        }
        if complete(&raw) {
            break;
        }
    }
    parse(&raw)
}

fn split(raw: &[u8]) -> Option<(String, &[u8])> {
    let at = raw.windows(4).position(|w| w == b"\r\n\r\n")?;
    Some((
        String::from_utf8_lossy(&raw[..at]).into_owned(),
        &raw[at + 4..],
    ))
}

fn field(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}

fn complete(raw: &[u8]) -> bool {
    let Some((head, body)) = split(raw) else {
        return false;
    };
    let length = field(&head, "content-length").and_then(|l| l.parse::<usize>().ok());
    length.is_some_and(|length| body.len() >= length)
}

fn parse(raw: &[u8]) -> Option<Answer> {
    let (head, _) = split(raw)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Answer {
        status,
        location: field(&head, "location"),
    })
}
