//! State of the decisions.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use api::Table;
use steering::{OwnerCache, Ranker};
use tokio::time::Instant;
use units::{Flow, ServiceId};
use wire::{Candidate, Notice};

use crate::held::Held;
use crate::loads::Loads;
use crate::registry::Repeats;
use crate::strays::Strays;
use crate::{Action, Event, FlowsSettings};

/// Service of this agent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Service {
    pub(crate) id: ServiceId,
    pub(crate) address: Option<SocketAddrV4>,
    pub(crate) limit: usize,
}

/// What the current table says of a member.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Known {
    pub(crate) weight: u16,
    pub(crate) takes_work: bool,
}

/// Flows held here, redirects to other owners, and what is known of the siblings.
#[derive(Debug)]
pub struct Flows {
    pub(crate) settings: FlowsSettings,
    pub(crate) me: Candidate,
    pub(crate) service: Option<Service>,
    pub(crate) accepting: bool,
    /// End of the time in which unknown flows are not reset.
    pub(crate) settled: Instant,
    pub(crate) ranker: Option<Ranker>,
    pub(crate) members: HashMap<Candidate, Known>,
    pub(crate) held: HashMap<Flow, Held>,
    pub(crate) redirects: OwnerCache<Candidate>,
    pub(crate) loads: Loads,
    pub(crate) repeats: Repeats,
    pub(crate) strays: Strays,
}

impl Flows {
    /// State of an agent that just started and accepts nothing yet.
    #[must_use]
    pub fn new(settings: FlowsSettings, me: Candidate, now: Instant) -> Self {
        Self {
            me,
            service: None,
            accepting: false,
            settled: now + settings.settle,
            ranker: None,
            members: HashMap::new(),
            held: HashMap::new(),
            redirects: OwnerCache::new(settings.redirects, settings.redirect_ttl),
            loads: Loads::new(settings.load_ttl),
            repeats: Repeats::new(),
            strays: Strays::new(settings.strays, settings.stray),
            settings,
        }
    }

    /// Decides; appends what to do to `out`.
    ///
    /// A packet yields exactly one action other than [`Action::Notify`].
    pub fn handle(&mut self, now: Instant, event: Event<'_>, out: &mut Vec<Action>) {
        match event {
            Event::Packet { header, segment } => self.packet(now, header, segment, out),
            Event::Opened { flow, initial_seq } => {
                if let Some(held) = self.held.get_mut(&flow) {
                    held.opened(initial_seq);
                }
            }
            Event::Ended(flow) => {
                self.held.remove(&flow);
            }
            Event::Service { id, address, limit } => {
                self.service = Some(Service { id, address, limit });
            }
            Event::Accepting(accepting) => self.accepting = accepting,
            Event::Table { table, changed } => self.table(now, table, changed, out),
            Event::Notice(notice) => self.notice(now, notice),
            Event::Load { member, open } => self.loads.set(member, open, now),
            Event::Tick => self.repeat(now, out),
        }
    }

    /// Flows held here, half-open ones included.
    #[must_use]
    pub fn open(&self) -> usize {
        self.held.len()
    }

    /// Redirects known.
    #[must_use]
    pub fn redirects(&self) -> usize {
        self.redirects.len()
    }

    /// Whether a flow is held here.
    #[must_use]
    pub fn holds(&self, flow: &Flow) -> bool {
        self.held.contains_key(flow)
    }

    fn table(&mut self, now: Instant, table: &Arc<Table>, changed: Instant, out: &mut Vec<Action>) {
        let ours = self.service.is_some_and(|s| s.id == table.service);
        let newer = self.ranker.as_ref().is_none_or(|r| table.epoch > r.epoch);
        if !ours || !newer {
            return;
        }
        self.settled = self.settled.max(changed + self.settings.settle);
        self.members = table
            .members
            .iter()
            .map(|member| {
                let candidate = Candidate {
                    address: member.packets,
                    incarnation: member.incarnation,
                };
                let known = Known {
                    weight: member.weight.0,
                    takes_work: member.state.takes_work(),
                };
                (candidate, known)
            })
            .collect();
        let members = &self.members;
        self.redirects.retain(|owner| members.contains_key(owner));
        self.loads.retain(|member| members.contains_key(member));
        self.ranker = Some(Ranker::new(table));
        self.register_moved(now, out);
    }

    fn notice(&mut self, now: Instant, notice: &Notice) {
        let ours = self.service.is_some_and(|s| s.id == notice.service);
        if !ours || notice.owner == self.me || !self.members.contains_key(&notice.owner) {
            return;
        }
        self.loads.set(notice.owner, notice.load.open, now);
        for flow in &notice.flows {
            // A half-open flow stays until its handshake times out: the owner may be half-open too,
            // and the sequence numbers tell their packets apart.
            if !self.held.get(flow).is_some_and(|held| held.established) {
                self.redirects.put(*flow, notice.owner, now);
            }
        }
    }
}
