//! Decisions of the control leader about nodes: leases, member states, table
//! versions, key sets, the horizon, and which configuration is in force.
//!
//! There is no I/O here. The leader feeds heartbeats and ticks in, together
//! with the replicated state, and proposes the returned commands. Decisions
//! compare what the leases say with what the state says, so a proposal that
//! was lost is made again at a later tick.

mod config;
mod keys;
mod lease;
mod members;

use std::collections::{BTreeMap, BTreeSet};

use api::{Heartbeat, HeartbeatReply};
use state::State;
use tokio::time::Instant;
use units::{HostName, Incarnation, Millis, ServiceId};

pub use config::MAX_MISSING;
pub use lease::{MAX_NODES, Node, NodeKey, Refused};
pub use members::MAX_CHANGED;

/// Time without a heartbeat after which a node counts as lost.
pub const LEASE: Millis = Millis(4_000);

/// Time over which changes are collected into one table version.
pub const COALESCE: Millis = Millis(250);

/// Gap between ticks from which on the leader itself was stopped; leases are
/// extended by it, because heartbeats could not arrive.
pub const STALL: Millis = Millis(1_000);

/// Time and Unix time of an event.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// Monotonic time, for leases.
    pub mono: Instant,
    /// Unix time, for planned changes and key times.
    pub unix: Millis,
}

/// What happened.
#[derive(Debug)]
pub enum Event<'a> {
    /// This replica became leader.
    Lead,
    /// This replica is no longer leader.
    Follow,
    /// A node gave a sign of life.
    Heartbeat(&'a Heartbeat),
    /// Time passed; at least four times per second.
    Tick,
}

/// What to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Answer the heartbeat.
    Reply(HeartbeatReply),
    /// Refuse the heartbeat.
    Refuse(Refused),
    /// Propose a command to the log.
    Propose(state::Action),
}

#[derive(Debug)]
struct Leading {
    since: Instant,
    ticked: Instant,
    /// When the first change that is not in a table yet was seen.
    dirty_since: Option<Instant>,
}

/// Nodes with their leases, and changes that are not in a table yet.
#[derive(Debug, Default)]
pub struct Membership {
    leading: Option<Leading>,
    nodes: BTreeMap<NodeKey, Node>,
    dirty: BTreeSet<ServiceId>,
    /// Members whose processes said that they leave, until they are out of the table.
    left: BTreeSet<(ServiceId, HostName, Incarnation)>,
    /// Backend servers that planned changes keep from new work.
    drained: BTreeSet<HostName>,
    /// When a service's key set first differed from its members.
    stale_keys: BTreeMap<ServiceId, Instant>,
}

impl Membership {
    /// Decides on an event.
    pub fn handle(&mut self, now: Now, state: &State, event: Event<'_>, out: &mut Vec<Action>) {
        match event {
            Event::Lead => self.lead(now, state),
            Event::Follow => *self = Self::default(),
            Event::Heartbeat(beat) => out.push(self.heartbeat(now, state, beat)),
            Event::Tick => self.tick(now, state, out),
        }
    }

    /// Every table is compared once the members had a full lease to report.
    fn lead(&mut self, now: Now, state: &State) {
        *self = Self::default();
        self.leading = Some(Leading {
            since: now.mono,
            ticked: now.mono,
            dirty_since: None,
        });
        self.dirty = state.tables().map(|table| table.service).collect();
    }

    fn tick(&mut self, now: Now, state: &State, out: &mut Vec<Action>) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let gap = now.mono.saturating_duration_since(leading.ticked);
        leading.ticked = now.mono;
        if gap > STALL.duration() {
            leading.since += gap;
            self.nodes.values_mut().for_each(|node| node.until += gap);
        }
        self.extend_horizon(now, state, out);
        self.expire(now, state);
        self.apply_plans(now, state);
        self.flush(now, state, out);
        self.renew_keys(now, state, out);
        self.note_in_force(now, state, out);
    }

    /// Whether every live node had a full lease to report to this leader.
    fn settled(&self, now: Now) -> bool {
        let since = self.leading.as_ref().map(|leading| leading.since);
        since.is_some_and(|since| now.mono >= since + LEASE.duration())
    }

    fn mark(&mut self, now: Now, service: ServiceId) {
        self.dirty.insert(service);
        if let Some(leading) = &mut self.leading {
            leading.dirty_since.get_or_insert(now.mono);
        }
    }
}
