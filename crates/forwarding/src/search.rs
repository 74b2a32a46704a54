//! Search of flows whose owner is not known.
//!
//! A packet visits the balancer's list, then every member in the order of
//! their addresses, beginning at the flow's home. Each visit is added to a sum,
//! so that the last agent knows whether every member was visited, however many
//! there are. Members whose process stopped a moment ago are passed over, but
//! their backend servers may hold the flow, so that such a search ends without
//! a reset.

use std::net::SocketAddrV4;

use tokio::time::Instant;
use units::Flow;
use wire::{Candidate, Candidates, Flags, Header, MAX_CANDIDATES, Segment, Sweep};

use crate::{Action, DropReason, Forwarder, Reason};

/// The packet looks for its flow at agents beyond the balancer's list.
const SEARCH: Flags = Flags {
    lookup: true,
    accept: false,
};

impl Forwarder {
    /// Decides on a packet of a flow that is not held here; not a SYN.
    pub(crate) fn unknown(
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
            return out.push(Action::Reset {
                flow,
                seq: segment.ack_number,
                reason: Reason::Lost,
            });
        }
        let young = self.is_young(now);
        let (here, older) = match self.backend {
            Some(backend) => (true, backend.older && young),
            None => (self.is_unreported(now), self.is_unreported(now)),
        };
        let named = informed || header.hints.owner_first && older;
        if returned || !here || !(named || older && may_offer) {
            return out.push(self.pass(now, header, segment, Reason::Unknown));
        }
        out.push(Action::Deliver(Reason::Offer));
        // A backend server that has not reported may not be there, so the packet goes on as well,
        // unless another agent named this one.
        if self.backend.is_some() || named {
            self.offers.sent(flow, *header);
        } else if let Action::Forward(header, _) = self.pass(now, header, segment, Reason::Unknown)
        {
            let inner = inner.into();
            out.push(Action::Resend {
                header,
                inner,
                flow,
            });
        }
    }

    /// Whether the backend server may be there although it has not reported to this agent yet.
    fn is_unreported(&self, now: Instant) -> bool {
        self.backend.is_none() && !self.reported && now < self.start + self.settings.first_report
    }

    /// Whether flows may be open that this agent does not know.
    fn is_young(&self, now: Instant) -> bool {
        now < self.start + self.settings.flow_age
    }

    /// Sends a packet that is not a SYN to the next candidate, then to every member. If each is sure
    /// not to hold the flow, its caller gets a reset.
    pub(crate) fn pass(
        &self,
        now: Instant,
        header: &Header,
        segment: &Segment,
        reason: Reason,
    ) -> Action {
        let flow = segment.flow;
        let mut header = *header;
        header.hints.owner_uncertain |= !self.is_sure(&flow);
        if !header.is_redirected() {
            header.epoch.0 = header.epoch.0.max(self.epoch());
        }
        if header.hop == 0 && !header.hints.owner_first && self.is_young(now) {
            self.widen(&mut header);
        }
        while header.hints.sweep.is_none() && header.has_next() {
            header = header.next_hop(header.flags);
            let restarting = |target: Candidate| self.siblings.is_restarting(target.address, now);
            if header.target().is_some_and(restarting) {
                header.hints.owner_uncertain = true;
                continue;
            }
            // Without its agent a backend server is out of reach, whatever it holds.
            if header
                .target()
                .is_some_and(|t| !self.is_gone(t.address, now))
            {
                return Action::Forward(header, reason);
            }
        }
        let Some(home) = header.home_agent() else {
            return Action::Drop(DropReason::Unknown);
        };
        // The balancer's list; in a sweep the member addressed stands behind it.
        let mut list = header.candidates;
        let mut sweep = match header.hints.sweep {
            Some(sweep) => {
                list.pop();
                sweep.visited(self.me.address)
            }
            None => Sweep::new(home.address),
        };
        list.truncate(MAX_CANDIDATES - 1);
        let mut here = header.hints.sweep.map(|_| self.me.address);
        while let Some(next) = self.next_in(&sweep, here, &list) {
            let restarting = self.siblings.is_restarting(next.address, now);
            header.hints.owner_uncertain |= restarting;
            if restarting || self.is_gone(next.address, now) {
                sweep = sweep.visited(next.address);
                here = Some(next.address);
                continue;
            }
            let hop = list.len();
            list.push(next);
            header.candidates = list;
            header.hints.sweep = Some(sweep);
            let hop = u8::try_from(hop).unwrap_or(u8::MAX);
            return Action::Forward(header.with_hop(hop, SEARCH), reason);
        }
        let members = self.members.iter().map(|member| member.candidate.address);
        let all = members.chain([self.me.address]);
        // An agent with an older table may lack the member that holds the flow.
        let complete = self.epoch() >= header.epoch.0
            && sweep.covers(all.filter(|member| !is_listed(&list, *member)));
        if header.hints.owner_uncertain || !complete || segment.rst {
            return Action::Drop(DropReason::Unknown);
        }
        Action::Reset {
            flow,
            seq: segment.ack_number,
            reason: Reason::NotHeld,
        }
    }

    /// Puts the members of the own data centre in front of the others: this agent is the flow's home and
    /// may have lost what the owner told it, and most owners are near.
    fn widen(&self, header: &mut Header) {
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

    /// Member that a sweep visits next.
    fn next_in(
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
        (sweep.visits < self.settings.sweep).then_some(next)
    }

    fn is_gone(&self, member: SocketAddrV4, now: Instant) -> bool {
        let (interval, fanout) = (self.settings.load_interval, self.settings.load_fanout);
        self.siblings.is_gone(member, interval, fanout, now)
    }

    /// Whether the backend server surely does not hold a flow that is not known here.
    fn is_sure(&self, flow: &Flow) -> bool {
        let known = self.backend.is_some_and(|backend| !backend.older);
        // A copy of the flow's SYN opened another flow there, which this packet doesn't fit.
        let copy = self.held.get(flow).is_some_and(|h| h.initial_seq.is_some());
        known || copy || self.offers.was_returned(flow)
    }
}

fn is_listed(list: &Candidates, member: SocketAddrV4) -> bool {
    list.iter().any(|listed| listed.address == member)
}
