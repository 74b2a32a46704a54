//! Packet workers. Each has its own socket and flow cache and shares no mutable state but the
//! counters.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rpc::Key;
use steering::{CacheSettings, FlowCache};
use tokio::io::Interest;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::Instant;
use wire::{MAX_DATAGRAM_BYTES, MAX_INNER_BYTES, Segment};

use crate::error::BalancerError;
use crate::routes::{Route, Routes};
use crate::stats::{Stats, increment};

/// Datagrams handled before the task yields to the runtime.
const MAX_BATCH: usize = 64;

/// Receive buffer of the socket; holds a burst of about 40 ms at 100,000 packets per second.
const SOCKET_BUFFER_BYTES: usize = 8 << 20;

/// Forwards packets from one socket.
pub struct Worker {
    socket: UdpSocket,
    key: Key,
    cache: FlowCache,
    routes: watch::Receiver<Arc<Routes>>,
    stats: Arc<Stats>,
    started_at: Instant,
    output: Vec<u8>,
}

/// Binds a packet socket; with `shared`, several workers can bind the same address.
///
/// # Errors
/// When the address can't be bound.
pub fn bind_socket(address: SocketAddrV4, shared: bool) -> Result<UdpSocket, BalancerError> {
    let bound = startup::packet_socket(address, SOCKET_BUFFER_BYTES, shared);
    bound
        .and_then(UdpSocket::from_std)
        .map_err(|source| BalancerError::Bind {
            address: address.into(),
            source,
        })
}

impl Worker {
    /// Creates a worker for a bound socket.
    pub fn new(
        socket: UdpSocket,
        key: Key,
        cache_entries: usize,
        routes: watch::Receiver<Arc<Routes>>,
        stats: Arc<Stats>,
    ) -> Self {
        let cache = FlowCache::new(CacheSettings {
            entries: cache_entries,
            ..CacheSettings::default()
        });
        let output = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        Self {
            socket,
            key,
            cache,
            routes,
            stats,
            started_at: Instant::now(),
            output,
        }
    }

    /// Forwards packets until the task is dropped.
    pub async fn run(mut self) {
        let mut buffer = [0; MAX_INNER_BYTES + 1];
        loop {
            if self.socket.ready(Interest::READABLE).await.is_err() {
                tokio::task::yield_now().await;
                continue;
            }
            let routes = Arc::clone(&self.routes.borrow_and_update());
            let now = Instant::now();
            for _ in 0..MAX_BATCH {
                // Any error ends the batch; `ready` reports a persistent one.
                let Ok((length, _)) = self.socket.try_recv_from(&mut buffer) else {
                    break;
                };
                increment(&self.stats.received);
                self.forward(&routes, now, &buffer[..length]);
            }
            tokio::task::yield_now().await;
        }
    }

    fn forward(&mut self, routes: &Routes, now: Instant, packet: &[u8]) {
        let segment = match wire::inspect(packet) {
            Ok(segment) => segment,
            Err(reason) => return self.stats.count_invalid(reason),
        };
        if routes.is_service_ip(*segment.flow.caller.ip()) {
            return self.stats.count_invalid(wire::PacketError::Source);
        }
        let route = match routes.find(segment.flow.service) {
            Some(Some(route)) => route,
            Some(None) => return increment(&self.stats.empty),
            None => return increment(&self.stats.unknown),
        };
        let candidates = self.find_candidates(route, now, &segment);
        let Some(header) = route.steering.header(candidates, now) else {
            return increment(&self.stats.empty);
        };
        let destination = header.candidates[0].address;
        let encoded = wire::encode_packet(&self.key, &header, packet, &mut self.output);
        let sent = encoded.is_ok()
            && self
                .socket
                .try_send_to(&self.output, destination.into())
                .is_ok();
        increment(if sent {
            &self.stats.sent
        } else {
            &self.stats.failed
        });
    }

    fn find_candidates(
        &mut self,
        route: &Route,
        now: Instant,
        segment: &Segment,
    ) -> wire::Candidates {
        let hash = segment.flow.hash();
        let now_s = now.duration_since(self.started_at).as_secs() as u32;
        let is_first = segment.opens();
        if let Some(slot) = self.cache.get(hash, route.generation, now_s, is_first) {
            increment(&self.stats.hits);
            return route.steering.unpack(&slot);
        }
        increment(&self.stats.misses);
        let candidates = route.steering.candidates(hash);
        if let Some(slot) = route.steering.pack(&candidates) {
            self.cache
                .put(hash, route.generation, now_s, is_first, slot);
        }
        candidates
    }
}

/// Waits until no packet has arrived for `idle_period`, at most for `timeout`.
pub async fn wait_until_idle(received: &AtomicU64, idle_period: Duration, timeout: Duration) {
    let deadline = Instant::now() + timeout;
    let mut previous = received.load(Ordering::Relaxed);
    while Instant::now() < deadline {
        tokio::time::sleep(idle_period.min(deadline - Instant::now())).await;
        let current = received.load(Ordering::Relaxed);
        if current == previous {
            return;
        }
        previous = current;
    }
}
