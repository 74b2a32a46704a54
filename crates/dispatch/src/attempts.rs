//! Attempts of callers to open a flow, and whether one may be refused.
//!
//! A refusal tells the caller that nothing has run, so it has to hold for every copy of the SYN: for
//! those that the caller sends and for those that this balancer sends to further agents. Copies part in
//! many ways: they enter at other balancers, their views differ, notices are lost, agents restart. A
//! balancer therefore refuses an attempt only if every copy that the caller can have sent by now came
//! here, and every packet that was sent to an agent for it came back undelivered. Packets that are lost,
//! or delivered, never come back; then the attempt is not refused, and its caller's own timeout ends it.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;
use units::Flow;
use wire::Segment;

/// Time for which an attempt is remembered; longer than any caller sends copies.
const ATTEMPT_TTL: Duration = Duration::from_secs(2);

/// What is known about an attempt.
#[derive(Debug)]
struct Attempt {
    /// Sequence number of the SYN; a later attempt with the same addresses has another.
    seq: u32,
    /// Copies that came here in order, the first SYN included.
    copies: usize,
    /// Earliest time at which the newest copy may have arrived.
    newest: Instant,
    /// Packets that were sent to agents and have not come back.
    outstanding: u32,
    /// Whether agents have given it up.
    given_up: bool,
    /// Whether a copy may exist that didn't come here, or that an agent made.
    parted: bool,
}

/// Attempts of the last seconds.
#[derive(Debug)]
pub(crate) struct Attempts {
    by_flow: HashMap<Flow, Attempt>,
    /// Attempts in the order in which they expire; some may have been replaced.
    expiries: VecDeque<(Instant, Flow)>,
    limit: usize,
    /// Times after the first SYN at which a caller sends copies.
    schedule: &'static [Duration],
    /// Time for the way from a caller to this balancer and back.
    margin: Duration,
}

impl Attempts {
    /// Remembers at most `limit` attempts.
    pub(crate) fn new(limit: usize, schedule: &'static [Duration], margin: Duration) -> Self {
        Self {
            by_flow: HashMap::new(),
            expiries: VecDeque::new(),
            limit,
            schedule,
            margin,
        }
    }

    /// Records a SYN of a caller that arrived at `arrived` or later.
    pub(crate) fn record_copy(&mut self, now: Instant, arrived: Instant, segment: &Segment) {
        self.remove_expired(now);
        let number = usize::try_from(segment.copy_number()).unwrap_or(usize::MAX);
        let known = self.by_flow.get_mut(&segment.flow);
        if let Some(attempt) = known.filter(|attempt| attempt.seq == segment.seq) {
            if number == attempt.copies {
                attempt.copies += 1;
                attempt.newest = arrived;
            } else {
                attempt.parted = true;
            }
            return;
        }
        if self.by_flow.len() >= self.limit {
            return;
        }
        let attempt = Attempt {
            seq: segment.seq,
            copies: 1,
            newest: arrived,
            outstanding: 0,
            given_up: false,
            parted: number > 0,
        };
        self.by_flow.insert(segment.flow, attempt);
        self.expiries.push_back((now + ATTEMPT_TTL, segment.flow));
    }

    /// Records that a SYN of a flow is sent to an agent.
    pub(crate) fn record_sent(&mut self, flow: &Flow) {
        if let Some(attempt) = self.by_flow.get_mut(flow) {
            attempt.outstanding += 1;
        }
    }

    /// Records that agents gave up a SYN; returns whether its attempt is known. `copied` tells whether
    /// one of them delivered it, too.
    pub(crate) fn record_returned(&mut self, segment: &Segment, copied: bool) -> bool {
        let known = self.by_flow.get_mut(&segment.flow);
        let Some(attempt) = known.filter(|attempt| attempt.seq == segment.seq) else {
            return false;
        };
        attempt.parted |= copied || attempt.outstanding == 0;
        attempt.outstanding = attempt.outstanding.saturating_sub(1);
        attempt.given_up = true;
        true
    }

    /// Whether agents have given up the attempt, and no copy is left with one.
    pub(crate) fn is_given_up(&self, flow: &Flow) -> bool {
        let attempt = self.by_flow.get(flow);
        attempt.is_some_and(|attempt| attempt.given_up && attempt.outstanding == 0)
    }

    /// Whether no copy of the attempt's SYN was delivered, or can be before a refusal that is sent now
    /// reaches the caller.
    pub(crate) fn may_refuse(&self, now: Instant, flow: &Flow) -> bool {
        self.by_flow.get(flow).is_some_and(|attempt| {
            !attempt.parted
                && attempt.outstanding == 0
                && self
                    .next_copy(attempt)
                    .is_none_or(|next| now + self.margin < next)
        })
    }

    /// Earliest time at which the next copy may arrive; `None` after the last.
    fn next_copy(&self, attempt: &Attempt) -> Option<Instant> {
        let sent = |copies: usize| match copies.checked_sub(1) {
            None => Some(Duration::ZERO),
            Some(index) => self.schedule.get(index).copied(),
        };
        let last = sent(attempt.copies - 1)?;
        Some(attempt.newest + (sent(attempt.copies)? - last))
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some((_, flow)) = self.expiries.pop_front_if(|(at, _)| *at <= now) {
            self.by_flow.remove(&flow);
        }
    }
}
