//! Limits and times.

use std::time::Duration;

/// Limits and times.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardSettings {
    /// Longest age of a flow; an agent older than that knows every flow of its backend server.
    pub flow_age: Duration,
    /// Time after the start in which no SYN is refused: siblings may be starting as well, and the
    /// caller repeats a SYN that got no answer.
    pub settle: Duration,
    /// Time after the start within which the backend server reports, if it is there.
    pub first_report: Duration,
    /// Time within which the backend server answers a SYN; it does so before it has a slot.
    pub answer: Duration,
    /// Time for which the end of a flow is remembered, so that its last packets find the way.
    pub linger: Duration,
    /// Shortest time between two notices about a flow to the same receiver.
    pub notice: Duration,
    /// Redirects kept.
    pub redirects: usize,
    /// Time after which an unused redirect expires.
    pub redirect_ttl: Duration,
    /// Members that the search of a flow visits beyond the balancer's list.
    pub sweep: u8,
    /// Flows remembered that the backend server returned.
    pub returned: usize,
    /// Age above which a sibling's load is not used.
    pub load_ttl: Duration,
    /// Time between two load notices to the siblings.
    pub load_interval: Duration,
    /// Siblings that get a load notice at a time.
    pub load_fanout: usize,
    /// Time between two flows that a failing backend server gets, so that its recovery is seen.
    pub probe: Duration,
    /// Longest time for which a request without an answer counts as in progress.
    pub busy_limit: Duration,
    /// Time for which an accepted flow keeps a slot until its request arrives.
    pub request_wait: Duration,
    /// Payload bytes of a full segment; a shorter one ends a request.
    pub full: usize,
    /// Requests per slot that the backend server is given; further SYNs wait for a place.
    pub depth: u16,
    /// Longest wait of a SYN for a place, in times of the latency that its route wants; then its
    /// caller gets a reset and may try again.
    pub patience: u32,
    /// Longest wait, whatever the route wants.
    pub most_patience: Duration,
    /// SYNs that may wait at the same time.
    pub waiting: usize,
}

impl Default for ForwardSettings {
    fn default() -> Self {
        Self {
            flow_age: Duration::from_secs(60),
            settle: Duration::from_millis(1_500),
            first_report: Duration::from_secs(3),
            answer: Duration::from_millis(25),
            linger: Duration::from_secs(2),
            notice: Duration::from_secs(1),
            redirects: 65_536,
            redirect_ttl: Duration::from_secs(120),
            sweep: 128,
            returned: 4_096,
            load_ttl: Duration::from_secs(2),
            load_interval: Duration::from_millis(250),
            load_fanout: 16,
            probe: Duration::from_millis(200),
            busy_limit: Duration::from_secs(2),
            request_wait: Duration::from_millis(100),
            full: 1_200,
            depth: 2,
            patience: 2,
            most_patience: Duration::from_secs(1),
            waiting: 512,
        }
    }
}
