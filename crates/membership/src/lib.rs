//! Decisions of the control leader about nodes: leases, member states, table
//! versions, key sets, the horizon, and which configuration is in force.
//!
//! The crate does no I/O. The leader passes in heartbeats and ticks together with
//! the replicated state, and proposes the returned commands. Decisions compare the
//! leases with the state, so a lost proposal is made again at a later tick.

mod config;
mod keys;
mod lease;
mod members;

use std::collections::{BTreeMap, BTreeSet};

use api::{Heartbeat, HeartbeatReply};
use state::State;
use tokio::time::Instant;
use units::{HostName, Incarnation, Millis, ServiceId};

pub use config::MAX_MISSING_HOSTS;
pub use lease::{HeartbeatError, MAX_NODES, Node, NodeKey};
pub use members::MAX_CHANGED_MEMBERS;

/// Time without a heartbeat after which a node is considered lost.
pub const LEASE_TIMEOUT: Millis = Millis(4_000);

/// Time for which changes are collected into one table version.
pub const COALESCE_WINDOW: Millis = Millis(250);

/// Gap between ticks above which the leader itself was not scheduled. Leases are
/// extended by the gap, because heartbeats could not be received.
pub const STALL_THRESHOLD: Millis = Millis(1_000);

/// Monotonic time and Unix time of an event.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// Monotonic time, for leases.
    pub mono: Instant,
    /// Unix time, for planned changes and key times.
    pub unix: Millis,
}

/// Input of the decisions.
#[derive(Debug)]
pub enum Event<'a> {
    /// This replica became leader.
    BecomeLeader,
    /// This replica is no longer leader.
    BecomeFollower,
    /// A node sent a heartbeat.
    Heartbeat(&'a Heartbeat),
    /// Time has passed; due at least four times per second.
    Tick,
}

/// Output of the decisions.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Reply to the heartbeat.
    Reply(HeartbeatReply),
    /// Reject the heartbeat.
    Reject(HeartbeatError),
    /// Propose a command to the log.
    Propose(state::Action),
}

#[derive(Debug)]
struct LeaderState {
    since: Instant,
    last_tick: Instant,
    /// When the first change that is not in a table yet was detected.
    dirty_since: Option<Instant>,
}

/// Nodes with their leases, and changes that are not in a table yet.
#[derive(Debug, Default)]
pub struct Membership {
    leader: Option<LeaderState>,
    nodes: BTreeMap<NodeKey, Node>,
    /// Services whose tables may differ from the leases.
    dirty: BTreeSet<ServiceId>,
    /// Members whose processes announced that they leave, until the table lacks them.
    departed: BTreeSet<(ServiceId, HostName, Incarnation)>,
    /// Hosts of backend servers that get no new work because of a planned change.
    drained_hosts: BTreeSet<HostName>,
    /// Since when the key set of a service has differed from its members.
    stale_since: BTreeMap<ServiceId, Instant>,
}

impl Membership {
    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Now, state: &State, event: Event<'_>, out: &mut Vec<Action>) {
        match event {
            Event::BecomeLeader => self.become_leader(now, state),
            Event::BecomeFollower => *self = Self::default(),
            Event::Heartbeat(heartbeat) => out.push(self.handle_heartbeat(now, state, heartbeat)),
            Event::Tick => self.tick(now, state, out),
        }
    }

    /// Starts without nodes and marks every table dirty. Members without a heartbeat
    /// stay until a full lease has passed.
    fn become_leader(&mut self, now: Now, state: &State) {
        *self = Self::default();
        self.leader = Some(LeaderState {
            since: now.mono,
            last_tick: now.mono,
            dirty_since: None,
        });
        self.dirty = state.tables().map(|table| table.service).collect();
    }

    fn tick(&mut self, now: Now, state: &State, out: &mut Vec<Action>) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let gap = now.mono.saturating_duration_since(leader.last_tick);
        leader.last_tick = now.mono;
        if gap > STALL_THRESHOLD.duration() {
            leader.since += gap;
            self.nodes
                .values_mut()
                .for_each(|node| node.lease_end += gap);
        }
        self.extend_horizon(now, state, out);
        self.expire_leases(now, state);
        self.apply_planned_changes(now, state);
        self.propose_changes(now, state, out);
        self.renew_keys(now, state, out);
        self.propose_in_force(now, state, out);
    }

    /// Whether every live node has had a full lease to send this leader a heartbeat.
    fn full_lease_passed(&self, now: Now) -> bool {
        let since = self.leader.as_ref().map(|leader| leader.since);
        since.is_some_and(|since| now.mono >= since + LEASE_TIMEOUT.duration())
    }

    fn mark_dirty(&mut self, now: Now, service: ServiceId) {
        self.dirty.insert(service);
        if let Some(leader) = &mut self.leader {
            leader.dirty_since.get_or_insert(now.mono);
        }
    }
}
