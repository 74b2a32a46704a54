//! Proxy that delivers requests and loses the first answers.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;

/// Starts a proxy to `target` that loses `count` answers; returns its address.
pub fn start(target: SocketAddr, count: u32) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let left = Arc::new(AtomicU32::new(count));
    let shared = Arc::clone(&left);
    thread::spawn(move || {
        for client in listener.incoming().map_while(Result::ok) {
            let Ok(server) = TcpStream::connect(target) else {
                continue;
            };
            let (from, to) = (client.try_clone().unwrap(), server.try_clone().unwrap());
            thread::spawn(move || copy(from, to, |_| true));
            let left = Arc::clone(&shared);
            thread::spawn(move || {
                copy(server, client, |_| {
                    let lose = |n: u32| n.checked_sub(1);
                    left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, lose)
                        .is_err()
                });
            });
        }
    });
    (address, left)
}

/// Copies while `keep` holds; then ends both directions.
fn copy(mut from: TcpStream, mut to: TcpStream, keep: impl Fn(&[u8]) -> bool) {
    let mut buffer = [0; 65_536];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        if !keep(&buffer[..count]) || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _closed = from.shutdown(Shutdown::Both);
    let _closed = to.shutdown(Shutdown::Both);
}
