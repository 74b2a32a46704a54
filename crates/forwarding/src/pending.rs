//! SYNs that the backend server has not answered, and packets offered to it.

use std::collections::VecDeque;

use lru::LruCache;
use tokio::time::Instant;
use units::Flow;
use wire::Header;

/// SYN that was delivered.
#[derive(Debug, Clone)]
pub(crate) struct Pending {
    pub(crate) header: Header,
    pub(crate) inner: Box<[u8]>,
    /// When it was delivered.
    pub(crate) at: Instant,
}

/// Flows in the order in which something is due; those that need it no more stay until then.
pub(crate) type Waiting = VecDeque<(Instant, Flow)>;

/// Offered packets with the headers that they came with.
#[derive(Debug)]
pub(crate) struct Offers {
    sent: LruCache<Flow, Header>,
    /// Flows that the backend server returned.
    returned: LruCache<Flow, Instant>,
    limit: usize,
}

impl Offers {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            sent: LruCache::unbounded(),
            returned: LruCache::unbounded(),
            limit,
        }
    }

    pub(crate) fn sent(&mut self, flow: Flow, header: Header) {
        self.sent.put(flow, header);
        while self.sent.len() > self.limit {
            self.sent.pop_lru();
        }
    }

    /// Takes the header of an offered packet that came back.
    pub(crate) fn take(&mut self, flow: &Flow) -> Option<Header> {
        self.sent.pop(flow)
    }

    pub(crate) fn note_returned(&mut self, flow: Flow, now: Instant) {
        self.returned.put(flow, now);
        while self.returned.len() > self.limit {
            self.returned.pop_lru();
        }
    }

    pub(crate) fn was_returned(&self, flow: &Flow) -> bool {
        self.returned.contains(flow)
    }

    /// Forgets a flow that opens anew.
    pub(crate) fn forget(&mut self, flow: &Flow) {
        self.sent.pop(flow);
        self.returned.pop(flow);
    }

    /// Forgets what an earlier backend server returned.
    pub(crate) fn clear(&mut self) {
        self.sent.clear();
        self.returned.clear();
    }
}
