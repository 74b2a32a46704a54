//! Search for flows whose owner is unknown.
//!
//! A packet visits the balancer's list, then every member in the order of
//! their addresses, starting at the flow's home agent. The header accumulates a
//! checksum of the visited members, from which the last agent can tell whether
//! every member was visited, however many there are. Members whose process
//! announced its shutdown, or that were never heard, are skipped, but their
//! backend servers may have the flow, so such a search ends without a reset.
//!
//! A search covers one service under the tables that its agents have. A search
//! that finds nothing ends with the packet's return to the balancer, which knows
//! the other services of the route and asks control whether its view is current.

use std::net::SocketAddrV4;

use tokio::time::Instant;
use units::{Epoch, Flow};
use wire::{Candidate, Candidates, Flags, Header, MAX_CANDIDATES, Segment, Sweep};

use crate::siblings::Reachability;
use crate::{Action, Backend, DropReason, Forwarder, Reason};

/// Marks a packet that searches for its flow beyond the balancer's list.
const SEARCH_FLAGS: Flags = Flags {
    lookup: true,
    accept: false,
};

impl Forwarder {
    /// Handles a packet, other than a SYN, of a flow that is not tracked here.
    pub(crate) fn handle_unknown_flow(
        &mut self,
        now: Instant,
        header: &Header,
        segment: &Segment,
        inner: &[u8],
        may_offer: bool,
        out: &mut Vec<Action>,
    ) {
        let flow = segment.flow;
        let returned = self.offers.was_returned(&flow);
        let informed = header.is_redirected_at_first_hop() && may_offer;
        if informed && returned && !segment.rst {
            return out.push(self.end_search(header));
        }
        let recently_started = self.may_have_unknown_flows(now);
        let (may_be_running, may_have_flow) = match self.backend {
            Some(backend) => (true, backend.predates_agent && recently_started),
            None => (
                self.is_awaiting_first_report(now),
                self.is_awaiting_first_report(now),
            ),
        };
        let named = informed || header.hints.owner_first && may_have_flow;
        if returned || !may_be_running || !(named || may_have_flow && may_offer) {
            return out.push(self.forward_to_next(now, header, segment, Reason::Unknown));
        }
        out.push(Action::Deliver(Reason::Offer));
        // A backend server that has not reported may not be running, so the packet is also
        // forwarded, unless a balancer or another agent named this agent as the owner.
        if self.backend.is_some() || named {
            self.offers.record_offer(flow, *header);
        } else if let Action::Forward(header, _) =
            self.forward_to_next(now, header, segment, Reason::Unknown)
        {
            let inner = inner.into();
            out.push(Action::Resend {
                header,
                inner,
                flow,
            });
        }
    }

    /// Whether the backend server may be running although it has not reported to this agent yet.
    fn is_awaiting_first_report(&self, now: Instant) -> bool {
        self.backend.is_none()
            && !self.backend_reported
            && now < self.started_at + self.settings.report_timeout
    }

    /// Whether flows may be open that this agent doesn't know.
    fn may_have_unknown_flows(&self, now: Instant) -> bool {
        now < self.started_at + self.settings.max_age
    }

    /// Forwards a packet, other than a SYN, to the next candidate or, after the last, to the next
    /// member of the search. If every member is certain not to have the flow, the packet goes back
    /// to the balancer.
    pub(crate) fn forward_to_next(
        &self,
        now: Instant,
        header: &Header,
        segment: &Segment,
        reason: Reason,
    ) -> Action {
        let flow = segment.flow;
        let mut header = *header;
        header.hints.owner_uncertain |= !self.rules_out(now, &flow);
        if !header.is_redirected() {
            header.epoch.0 = header.epoch.0.max(self.epoch());
        }
        if header.hop == 0 && !header.hints.owner_first && self.may_have_unknown_flows(now) {
            self.add_local_members(&mut header);
        }
        while header.hints.sweep.is_none() && header.has_next() {
            header = header.next_hop(header.flags);
            match header.target().map(|t| self.reachability(t.address, now)) {
                Some(Reachability::Reachable) => return Action::Forward(header, reason),
                Some(Reachability::Uncertain) => header.hints.owner_uncertain = true,
                Some(Reachability::Down) | None => {}
            }
        }
        let Some(home) = header.home_agent() else {
            return Action::Drop(DropReason::Unknown);
        };
        // The balancer's list; during a search, the current target follows it.
        let mut list = header.candidates;
        let mut sweep = match header.hints.sweep {
            Some(sweep) => {
                list.pop();
                sweep.visited(self.local.address)
            }
            None => Sweep::new(home.address),
        };
        list.truncate(MAX_CANDIDATES - 1);
        let mut here = header.hints.sweep.map(|_| self.local.address);
        while let Some(next) = self.next_search_target(&sweep, here, &list) {
            let reachability = self.reachability(next.address, now);
            header.hints.owner_uncertain |= reachability == Reachability::Uncertain;
            if reachability != Reachability::Reachable {
                sweep = sweep.visited(next.address);
                here = Some(next.address);
                continue;
            }
            let hop = list.len();
            list.push(next);
            header.candidates = list;
            header.hints.sweep = Some(sweep);
            let hop = u8::try_from(hop).unwrap_or(u8::MAX);
            return Action::Forward(header.with_hop(hop, SEARCH_FLAGS), reason);
        }
        let members = self.members.iter().map(|member| member.candidate.address);
        let all = members.chain([self.local.address]);
        // The table of an agent with an older epoch may lack the member that has the flow.
        let complete = self.epoch() >= header.epoch.0
            && sweep.covers(all.filter(|member| !is_listed(&list, *member)));
        if header.hints.owner_uncertain || !complete || segment.rst {
            return Action::Drop(DropReason::Unknown);
        }
        self.end_search(&header)
    }

