//! Limits and times.

use std::time::Duration;

/// Limits and times.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardSettings {
    /// Longest age of a flow; an agent older than that knows every flow of its backend server.
    pub max_flow_age: Duration,
    /// Time after the start in which no SYN is refused: siblings may be starting as well, and the
    /// caller repeats a SYN that got no answer.
    pub startup_grace: Duration,
    /// Time after the start within which the backend server reports, if it is there.
    pub first_report_timeout: Duration,
    /// Time within which the backend server answers a SYN; it does so before it has a slot.
    pub syn_timeout: Duration,
    /// Time for which the end of a flow is remembered, so that its last packets find the way.
    pub ended_flow_ttl: Duration,
    /// Shortest time between two notices about a flow to the same receiver.
    pub min_notice_interval: Duration,
    /// Redirects kept.
    pub max_redirects: usize,
    /// Time after which an unused redirect expires.
    pub redirect_ttl: Duration,
    /// Members that the search of a flow visits beyond the balancer's list.
    pub max_search_visits: u8,
    /// Flows remembered that the backend server returned.
    pub max_returned_flows: usize,
    /// Age above which a sibling's load is not used.
    pub load_ttl: Duration,
    /// Time between two load notices to the siblings.
    pub load_interval: Duration,
    /// Siblings that get a load notice at a time.
    pub load_fanout: usize,
    /// Time between two flows that a failing backend server gets, so that its recovery is seen.
    pub probe_interval: Duration,
    /// Longest time for which a request without an answer counts as in progress.
    pub request_timeout: Duration,
    /// Time for which an accepted flow keeps a slot until its request arrives.
    pub reservation_timeout: Duration,
    /// Payload bytes of a full segment; a shorter one ends a request.
    pub full_segment_bytes: usize,
    /// Requests per slot that the backend server is given; further SYNs wait for a place.
    pub max_requests_per_slot: u16,
    /// Longest wait of a SYN for a place, in times of the latency that its route wants; then its
    /// caller gets a reset and may try again.
    pub queue_timeout_factor: u32,
    /// Longest wait, whatever the route wants.
    pub max_queue_timeout: Duration,
    /// SYNs that may wait at the same time.
    pub max_queued_syns: usize,
}

impl Default for ForwardSettings {
    fn default() -> Self {
        Self {
            max_flow_age: Duration::from_secs(60),
            startup_grace: Duration::from_millis(1_500),
            first_report_timeout: Duration::from_secs(3),
            syn_timeout: Duration::from_millis(25),
            ended_flow_ttl: Duration::from_secs(2),
            min_notice_interval: Duration::from_secs(1),
            max_redirects: 65_536,
            redirect_ttl: Duration::from_secs(120),
            max_search_visits: 128,
            max_returned_flows: 4_096,
            load_ttl: Duration::from_secs(2),
            load_interval: Duration::from_millis(250),
            load_fanout: 16,
            probe_interval: Duration::from_millis(200),
            request_timeout: Duration::from_secs(2),
            reservation_timeout: Duration::from_millis(100),
            full_segment_bytes: 1_200,
            max_requests_per_slot: 2,
            queue_timeout_factor: 2,
            max_queue_timeout: Duration::from_secs(1),
            max_queued_syns: 512,
        }
    }
}
