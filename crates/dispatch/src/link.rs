//! Bulk transfers over this balancer's link.
//!
//! Senders keep a fixed window in flight and repeat what is not acknowledged in
//! time. When more of them share a link than fit into that time, repeats fill it
//! and little gets through. New flows of routes that carry bulk are therefore
//! refused while the link has as many transfers as it can take; the caller's
//! next try, from another port, reaches another balancer.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::Instant;
use units::Flow;
use wire::Segment;

/// Time without a full segment after which a transfer counts as over.
const OVER: Duration = Duration::from_millis(300);

/// Share of full segments from which a route carries bulk.
const BULK: f32 = 0.5;

/// Share by which a segment moves its route's mean.
const SMOOTHING: f32 = 0.02;

/// What the link takes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkSettings {
    /// Bytes a second; 0 if not known, which limits nothing.
    pub bytes_per_second: u64,
    /// Payload bytes of a full segment.
    pub full_segment_bytes: usize,
    /// Bytes that a sender has in flight.
    pub window_bytes: u64,
    /// Longest time that packets may wait at the link; below the senders' time until a repeat.
    pub max_queue_delay: Duration,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            bytes_per_second: 0,
            full_segment_bytes: 1_200,
            window_bytes: 16 * 1_231,
            max_queue_delay: Duration::from_millis(100),
        }
    }
}

/// Transfers in progress.
#[derive(Debug)]
pub(crate) struct Link {
    settings: LinkSettings,
    /// Flows with their last full segment.
    transfers: HashMap<Flow, Instant>,
    /// Share of full segments by route.
    routes: HashMap<SocketAddrV4, f32>,
}

impl Link {
    pub(crate) fn new(settings: LinkSettings) -> Self {
        Self {
            settings,
            transfers: HashMap::new(),
            routes: HashMap::new(),
        }
    }

    /// Takes a segment of an open flow.
    pub(crate) fn follow(&mut self, now: Instant, segment: &Segment) {
        if self.settings.bytes_per_second == 0 || segment.payload == 0 {
            return;
        }
        let full = segment.payload >= self.settings.full_segment_bytes;
        let mean = self.routes.entry(segment.flow.service).or_default();
        *mean += SMOOTHING * (f32::from(u8::from(full)) - *mean);
        if full {
            self.transfers.insert(segment.flow, now);
        } else {
            self.transfers.remove(&segment.flow);
        }
    }

    /// Whether the link takes a new flow; if so, counts it as a transfer.
    pub(crate) fn admit(&mut self, now: Instant, flow: &Flow) -> bool {
        let bulk = self.routes.get(&flow.service).is_some_and(|m| *m > BULK);
        if self.settings.bytes_per_second == 0 || !bulk {
            return true;
        }
        if self.transfers.contains_key(flow) {
            return true;
        }
        if self.transfers.len() >= self.most() {
            self.transfers.retain(|_, last| now < *last + OVER);
        }
        let free = self.transfers.len() < self.most();
        if free {
            self.transfers.insert(*flow, now);
        }
        free
    }

    /// Transfers in progress, and the most that the link takes if its rate is known.
    pub(crate) fn transfers(&self) -> (usize, Option<usize>) {
        let most = (self.settings.bytes_per_second > 0).then(|| self.most());
        (self.transfers.len(), most)
    }

    fn most(&self) -> usize {
        let bytes =
            self.settings.bytes_per_second as f64 * self.settings.max_queue_delay.as_secs_f64();
        ((bytes / self.settings.window_bytes as f64) as usize).max(1)
    }
}
