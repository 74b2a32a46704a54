//! Rules for the handling of packets.

use steering::Ranker;
use tokio::time::Instant;
use units::Flow;
use wire::{Flags, Header, Segment};

use crate::flows::Service;
use crate::owned::OwnedFlow;
use crate::{Action, DropReason, Flows};

/// No candidate owns the flow; the first one that can accepts it.
const ACCEPT: Flags = Flags {
    lookup: false,
    accept: true,
};

/// Every candidate declined; the first one that can accepts the flow, even if overloaded.
const FORCE_ACCEPT: Flags = Flags {
    lookup: true,
    accept: true,
};

/// Every candidate is tried as the owner before any of them accepts.
const LOOKUP: Flags = Flags {
    lookup: true,
    accept: false,
};

impl Flows {
    pub(crate) fn packet(
        &mut self,
        now: Instant,
        header: &Header,
        segment: &Segment,
        out: &mut Vec<Action>,
    ) {
        let service = match self.validate(header, segment) {
            Ok(service) => service,
            Err(reason) => return out.push(Action::Drop(reason)),
        };
        let flow = segment.flow;
        if let Some(owned) = self.owned.get_mut(&flow)
            && owned.matches(segment)
        {
            out.push(Action::Process);
            if header.is_redirected_at_first_hop()
                && owned.registered_with == header.candidates.first().copied()
            {
                owned.retry_at = None;
            }
            let interval = self.settings.notice_interval;
            if let Some(to) = header.relay()
                && owned.established
                && owned.start_notice(now, to, interval)
            {
                let flows = vec![flow];
                out.push(Action::Notify { to, flows });
            }
            return;
        }
        if !header.is_redirected()
            && !header.flags.accept
            && let Some(owner) = self.redirects.get(&flow, now)
        {
            let flags = if segment.opens() {
                LOOKUP
            } else {
                Flags::default()
            };
            return out.push(Action::Forward(header.redirected(owner, flags)));
        }
        let action = if segment.opens() {
            self.syn(now, service, header, segment)
        } else if header.has_next() {
            Action::Forward(header.next_hop(header.flags))
        } else if segment.rst {
            Action::Drop(DropReason::StrayReset)
        } else if now < self.settled_at
            || self.owned.contains_key(&flow)
            || !self.has_table_of(header)
        {
            // The notice about the flow may be lost, a flow that is half-open here may be
            // established at another agent, and the balancer may not know the flow's agent: the
            // packet visits members that are not in the list before it is dropped.
            let header = self.with_missing_member(header, segment);
            if header.has_next() {
                Action::Forward(header.next_hop(header.flags))
            } else {
                Action::Drop(DropReason::Unsettled)
            }
        } else {
            return self.handle_stray(now, flow, out);
        };
        let accepted = action == Action::Accept;
        out.push(action);
        if accepted {
            self.register(now, vec![flow], out);
        }
    }

    /// Handles a packet of a flow that no agent in the list owns. The flow was opened under a table that
    /// was committed before, so it is reset only after a read of the view that began later.
    fn handle_stray(&mut self, now: Instant, flow: Flow, out: &mut Vec<Action>) {
        let first = self.strays.record_packet(flow, now);
        let is_read = self.read_at.is_some_and(|at| at >= first);
        if is_read && self.strays.is_due(first, now) {
            return out.push(Action::Reset);
        }
        out.push(Action::Drop(DropReason::Stray));
        if !is_read {
            out.push(Action::ReadView);
        }
    }

    /// Whether the balancer had the table of this agent; not known of redirected packets.
    fn has_table_of(&self, header: &Header) -> bool {
        let epoch = self.ranker.as_ref().map(|ranker| ranker.epoch);
        header.is_redirected() || epoch == Some(header.epoch)
    }

    fn validate(&self, header: &Header, segment: &Segment) -> Result<Service, DropReason> {
        let service = self.service.ok_or(DropReason::NoService)?;
        if header.service != service.id {
            return Err(DropReason::OtherService);
        }
        let here = header.candidates.get(usize::from(header.hop));
        if here.is_none_or(|here| here.incarnation != self.local.incarnation) {
            return Err(DropReason::OtherIncarnation);
        }
        // Flows that were opened before the service address changed are kept.
        let is_other = |address| segment.flow.service != address;
        if service.address.is_some_and(is_other) && !self.owned.contains_key(&segment.flow) {
            return Err(DropReason::OtherAddress);
        }
        Ok(service)
    }

    fn syn(
        &mut self,
        now: Instant,
        service: Service,
        header: &Header,
        segment: &Segment,
    ) -> Action {
        let is_only_candidate = header.candidates.len() == 1;
        let flags = if is_only_candidate {
            FORCE_ACCEPT
        } else {
            header.flags
        };
        if flags == LOOKUP {
            return if header.has_next() {
                Action::Forward(header.next_hop(LOOKUP))
            } else {
                Action::Forward(header.with_hop(0, ACCEPT))
            };
        }
        let can_accept = self.accepting && self.owned.len() < service.limit;
        if can_accept && (flags == FORCE_ACCEPT || !self.should_offload(now, header)) {
            self.redirects.remove(&segment.flow);
            self.strays.remove(&segment.flow);
            self.owned.insert(segment.flow, OwnedFlow::new());
            Action::Accept
        } else if flags == FORCE_ACCEPT {
            let header = self.with_missing_member(header, segment);
            if header.has_next() {
                Action::Forward(header.next_hop(flags))
            } else {
                Action::Reset
            }
        } else if header.has_next() {
            Action::Forward(header.next_hop(flags))
        } else {
            Action::Forward(header.with_hop(0, FORCE_ACCEPT))
        }
    }

    /// Header with one more member of the local table, if one is missing in the list and there is
    /// room: the balancer and the agents visited so far may have had older tables.
    fn with_missing_member(&self, header: &Header, segment: &Segment) -> Header {
        let members = self.ranker.as_ref().map_or(&[][..], Ranker::members);
        // A start by flow hash distributes these flows over the members.
        let start = segment.flow.hash() as usize % members.len().max(1);
        let mut others = members[start..].iter().chain(&members[..start]);
        let missing = others.find(|m| !header.candidates.contains(&m.candidate));
        let mut candidates = header.candidates;
        if let Some(member) = missing {
            candidates.push(member.candidate);
        }
        Header {
            candidates,
            ..*header
        }
    }

    /// Whether this agent, as the first choice, forwards a SYN to the second one because of its load.
    fn should_offload(&mut self, now: Instant, header: &Header) -> bool {
        let Some(second) = header.candidates.get(1).filter(|_| header.hop == 0) else {
            return false;
        };
        let Some(second_info) = self.members.get(second).filter(|info| info.takes_work) else {
            return false;
        };
        let weight = self
            .members
            .get(&self.local)
            .map_or(second_info.weight, |info| info.weight);
        let own = self.owned.len() + 1;
        let exceeds = self
            .loads
            .exceeds(own, weight, *second, second_info.weight, now);
        if exceeds {
            self.loads.add_forwarded(*second);
        }
        exceeds
    }
}
