//! Admission of requests at one backend server.
//!
//! Decisions only: callers pass in the time and a seeded generator, and carry
//! out the actions. Each waiting request is known by an id that its caller
//! chooses; an id ends with a `Refuse` action, a `Leave` or an `End` event.

mod admit;
mod budget;
mod estimate;
mod health;
mod limit;
mod queue;
mod siblings;

pub use admit::Admission;
pub use budget::{Budget, backoff};
pub use health::{Health, Source};
pub use siblings::{Sibling, Siblings};

use std::time::{Duration, Instant};

use profile::Tier;

/// How a class is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassLimits {
    /// Order of refusal.
    pub tier: Tier,
    /// May use the reserved slots.
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

/// Order of requests of one tier in the queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Order {
    /// Earliest deadline first; newest first within a class while the class is overloaded.
    #[default]
    Adaptive,
    /// Earliest deadline first.
    Deadline,
    /// First in, first out. Baseline of measurements.
    Arrival,
}

/// Limits of one backend server and the mechanisms in use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Requests in progress.
    pub slots: u16,
    /// Slots that only short classes may use.
    pub reserved: u16,
    /// Requests waiting.
    pub queue: usize,
    /// Run time after which a request counts as long.
    pub long_after: Duration,
    /// Time over which the slots rise from one to all.
    pub warmup: Duration,
    /// Sheds in a row before a slot is taken away.
    pub fall: u8,
    /// Answers in a row before it is given back.
    pub rise: u8,
    /// Order within a tier.
    pub order: Order,
    /// Whether tiers order the queue and its evictions.
    pub tiers: bool,
    /// Whether a request that can't finish in time is refused at arrival.
    pub refuse_early: bool,
    /// Whether arrivals displace waiting requests that have no chance any more.
    pub shed_waiting: bool,
    /// Whether a request that can't finish in time is dropped before it begins.
    pub drop_late: bool,
    /// Whether a request of a short class counts as long once it ran for `long_after`.
    pub contain: bool,
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
            order: Order::Adaptive,
            tiers: true,
            refuse_early: true,
            shed_waiting: true,
            drop_late: true,
            contain: true,
        }
    }
}

/// How a begun request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// The backend server answered.
    Answered,
    /// The backend server refused it or could not be reached.
    Shed,
    /// Cancelled or cut; tells nothing of the backend server's load.
    Cancelled,
}

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A request arrived.
    Arrive {
        /// Id, not in use.
        id: u64,
        /// Index of the class.
        class: usize,
        /// End of the time left.
        deadline: Instant,
    },
    /// The caller of a waiting request left.
    Leave {
        /// Id.
        id: u64,
    },
    /// A begun request ended.
    End {
        /// Id.
        id: u64,
        /// How.
        ended: Ended,
    },
    /// The time of [`Admission::next_wake`] came.
    Tick,
}

/// Why a request was refused; it did not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It would wait longer than its time left.
    TooLate,
    /// The queue is full.
    Full,
    /// A request of a higher tier took its place in the queue.
    Displaced,
    /// Its deadline passed while it waited.
    Expired,
}

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the backend server.
    Begin {
        /// Id.
        id: u64,
    },
    /// Refuse it as not run.
    Refuse {
        /// Id.
        id: u64,
        /// Why.
        reason: Reason,
        /// Time after which a new attempt has a chance.
        retry_after: Duration,
    },
}
