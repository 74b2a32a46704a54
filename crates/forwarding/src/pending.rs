//! SYNs that the backend server has not answered, and packets offered to it.

use std::collections::VecDeque;

use lru::LruCache;
use tokio::time::Instant;
use units::Flow;
use wire::Header;

/// SYN that was delivered and not answered yet.
#[derive(Debug, Clone)]
pub(crate) struct PendingSyn {
    pub(crate) header: Header,
    pub(crate) inner: Box<[u8]>,
    pub(crate) delivered_at: Instant,
}

/// Flows ordered by deadline. An entry stays until its deadline even if it has become obsolete.
pub(crate) type FlowDeadlines = VecDeque<(Instant, Flow)>;

/// Packets of unknown flows that were offered to the backend server, with their headers.
#[derive(Debug)]
pub(crate) struct Offers {
    headers: LruCache<Flow, Header>,
    /// Flows that the backend server returned.
    returned: LruCache<Flow, Instant>,
    limit: usize,
}

impl Offers {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            headers: LruCache::unbounded(),
            returned: LruCache::unbounded(),
            limit,
        }
    }

    pub(crate) fn record_offer(&mut self, flow: Flow, header: Header) {
        self.headers.put(flow, header);
        while self.headers.len() > self.limit {
            self.headers.pop_lru();
        }
    }

    /// Removes the header of an offered packet that was returned.
    pub(crate) fn take_header(&mut self, flow: &Flow) -> Option<Header> {
        self.headers.pop(flow)
    }

    pub(crate) fn record_returned(&mut self, flow: Flow, now: Instant) {
        self.returned.put(flow, now);
        while self.returned.len() > self.limit {
            self.returned.pop_lru();
        }
    }

    pub(crate) fn was_returned(&self, flow: &Flow) -> bool {
        self.returned.contains(flow)
    }

    /// Removes a flow whose addresses are used for a new one.
    pub(crate) fn remove(&mut self, flow: &Flow) {
        self.headers.pop(flow);
        self.returned.pop(flow);
    }

    /// Removes everything, as it concerns the previous process of the backend server.
    pub(crate) fn clear(&mut self) {
        self.headers.clear();
        self.returned.clear();
    }
}
