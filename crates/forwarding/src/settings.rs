//! Defines limits and time constants.

use std::time::Duration;

/// Limits and time constants of a [`crate::Forwarder`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardSettings {
    /// Maximum age of a flow; an agent that has run for longer knows every flow of its backend
    /// server.
    pub max_age: Duration,
    /// Time after startup during which no SYN is refused: siblings may be starting as well, and the
    /// caller retransmits an unanswered SYN.
    pub startup_grace: Duration,
    /// Time after startup within which a running backend server sends its first report.
    pub report_timeout: Duration,
    /// Time within which the backend server must answer a SYN; it answers without waiting for a
    /// free slot.
    pub syn_timeout: Duration,
    /// Time for which the state of an ended flow is kept, so that its last packets are delivered.
    pub ended_ttl: Duration,
    /// Minimum time between two notices about a flow to the same receiver.
    pub notice_interval: Duration,
    /// Maximum number of redirects; the least recently used is evicted.
    pub max_redirects: usize,
    /// Time after which an unused redirect expires.
    pub redirect_ttl: Duration,
    /// Maximum number of members that the search for a flow visits beyond the balancer's list.
    pub max_visits: u8,
    /// Maximum number of returned flows, and of offered packets, that are remembered.
    pub max_returned: usize,
    /// Age above which a sibling's load is ignored.
    pub load_ttl: Duration,
    /// Interval of load notices to siblings.
    pub load_interval: Duration,
    /// Siblings that get a load notice per interval.
    pub load_fanout: usize,
    /// Interval of the flows that a failing backend server gets to detect its recovery.
    pub probe_interval: Duration,
    /// Time after which an unanswered request doesn't count as in progress any more.
    pub request_timeout: Duration,
    /// Time for which an accepted flow reserves a slot for its first request.
    pub reservation_timeout: Duration,
    /// Payload size of a full segment; a shorter segment ends a request.
    pub full_segment_bytes: usize,
    /// Maximum number of requests per slot that the backend server gets at a time; further SYNs are
    /// queued.
    pub slot_requests: u16,
    /// Maximum time for which a SYN may stay queued, as a multiple of the route's target latency;
    /// then its caller gets a reset and may retry.
    pub timeout_factor: u32,
    /// Upper bound of the time in the queue, and its value if the route has no target latency.
    pub queue_timeout: Duration,
    /// Maximum number of queued SYNs.
    pub max_queued: usize,
}

impl Default for ForwardSettings {
    fn default() -> Self {
        Self {
            max_age: Duration::from_secs(60),
            startup_grace: Duration::from_millis(1_500),
            report_timeout: Duration::from_secs(3),
            syn_timeout: Duration::from_millis(25),
            ended_ttl: Duration::from_secs(2),
            notice_interval: Duration::from_secs(1),
            max_redirects: 65_536,
            redirect_ttl: Duration::from_secs(120),
            max_visits: 128,
            max_returned: 4_096,
            load_ttl: Duration::from_secs(2),
            load_interval: Duration::from_millis(250),
            load_fanout: 16,
            probe_interval: Duration::from_millis(200),
            request_timeout: Duration::from_secs(2),
            reservation_timeout: Duration::from_millis(100),
            full_segment_bytes: 1_200,
            slot_requests: 2,
            timeout_factor: 2,
            queue_timeout: Duration::from_secs(1),
            max_queued: 512,
        }
    }
}
