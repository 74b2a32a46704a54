//! Packet worker: one socket, one flow cache, no state that another worker needs.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use rpc::Key;
use steering::{CacheSettings, FlowCache};
use tokio::io::Interest;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::Instant;
use wire::{MAX_DATAGRAM_BYTES, MAX_INNER_BYTES, Segment};

use crate::error::BalancerError;
use crate::routes::{Route, Routes};
use crate::stats::{Stats, count};

/// Datagrams handled before other tasks get a turn.
const BATCH: usize = 64;

/// Receive buffer of the socket; holds a burst of about 40 ms at 100,000 packets a second.
const SOCKET_BUFFER: usize = 8 << 20;

/// One packet worker.
pub struct Worker {
    socket: UdpSocket,
    key: Key,
    cache: FlowCache,
    routes: watch::Receiver<Arc<Routes>>,
    stats: Arc<Stats>,
    start: Instant,
    out: Vec<u8>,
}

/// Opens the packet socket; several workers may share its address.
///
/// # Errors
/// When the address can't be bound.
pub fn open(address: SocketAddrV4, shared: bool) -> Result<UdpSocket, BalancerError> {
    let bound = startup::packet_socket(address, SOCKET_BUFFER, shared);
    bound
        .and_then(UdpSocket::from_std)
        .map_err(|source| BalancerError::Bind {
            address: address.into(),
            source,
        })
}

impl Worker {
    /// Worker on an open socket.
    pub fn new(
        socket: UdpSocket,
        key: Key,
        entries: usize,
        routes: watch::Receiver<Arc<Routes>>,
        stats: Arc<Stats>,
    ) -> Self {
        let cache = FlowCache::new(CacheSettings {
            entries,
            ..CacheSettings::default()
        });
        let out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        Self {
            socket,
            key,
            cache,
            routes,
            stats,
            start: Instant::now(),
            out,
        }
    }

    /// Handles packets until the task is dropped.
    pub async fn run(mut self) {
        let mut buffer = [0; MAX_INNER_BYTES + 1];
        loop {
            if self.socket.ready(Interest::READABLE).await.is_err() {
                tokio::task::yield_now().await;
                continue;
            }
            let routes = Arc::clone(&self.routes.borrow_and_update());
            let now = Instant::now();
            for _ in 0..BATCH {
                // Anything but a datagram ends the batch; the next wait reports lasting trouble.
                let Ok((length, _)) = self.socket.try_recv_from(&mut buffer) else {
                    break;
                };
                count(&self.stats.received);
                self.handle(&routes, now, &buffer[..length]);
            }
            tokio::task::yield_now().await;
        }
    }

    fn handle(&mut self, routes: &Routes, now: Instant, inner: &[u8]) {
        let segment = match wire::inspect(inner) {
            Ok(segment) => segment,
            Err(reason) => return self.stats.invalid(reason),
        };
        if routes.is_own(*segment.flow.caller.ip()) {
            return self.stats.invalid(wire::PacketError::Source);
        }
        let route = match routes.find(segment.flow.service) {
            Some(Some(route)) => route,
            Some(None) => return count(&self.stats.empty),
            None => return count(&self.stats.unknown),
        };
        let candidates = self.candidates(route, now, &segment);
        let Some(header) = route.steering.header(candidates, now) else {
            return count(&self.stats.empty);
        };
        let target = header.candidates[0].address;
        let encoded = wire::encode_packet(&self.key, &header, inner, &mut self.out);
        let sent = encoded.is_ok() && self.socket.try_send_to(&self.out, target.into()).is_ok();
        count(if sent {
            &self.stats.sent
        } else {
            &self.stats.failed
        });
    }

    fn candidates(&mut self, route: &Route, now: Instant, segment: &Segment) -> wire::Candidates {
        let hash = segment.flow.hash();
        let now_s = now.duration_since(self.start).as_secs() as u32;
        let opens = segment.opens();
        if let Some(slot) = self.cache.get(hash, route.generation, now_s, opens) {
            count(&self.stats.hits);
            return route.steering.unpack(&slot);
        }
        count(&self.stats.misses);
        let candidates = route.steering.candidates(hash);
        if let Some(slot) = route.steering.pack(&candidates) {
            self.cache.put(hash, route.generation, now_s, opens, slot);
        }
        candidates
    }
}

/// Waits until no packet came for `quiet`, or until `limit`.
pub async fn settle(received: &AtomicU64, quiet: std::time::Duration, limit: std::time::Duration) {
    let end = Instant::now() + limit;
    let mut before = received.load(Ordering::Relaxed);
    while Instant::now() < end {
        tokio::time::sleep(quiet.min(end - Instant::now())).await;
        let after = received.load(Ordering::Relaxed);
        if after == before {
            return;
        }
        before = after;
    }
}
