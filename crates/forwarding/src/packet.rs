//! Handles packets from callers.

use tokio::time::Instant;
use wire::{Flags, Header, Segment};

use crate::{Action, DropReason, Forwarder, Reason};

impl Forwarder {
    pub(crate) fn handle_packet(
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
        // Only backend servers send SYN-ACKs; a backend server would treat this one as forged.
        if segment.syn && segment.ack {
            return out.push(Action::Drop(DropReason::WrongWay));
        }
        let flow = segment.flow;
        let matches = self.flows.get(&flow).map(|state| state.matches(segment));
        if matches == Some(true) && !self.reopens(segment) {
            out.push(Action::Deliver(Reason::Held));
            return self.track_inbound(now, header, segment, out);
        }
        if segment.opens() {
            return self.place_syn(now, header, segment, inner, out);
        }
        if !header.is_redirected()
            && let Some(owner) = self.redirects.get(&flow, now)
            && owner.address != self.local.address
        {
            let header = header.redirected(owner, Flags::default());
            return out.push(Action::Forward(header, Reason::Redirect));
        }
        // A flow that is half-open here may be established at another agent; its packets are not
        // offered to this backend server.
        let may_offer = matches.is_none();
        self.handle_unknown_flow(now, header, segment, inner, may_offer, out);
    }

    /// Whether a SYN reuses the addresses of an ended flow, or is a copy of one that was forwarded
    /// because the backend server did not answer it.
    fn reopens(&self, segment: &Segment) -> bool {
        let Some(state) = self.flows.get(&segment.flow).filter(|_| segment.opens()) else {
            return false;
        };
        let forwarded =
            state.initial_seq.is_none() && state.pending_syn.is_none() && !state.established;
        state.ended.is_some() || forwarded && self.unresponsive_since.is_some()
    }

    /// Updates the state of a tracked flow for a caller's packet.
    fn track_inbound(
        &mut self,
        now: Instant,
        header: &Header,
        segment: &Segment,
        out: &mut Vec<Action>,
    ) {
        let flow = segment.flow;
        let Some(state) = self.flows.get_mut(&flow) else {
            return;
        };
        let (was_ended, was_established) = (state.ended.is_some(), state.established);
        let part = state.inbound(now, segment, self.settings.full_segment_bytes);
        let opened = state.established && !was_established;
        let owner_known = header.hints.owner_first && header.hop == 0;
        let origin = header
            .hints
            .origin
            .filter(|_| !owner_known && !segment.opens());
        let relay = header.relay().map(|relay| relay.address);
        let established = state.established;
        let mut receivers = Vec::new();
        for to in [origin, relay.filter(|_| established)]
            .into_iter()
            .flatten()
        {
            if to != self.local.address && state.try_notify(now, to, self.settings.notice_interval)
            {
                receivers.push(to);
            }
        }
        for to in receivers {
            let flows = vec![flow];
            out.push(Action::Notify { to, flows });
        }
        if let Some(part) = part {
            self.advance_request(now, &flow, part);
        }
        self.close_if_ended(&flow, was_ended);
        if opened {
            self.register(now, &flow, out);
        }
    }
}
