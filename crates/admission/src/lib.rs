//! Admission control for one backend server.
//!
//! The crate does no I/O: callers pass in the time and a random generator, and
//! carry out the actions. A request is identified by an id that the caller
//! chooses. The id is released by a `Refuse` action, or a `Cancel` or `End`
//! event.

mod admit;
mod budget;
mod health;
mod queue;
mod service_time;
mod siblings;
mod slot_limit;

pub use admit::Admission;
pub use budget::{RetryBudget, backoff};
pub use health::{Health, HealthSource};
pub use siblings::{SiblingLoad, Siblings};

use std::time::{Duration, Instant};

use profile::Tier;

/// Admission settings of a request class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassLimits {
    /// Priority; lower tiers are refused first.
    pub tier: Tier,
    /// Whether its requests are short, which may use the reserved slots.
    pub short: bool,
}

impl Default for ClassLimits {
    fn default() -> Self {
        Self {
            tier: Tier::Normal,
            short: false,
        }
    }
}

/// Order of waiting requests of the same tier.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// Earliest deadline first; last in, first out within a class that is overloaded.
    #[default]
    Adaptive,
    /// Earliest deadline first.
    EarliestDeadline,
    /// First in, first out; the baseline of measurements.
    Fifo,
}

/// Limits of one backend server, and the mechanisms that are enabled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Most requests in progress.
    pub slots: u16,
    /// Slots that only short classes may use.
    pub reserved: u16,
    /// Most requests waiting.
    pub queue: usize,
    /// Running time after which a request of a short class counts as long.
    pub long_after: Duration,
    /// Duration of the ramp-up, over which the slots increase from one to all.
    pub warmup: Duration,
    /// Sheds in a row after which a slot is withdrawn.
    pub fall: u8,
    /// Answers in a row after which a withdrawn slot is returned.
    pub rise: u8,
    /// Order of the queue within a tier.
    pub order: QueueOrder,
    /// Whether the queue and its evictions are ordered by tier.
    pub tiers: bool,
    /// Whether a request that can't meet its deadline is refused on arrival.
    pub refuse_early: bool,
    /// Whether arrivals displace waiting requests that can no longer meet their deadline.
    pub displace_waiting: bool,
    /// Whether a request that can't meet its deadline is dropped when its turn comes.
    pub drop_late: bool,
    /// Whether a request of a short class counts as long after it has run for `long_after`.
    pub reclassify_long: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            slots: 2,
            reserved: 1,
            queue: 64,
            long_after: Duration::from_secs(1),
            warmup: Duration::ZERO,
            fall: 3,
            rise: 2,
            order: QueueOrder::Adaptive,
            tiers: true,
            refuse_early: true,
            displace_waiting: true,
            drop_late: true,
            reclassify_long: true,
        }
    }
}

/// Result of a request that was started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The backend server answered.
    Answered,
    /// The backend server refused the request or could not be reached.
    Shed,
    /// The request was cancelled or cut off, which says nothing about the load of the backend
    /// server.
    Cancelled,
}

/// Input of [`Admission::handle`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A request arrived.
    Arrive {
        /// Id of the request, not in use.
        id: u64,
        /// Index of the class.
        class: usize,
        /// Time by which the request must finish.
        deadline: Instant,
    },
    /// The caller of a waiting request cancelled it.
    Cancel {
        /// Id of the request.
        id: u64,
    },
    /// A started request ended.
    End {
        /// Id of the request.
        id: u64,
        /// Its result.
        completion: Completion,
    },
    /// The time of [`Admission::next_wakeup`] was reached.
    Tick,
}

/// Reason why a request was refused before it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// It can't meet its deadline.
    TooLate,
    /// The queue is full.
    Full,
    /// Another request displaced it from the queue.
    Displaced,
    /// Its deadline passed while it waited.
    Expired,
}

/// Output of [`Admission::handle`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the backend server.
    Start {
        /// Id of the request.
        id: u64,
    },
    /// Refuse the request as not run.
    Refuse {
        /// Id of the request.
        id: u64,
        /// Why the request is refused.
        reason: RefusalReason,
        /// Wait after which a retry may succeed.
        retry_after: Duration,
    },
}
