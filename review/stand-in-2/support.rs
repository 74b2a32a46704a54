//! Record of a run, HTTP calls, and random numbers.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Writes `record.txt`; each line begins with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &std::path::Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        let start = Instant::now();
        Ok(Self { file, start })
    }

    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:>7} {text}");
    }
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Pseudorandom number.
pub fn random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let seed = || unix_ms().wrapping_mul(0x9e37_79b9) ^ u64::from(std::process::id()) << 32;
    let _ = STATE.compare_exchange(0, seed() | 1, Ordering::Relaxed, Ordering::Relaxed);
    let n = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

/// Response of an HTTP call.
pub struct Response {
    pub status: u16,
    pub location: Option<String>,
    pub body: String,
}

/// Makes an HTTP call on a connection of its own.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> std::io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )?;
    let mut raw = Vec::new();
    stream.read_to_end(&mut raw)?;
    let text = String::from_utf8_lossy(&raw).into_owned();
    let invalid = || std::io::Error::other("no HTTP response");
    let (head, body) = text.split_once("\r\n\r\n").ok_or_else(invalid)?;
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    let location = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("location")
            .then(|| value.trim().to_owned())
    });
    Ok(Response {
        status: status.ok_or_else(invalid)?,
        location,
        body: body.to_owned(),
    })
}
