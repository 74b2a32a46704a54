//! Limit of bulk transfers over this balancer's link.
//!
//! Senders keep a fixed window in flight and retransmit what isn't acknowledged
//! in time. If the link takes longer than that timeout to send the windows of
//! all senders, retransmissions fill it and goodput collapses. New flows of
//! routes that carry bulk transfers are therefore refused while the link is at
//! its limit; the caller's next attempt, from another port, reaches another
//! balancer.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::Instant;
use units::Flow;
use wire::Segment;

/// Time without a full segment after which a transfer counts as ended.
const TRANSFER_IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Share of full segments above which a route counts as carrying bulk transfers.
const MIN_BULK_SHARE: f32 = 0.5;

/// Smoothing factor of the moving average of full segments per route.
const SMOOTHING_FACTOR: f32 = 0.02;

/// Capacity of the link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkSettings {
    /// Rate of the link; 0 if unknown, which disables the limit.
    pub bytes_per_second: u64,
    /// Payload bytes of a full segment.
    pub full_segment_bytes: usize,
    /// Bytes that a sender keeps in flight.
    pub window_bytes: u64,
    /// Longest queueing delay at the link; must be below the senders' retransmission timeout.
    pub queue_delay: Duration,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            bytes_per_second: 0,
            full_segment_bytes: 1_200,
            window_bytes: 16 * 1_231,
            queue_delay: Duration::from_millis(100),
        }
    }
}

/// Limits the number of bulk transfers on the link.
#[derive(Debug)]
pub(crate) struct LinkLimiter {
    settings: LinkSettings,
    /// Transfers in progress, each with the time of its last full segment.
    transfers: HashMap<Flow, Instant>,
    /// Moving average of the share of full segments, by route.
    full_shares: HashMap<SocketAddrV4, f32>,
}

impl LinkLimiter {
    pub(crate) fn new(settings: LinkSettings) -> Self {
        Self {
            settings,
            transfers: HashMap::new(),
            full_shares: HashMap::new(),
        }
    }

    /// Updates the state with a segment of an open flow.
    pub(crate) fn observe(&mut self, now: Instant, segment: &Segment) {
        if self.settings.bytes_per_second == 0 || segment.payload == 0 {
            return;
        }
        let full = segment.payload >= self.settings.full_segment_bytes;
        let share = self.full_shares.entry(segment.flow.service).or_default();
        *share += SMOOTHING_FACTOR * (f32::from(u8::from(full)) - *share);
        if full {
            self.transfers.insert(segment.flow, now);
        } else {
            self.transfers.remove(&segment.flow);
        }
    }

    /// Whether the link can take a new flow; a flow of a bulk route then counts as a transfer.
    pub(crate) fn admit(&mut self, now: Instant, flow: &Flow) -> bool {
        let bulk = self
            .full_shares
            .get(&flow.service)
            .is_some_and(|share| *share > MIN_BULK_SHARE);
        if self.settings.bytes_per_second == 0 || !bulk {
            return true;
        }
        if self.transfers.contains_key(flow) {
            return true;
        }
        if self.transfers.len() >= self.max_transfers() {
            self.transfers
                .retain(|_, last| now < *last + TRANSFER_IDLE_TIMEOUT);
        }
        let admitted = self.transfers.len() < self.max_transfers();
        if admitted {
            self.transfers.insert(*flow, now);
        }
        admitted
    }

    /// Number of transfers in progress, and their limit if the link's rate is known.
    pub(crate) fn transfers(&self) -> (usize, Option<usize>) {
        let limit = (self.settings.bytes_per_second > 0).then(|| self.max_transfers());
        (self.transfers.len(), limit)
    }

    fn max_transfers(&self) -> usize {
        let queue_bytes =
            self.settings.bytes_per_second as f64 * self.settings.queue_delay.as_secs_f64();
        ((queue_bytes / self.settings.window_bytes as f64) as usize).max(1)
    }
}
