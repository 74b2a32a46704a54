//! Rules for packets.

use steering::Ranker;
use tokio::time::Instant;
use wire::{Flags, Header, Segment};

use crate::flows::Service;
use crate::held::Held;
use crate::{Action, DropReason, Flows};

/// No candidate holds the flow; the first one that can accepts.
const ACCEPT: Flags = Flags {
    lookup: false,
    accept: true,
};

/// Every candidate declined; the first one that can accepts, even if overloaded.
const ACCEPT_ANYWAY: Flags = Flags {
    lookup: true,
    accept: true,
};

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
        let service = match self.check(header, segment) {
            Ok(service) => service,
            Err(reason) => return out.push(Action::Drop(reason)),
        };
        let flow = segment.flow;
        if let Some(held) = self.held.get_mut(&flow)
            && held.fits(segment)
        {
            out.push(Action::Process);
            if header.is_informed() && held.registered == header.candidates.first().copied() {
                held.due = None;
            }
            let interval = self.settings.notice;
            if let Some(to) = header.relay()
                && held.established
                && held.may_notify(now, to, interval)
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
            Action::Forward(header.next(header.flags))
        } else if segment.rst {
            Action::Drop(DropReason::StrayReset)
        } else if now < self.settled || self.held.contains_key(&flow) {
            // The notice about the flow may be lost, and a flow that is half-open here may be
            // established elsewhere: members beyond the list are asked before the packet is dropped.
            let header = self.extended(header, segment);
            if header.has_next() {
                Action::Forward(header.next(header.flags))
            } else {
                Action::Drop(DropReason::Unsettled)
            }
        } else if self.strays.is_lost(flow, now) {
            Action::Reset
        } else {
            Action::Drop(DropReason::Stray)
        };
        let accepted = action == Action::Accept;
        out.push(action);
        if accepted {
            self.register(now, vec![flow], out);
        }
    }

    fn check(&self, header: &Header, segment: &Segment) -> Result<Service, DropReason> {
        let service = self.service.ok_or(DropReason::NoService)?;
        if header.service != service.id {
            return Err(DropReason::OtherService);
        }
        let here = header.candidates.get(usize::from(header.hop));
        if here.is_none_or(|here| here.incarnation != self.me.incarnation) {
            return Err(DropReason::OtherIncarnation);
        }
        // Flows that were opened before the service got another address go on.
        let other = |address| segment.flow.service != address;
        if service.address.is_some_and(other) && !self.held.contains_key(&segment.flow) {
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
        let only = header.candidates.len() == 1;
        let flags = if only { ACCEPT_ANYWAY } else { header.flags };
        if flags == LOOKUP {
            return if header.has_next() {
                Action::Forward(header.next(LOOKUP))
            } else {
                Action::Forward(header.at(0, ACCEPT))
            };
        }
        let free = self.accepting && self.held.len() < service.limit;
        if free && (flags == ACCEPT_ANYWAY || !self.passes_on(now, header)) {
            self.redirects.remove(&segment.flow);
            self.strays.remove(&segment.flow);
            self.held.insert(segment.flow, Held::new());
            Action::Accept
        } else if flags == ACCEPT_ANYWAY {
            let header = self.extended(header, segment);
            if header.has_next() {
                Action::Forward(header.next(flags))
            } else {
                Action::Reset
            }
        } else if header.has_next() {
            Action::Forward(header.next(flags))
        } else {
            Action::Forward(header.at(0, ACCEPT_ANYWAY))
        }
    }

    /// Header with a member that the list lacks, while there is room: the table of the balancer or
    /// of the agents before may be older than the one here.
    fn extended(&self, header: &Header, segment: &Segment) -> Header {
        let members = self.ranker.as_ref().map_or(&[][..], Ranker::members);
        // Spreads such flows over the members.
        let start = segment.flow.hash() as usize % members.len().max(1);
        let mut others = members[start..].iter().chain(&members[..start]);
        let lacking = others.find(|m| !header.candidates.contains(&m.candidate));
        let mut candidates = header.candidates;
        if let Some(member) = lacking {
            candidates.push(member.candidate);
        }
        Header {
            candidates,
            ..*header
        }
    }

    /// Whether the first choice leaves a SYN to the second one because of its load.
    fn passes_on(&mut self, now: Instant, header: &Header) -> bool {
        let Some(second) = header.candidates.get(1).filter(|_| header.hop == 0) else {
            return false;
        };
        let Some(known) = self.members.get(second).filter(|k| k.takes_work) else {
            return false;
        };
        let weight = self
            .members
            .get(&self.me)
            .map_or(known.weight, |k| k.weight);
        let own = self.held.len() + 1;
        let exceeds = self.loads.exceeds(own, weight, *second, known.weight, now);
        if exceeds {
            self.loads.passed(*second);
        }
        exceeds
    }
}