    /// Ends the search for a flow that no backend server of this service has. The returned header has
    /// the epoch of the table under which that is certain.
    pub(crate) fn end_search(&self, header: &Header) -> Action {
        if !header.hints.return_unheld {
            return Action::Drop(DropReason::Unreturnable);
        }
        let epoch = Epoch(self.epoch());
        let header = Header { epoch, ..*header };
        match header.hints.origin {
            Some(to) => Action::NotHeld { to, header },
            None => Action::Drop(DropReason::Unknown),
        }
    }

    /// Puts the members of the local data centre in front of the others. This agent is the flow's
    /// home and may have lost the registration in a restart, and most owners are in the same data
    /// centre.
    fn add_local_members(&self, header: &mut Header) {
        let Some(service) = &self.service else { return };
        let (home, rest) = match header.candidates.split_first() {
            Some((home, rest)) => (*home, rest),
            None => return,
        };
        let near = self.members.iter().filter(|m| m.centre == service.centre);
        let mut near: Vec<Candidate> = near.map(|member| member.candidate).collect();
        let order = Sweep::new(home.address);
        near.sort_by_key(|member| order.position(member.address));
        let is_near = |other: &&Candidate| near.iter().any(|n| n.address == other.address);
        let (first, last): (Vec<_>, Vec<_>) = rest.iter().partition(is_near);
        let room = MAX_CANDIDATES.saturating_sub(1 + rest.len());
        let added = near.iter();
        let added = added.filter(|n| !is_listed(&header.candidates, n.address));
        let all = [&home].into_iter().chain(first).chain(added.take(room));
        header.candidates = all.chain(last).copied().collect();
    }

    /// Member that the search visits next.
    fn next_search_target(
        &self,
        sweep: &Sweep,
        here: Option<SocketAddrV4>,
        list: &Candidates,
    ) -> Option<Candidate> {
        let here = here.map(|here| sweep.position(here));
        let follows =
            |member: &Candidate| here.is_none_or(|here| sweep.position(member.address) > here);
        let members = self.members.iter().map(|member| member.candidate);
        let left = members.filter(|m| follows(m) && !is_listed(list, m.address));
        let next = left.min_by_key(|member| sweep.position(member.address))?;
        (sweep.visits < self.settings.max_visits).then_some(next)
    }

    fn reachability(&self, member: SocketAddrV4, now: Instant) -> Reachability {
        let (interval, fanout) = (self.settings.load_interval, self.settings.load_fanout);
        self.siblings.reachability(member, interval, fanout, now)
    }

    /// Whether the backend server is certain not to have a flow that is not tracked here.
    fn rules_out(&self, now: Instant, flow: &Flow) -> bool {
        let since_start = |backend: Backend| !backend.predates_agent;
        let knows_all = self
            .backend
            .is_some_and(|backend| since_start(backend) || !self.may_have_unknown_flows(now));
        // The backend server answered a copy of the flow's SYN with other sequence numbers, so that
        // its flow isn't the one of this packet.
        let copy = self
            .flows
            .get(flow)
            .is_some_and(|state| state.initial_seq.is_some());
        knows_all || copy || self.offers.was_returned(flow)
    }
}

fn is_listed(list: &Candidates, member: SocketAddrV4) -> bool {
    list.iter().any(|listed| listed.address == member)
}
