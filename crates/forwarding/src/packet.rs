//! Packets of callers.

use tokio::time::Instant;
use wire::{Flags, Header, Segment};

use crate::{Action, DropReason, Forwarder, Reason};

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
        self.unknown(now, header, segment, inner, may_offer, out);
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
        let known = header.hints.owner_first && header.hop == 0;
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
}
