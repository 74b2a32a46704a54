//! State of the ownership rules.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use api::Table;
use steering::{OwnerCache, Ranker};
use tokio::time::Instant;
use units::{Flow, ServiceId};
use wire::{Candidate, Notice};

use crate::loads::Loads;
use crate::owned::OwnedFlow;
use crate::registration::Retries;
use crate::strays::Strays;
use crate::{Action, Event, FlowsSettings};

/// Service of this agent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Service {
    pub(crate) id: ServiceId,
    pub(crate) address: Option<SocketAddrV4>,
    pub(crate) limit: usize,
}

/// Properties of a member in the current table.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MemberInfo {
    pub(crate) weight: u16,
    pub(crate) takes_work: bool,
}

/// Ownership state of an agent: its own flows, redirects to other owners, and the sibling agents.
#[derive(Debug)]
pub struct Flows {
    pub(crate) settings: FlowsSettings,
    pub(crate) local: Candidate,
    pub(crate) service: Option<Service>,
    pub(crate) accepting: bool,
    /// Packets of unknown flows are not reset before this time.
    pub(crate) settled_at: Instant,
    pub(crate) ranker: Option<Ranker>,
    pub(crate) members: HashMap<Candidate, MemberInfo>,
    pub(crate) owned: HashMap<Flow, OwnedFlow>,
    pub(crate) redirects: OwnerCache<Candidate>,
    pub(crate) loads: Loads,
    pub(crate) retries: Retries,
    pub(crate) strays: Strays,
    /// Start of the last linearizable read of the view, which the table includes.
    pub(crate) read_at: Option<Instant>,
}

impl Flows {
    /// State of an agent that has just started and does not accept flows yet.
    #[must_use]
    pub fn new(settings: FlowsSettings, local: Candidate, now: Instant) -> Self {
        Self {
            local,
            service: None,
            accepting: false,
            settled_at: now + settings.settle_time,
            ranker: None,
            members: HashMap::new(),
            owned: HashMap::new(),
            redirects: OwnerCache::new(settings.max_redirects, settings.redirect_ttl),
            loads: Loads::new(settings.load_ttl),
            retries: Retries::new(),
            strays: Strays::new(settings.max_strays, settings.stray_time, settings.stray_ttl),
            read_at: None,
            settings,
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    ///
    /// A packet yields exactly one action other than [`Action::Notify`] and [`Action::ReadView`].
    pub fn handle(&mut self, now: Instant, event: Event<'_>, out: &mut Vec<Action>) {
        match event {
            Event::Packet { header, segment } => self.packet(now, header, segment, out),
            Event::Opened { flow, initial_seq } => {
                if let Some(owned) = self.owned.get_mut(&flow) {
                    owned.set_initial_seq(initial_seq);
                }
            }
            Event::Ended(flow) => {
                self.owned.remove(&flow);
            }
            Event::Service { id, address, limit } => {
                self.service = Some(Service { id, address, limit });
            }
            Event::ViewRead(at) => self.read_at = self.read_at.max(Some(at)),
            Event::Accepting(accepting) => self.accepting = accepting,
            Event::Table { table, received_at } => self.table(now, table, received_at, out),
            Event::Notice(notice) => self.notice(now, notice),
            Event::Load { member, open } => self.loads.set(member, open, now),
            Event::Tick => self.retry_registrations(now, out),
        }
    }

    /// Number of flows owned here, including half-open ones.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.owned.len()
    }

    /// Number of known redirects.
    #[must_use]
    pub fn redirect_count(&self) -> usize {
        self.redirects.len()
    }

    /// Whether this agent owns a flow, possibly half-open.
    #[must_use]
    pub fn owns(&self, flow: &Flow) -> bool {
        self.owned.contains_key(flow)
    }

    fn table(
        &mut self,
        now: Instant,
        table: &Arc<Table>,
        received_at: Instant,
        out: &mut Vec<Action>,
    ) {
        let is_own_service = self.service.is_some_and(|s| s.id == table.service);
        let is_newer = self.ranker.as_ref().is_none_or(|r| table.epoch > r.epoch);
        if !is_own_service || !is_newer {
            return;
        }
        self.settled_at = self.settled_at.max(received_at + self.settings.settle_time);
        self.members = table
            .members
            .iter()
            .map(|member| {
                let candidate = Candidate {
                    address: member.packets,
                    incarnation: member.incarnation,
                };
                let info = MemberInfo {
                    weight: member.weight.0,
                    takes_work: member.state.takes_work(),
                };
                (candidate, info)
            })
            .collect();
        let members = &self.members;
        self.redirects.retain(|owner| members.contains_key(owner));
        self.loads.retain(|member| members.contains_key(member));
        self.ranker = Some(Ranker::new(table));
        self.register_moved(now, out);
    }

    fn notice(&mut self, now: Instant, notice: &Notice) {
        let is_own_service = self.service.is_some_and(|s| s.id == notice.service);
        if !is_own_service
            || notice.owner == self.local
            || !self.members.contains_key(&notice.owner)
        {
            return;
        }
        self.loads.set(notice.owner, notice.load.open, now);
        for flow in &notice.flows {
            // A half-open flow is kept until its handshake times out: the other owner may be
            // half-open too, and sequence numbers distinguish the packets of the two connections.
            if !self.owned.get(flow).is_some_and(|owned| owned.established) {
                self.redirects.put(*flow, notice.owner, now);
            }
        }
    }
}
