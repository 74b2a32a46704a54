//! Packets of callers.

use tokio::time::Instant;
use units::Flow;
use wire::{Flags, Header, Segment};

use crate::forwarder::Other;
use crate::{Action, DropReason, Forwarder, Reason};

/// The packet looks for its flow at agents beyond the balancer's list.
const SEARCH: Flags = Flags {
    lookup: true,
    accept: false,
};

impl Forwarder {
    pub(crate) fn packet(
        &mut self,
        now: Instant,
        header: &Header,
        segment: &Segment,
        inner: &[u8],
        out: &mut Vec<Action>,
    ) {
        let Some(service) = &self.service else {
            return out.push(Action::Drop(DropReason::NoService));
        };
        if header.service != service.id {
            return out.push(Action::Drop(DropReason::OtherService));
        }
        // Only backend servers send these; delivered to one, it would count as forged.
        if segment.syn && segment.ack {
            return out.push(Action::Drop(DropReason::WrongWay));
        }
        let flow = segment.flow;
        let fits = self.held.get(&flow).map(|held| held.fits(segment));
        if fits == Some(true) && !self.reopens(segment) {
            out.push(Action::Deliver(Reason::Held));
            return self.inbound(now, header, segment, out);
        }
        if segment.opens() {
            return self.syn(now, header, segment, inner, out);
        }
        if !header.is_redirected()
            && let Some(owner) = self.redirects.get(&flow, now)
            && owner.address != self.me.address
        {
            let header = header.redirected(owner, Flags::default());
            return out.push(Action::Forward(header, Reason::Redirect));
        }
        // A flow that is half-open here may be established at another agent.
        let may_offer = fits.is_none();
        let action = self.unknown(now, header, segment, may_offer);
        out.push(action);
    }

    /// Whether a SYN opens a new flow under the addresses of one that ended, or is a copy of one
    /// that went on because the backend server did not answer.
    fn reopens(&self, segment: &Segment) -> bool {
        let Some(held) = self.held.get(&segment.flow).filter(|_| segment.opens()) else {
            return false;
        };
        let passed = held.initial_seq.is_none() && held.pending.is_none() && !held.established;
        held.ended.is_some() || passed && self.silent.is_some()
    }

    /// Follows a packet of a flow that is held here.
    fn inbound(&mut self, now: Instant, header: &Header, segment: &Segment, out: &mut Vec<Action>) {
        let flow = segment.flow;
        let Some(held) = self.held.get_mut(&flow) else {
            return;
        };
        let (before, established) = (held.ended.is_some(), held.established);
        let part = held.inbound(now, segment, self.settings.full);
        let opened = held.established && !established;
        let known = header.hints.owned && header.hop == 0;
        let origin = header.hints.origin.filter(|_| !known && !segment.opens());
        let relay = header.relay().map(|relay| relay.address);
        let established = held.established;
        let mut receivers = Vec::new();
        for to in [origin, relay.filter(|_| established)]
            .into_iter()
            .flatten()
        {
            if to != self.me.address && held.may_notify(now, to, self.settings.notice) {
                receivers.push(to);
            }
        }
        for to in receivers {
            let flows = vec![flow];
            out.push(Action::Notify { to, flows });
        }
        if let Some(part) = part {
            self.progress(now, &flow, part);
        }
        self.note_ended(&flow, before);
        if opened {
            self.register(now, &flow, out);
        }
    }

    /// Decides on a packet of a flow that is not held here; not a SYN.
    fn unknown(
        &mut self,
        now: Instant,
        header: &Header,
        segment: &Segment,
        may_offer: bool,
    ) -> Action {
        let flow = segment.flow;
        let returned = self.offers.was_returned(&flow);
        let informed = header.is_informed() && may_offer;
        if informed && returned && !segment.rst {
            return Action::Reset {
                flow,
                seq: segment.ack_number,
                reason: Reason::Lost,
            };
        }
        let young = self.is_young(now);
        let older = self.backend.is_some_and(|backend| backend.older && young);
        let offers = informed || older && may_offer || header.hints.owned && older;
        if offers && !returned && self.backend.is_some() {
            self.offers.sent(flow, *header);
            return Action::Deliver(Reason::Offer);
        }
        self.pass(header, segment, Reason::Unknown)
    }

    /// Whether flows may be open that this agent does not know.
    fn is_young(&self, now: Instant) -> bool {
        now < self.start + self.settings.flow_age
    }

    /// Sends a packet that is not a SYN to the next candidate, then to the members that the list
    /// lacks. If every member is sure not to hold the flow, its caller gets a reset.
    pub(crate) fn pass(&self, header: &Header, segment: &Segment, reason: Reason) -> Action {
        let flow = segment.flow;
        let mut header = *header;
        header.hints.doubtful |= !self.is_sure(&flow);
        if header.has_next() {
            return Action::Forward(header.next(header.flags), reason);
        }
        if let Some(header) = self.lacking(&flow, &header, SEARCH, |_| true) {
            return Action::Forward(header, reason);
        }
        let listed = |other: &Other| header.candidates.contains(&other.candidate);
        let complete = self.members.iter().all(listed);
        if header.hints.doubtful || !complete || segment.rst {
            return Action::Drop(DropReason::Unknown);
        }
        Action::Reset {
            flow,
            seq: segment.ack_number,
            reason: Reason::NotHeld,
        }
    }

    /// Whether the backend server surely does not hold a flow that is not known here.
    fn is_sure(&self, flow: &Flow) -> bool {
        let known = self.backend.is_some_and(|backend| !backend.older);
        // A copy of the flow's SYN opened another flow there, which this packet doesn't fit.
        let copy = self.held.get(flow).is_some_and(|h| h.initial_seq.is_some());
        known || copy || self.offers.was_returned(flow)
    }
}
