//! The few HTTP calls of operators, hosts and routers.

use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::Duration;

pub struct Reply {
    pub status: u16,
    pub location: Option<String>,
}

/// Sends one request on a new connection.
pub fn call(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    body: &[u8],
    limit: Duration,
) -> Option<Reply> {
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(address), limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let mut raw = Vec::new();
    stream.read_to_end(&mut raw).ok()?;
    let end = raw.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&raw[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let location = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("location")
            .then(|| value.trim().to_owned())
    });
    Some(Reply { status, location })
}

/// A call of the operator, which follows a 307 twice.
pub fn follow(address: SocketAddrV4, method: &str, path: &str, body: &[u8]) -> Option<Reply> {
    let limit = Duration::from_secs(1);
    let mut to = address;
    for _ in 0..3 {
        let reply = call(to, method, path, body, limit)?;
        if reply.status != 307 {
            return Some(reply);
        }
        let location = reply.location?;
        to = location
            .strip_prefix("http://")?
            .split('/')
            .next()?
            .parse()
            .ok()?;
    }
    None
}
