//! Placement of SYNs.

use std::time::Duration;

use tokio::time::Instant;
use units::{DataCentre, Flow};
use wire::{Candidate, Candidates, Flags, Header, Segment};

use crate::occupancy::Busy;
use crate::pending::Pending;
use crate::waitlist::Waiting;
use crate::{Action, DropReason, Forwarder, Reason};

/// The SYN has visited every candidate: the one addressed accepts if it can at all.
const ACCEPT: Flags = Flags {
    lookup: false,
    accept: true,
};

/// Reset for a flow whose SYN found no place in time.
pub(crate) fn overloaded(flow: Flow) -> Action {
    Action::Reset {
        flow,
        seq: 0,
        reason: Reason::Overloaded,
    }
}

/// Where a SYN goes.
#[expect(
    clippy::large_enum_variant,
    reason = "a place lives for one packet; boxing the header would allocate for each SYN"
)]
enum Place {
    Here(Reason),
    /// Here, once there is a place.
    Wait,
    There(Header, Reason),
    Nowhere,
}

impl Forwarder {
    pub(crate) fn syn(
        &mut self,
        now: Instant,
        header: &Header,
        segment: &Segment,
        inner: &[u8],
        out: &mut Vec<Action>,
    ) {
        let flow = segment.flow;
        if self.waitlist.contains(&flow) {
            return out.push(Action::Hold);
        }
        self.redirects.remove(&flow);
        match self.place(now, &flow, header) {
            Place::Here(reason) => {
                self.accept(now, header, &flow, inner);
                out.push(Action::Deliver(reason));
            }
            Place::Wait => self.wait(now, header, flow, inner, out),
            Place::There(header, reason) => out.push(Action::Forward(header, reason)),
            Place::Nowhere => out.push(self.refuse(now, flow)),
        }
    }

    /// Refuses a SYN that no candidate took.
    pub(crate) fn refuse(&self, now: Instant, flow: Flow) -> Action {
        if now < self.start + self.settings.settle {
            return Action::Drop(DropReason::Unsettled);
        }
        Action::Reset {
            flow,
            seq: 0,
            reason: Reason::NoCandidate,
        }
    }

    fn accept(&mut self, now: Instant, header: &Header, flow: &Flow, inner: &[u8]) {
        let flow = *flow;
        self.release(&flow);
        let home = header.candidates.first().copied();
        let centre = home.and_then(|home| self.centre_of(home));
        let held = self.hold(flow, now);
        held.home = home;
        held.centre = centre;
        held.pending = Some(Box::new(Pending {
            header: *header,
            inner: inner.into(),
            at: now,
        }));
        self.waiting.push_back((now + self.settings.answer, flow));
        // The request follows the handshake at once, so the slot is taken from here on.
        self.begin(&flow, Busy::Reserved(now));
        let wait = self.settings.request_wait;
        self.reserved.push_back((now + wait, flow));
    }

    fn place(&mut self, now: Instant, flow: &Flow, header: &Header) -> Place {
        if header.flags.accept {
            return if self.accepts() {
                self.here()
            } else {
                self.further(flow, header, Reason::NotAccepting)
            };
        }
        if !self.accepts() {
            return self.onward(flow, header, Reason::NotAccepting);
        }
        let load = self.offered_load();
        let mut header = *header;
        let lighter = header
            .hints
            .least_loaded
            .is_none_or(|(_, least)| load < least);
        if lighter {
            header.hints.least_loaded = Some((header.hop, load));
        }
        if self.is_failing() {
            let probes = self.load().is_free() && self.failures.probe(now, self.settings.probe);
            return if probes {
                Place::Here(Reason::Probe)
            } else {
                self.onward(flow, &header, Reason::Failing)
            };
        }
        if !load.is_free() {
            return self.onward(flow, &header, Reason::Busy);
        }
        // A sibling that passed the SYN on had a reason; only the first candidate compares.
        if header.hop == 0
            && let Some(header) = self.unbalanced(now, &header)
        {
            return Place::There(header, Reason::Unbalanced);
        }
        Place::Here(Reason::FreeSlot)
    }

    /// Whether the backend server has fewer requests than it can serve soon.
    fn has_place(&self) -> bool {
        let slots = self.backend.map_or(0, |backend| backend.slots);
        self.occupancy.slots() < slots.saturating_mul(self.settings.depth)
    }

    fn here(&self) -> Place {
        if self.has_place() {
            Place::Here(Reason::Lightest)
        } else {
            Place::Wait
        }
    }

    /// Keeps a SYN until there is a place, and tells the balancer, which would try another agent.
    fn wait(
        &mut self,
        now: Instant,
        header: &Header,
        flow: Flow,
        inner: &[u8],
        out: &mut Vec<Action>,
    ) {
        out.push(Action::Hold);
        self.waitlist.push(Waiting {
            flow,
            header: *header,
            inner: inner.into(),
            since: now,
            due: now + self.patience(header),
        });
        if let Some(to) = header.hints.origin {
            let flows = vec![flow];
            out.push(Action::Notify { to, flows });
        }
        if self.waitlist.len() > self.settings.waiting
            && let Some(first) = self.waitlist.pop_due()
        {
            out.push(overloaded(first.flow));
        }
    }

    fn patience(&self, header: &Header) -> Duration {
        let wanted = Duration::from_millis(header.hints.latency_target_ms.into());
        let most = self.settings.most_patience;
        match wanted * self.settings.patience {
            Duration::ZERO => most,
            patience => patience.min(most),
        }
    }

    /// Gives SYNs that wait to the backend server as far as it has places.
    pub(crate) fn admit(&mut self, now: Instant, out: &mut Vec<Action>) {
        while self.accepts()
            && self.has_place()
            && let Some(waiting) = self.waitlist.pop()
        {
            let Waiting {
                flow,
                header,
                inner,
                since,
                ..
            } = waiting;
            self.accept(now, &header, &flow, &inner);
            let waited = now.saturating_duration_since(since);
            out.push(Action::Admit {
                flow,
                inner,
                waited,
            });
        }
    }

    /// Sends the SYNs that wait to other agents: the backend server takes no new flows.
    pub(crate) fn turn_away(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some(waiting) = self.waitlist.pop_due() {
            let Waiting {
                flow,
                header,
                inner,
                ..
            } = waiting;
            out.push(match self.extended(&flow, &header) {
                Some(header) => Action::Resend {
                    header,
                    inner,
                    flow,
                },
                None => self.refuse(now, flow),
            });
        }
    }

    /// Header that leads to a sibling with fewer open flows.
    fn unbalanced(&mut self, now: Instant, header: &Header) -> Option<Header> {
        let service = self.service.as_ref()?;
        let (own, ttl) = (self.load(), self.settings.load_ttl);
        let sibling = self.siblings.better(own, &service.centre, ttl, now)?;
        let here = usize::from(header.hop) + 1;
        let (visited, rest) = header
            .candidates
            .split_at(here.min(header.candidates.len()));
        let candidates: Candidates = visited
            .iter()
            .chain([&sibling])
            .chain(rest)
            .copied()
            .collect();
        let header = Header {
            candidates,
            ..*header
        };
        Some(header.next_hop(header.flags))
    }

    /// The next candidate, or the lightest one visited if there is none.
    fn onward_header(&self, flow: &Flow, header: &Header) -> Option<Header> {
        if header.flags.accept {
            return self.extended(flow, header);
        }
        if header.has_next() {
            return Some(header.next_hop(header.flags));
        }
        match header.hints.least_loaded {
            Some((hop, _)) if hop != header.hop => Some(header.with_hop(hop, ACCEPT)),
            _ => None,
        }
    }

    fn onward(&mut self, flow: &Flow, header: &Header, reason: Reason) -> Place {
        let lightest = header.hints.least_loaded;
        if !header.has_next() && lightest.is_some_and(|(hop, _)| hop == header.hop) {
            return self.here();
        }
        match self.onward_header(flow, header) {
            Some(header) => Place::There(header, reason),
            None => self.further(flow, header, reason),
        }
    }

    fn further(&self, flow: &Flow, header: &Header, reason: Reason) -> Place {
        let next = self.extended(flow, header);
        next.map_or(Place::Nowhere, |header| Place::There(header, reason))
    }

    /// Header for a candidate that the SYN has not visited, from the list or from the own table; members
    /// of the data centre where the flow entered go first.
    fn extended(&self, flow: &Flow, header: &Header) -> Option<Header> {
        if header.flags.accept && header.has_next() {
            return Some(header.next_hop(ACCEPT));
        }
        let entry = self.entry(header);
        let visited = |candidate: &Candidate| {
            let mut all = header.candidates.iter();
            all.any(|known| known.address == candidate.address)
        };
        let members = self.members.iter().filter(|member| member.takes_work);
        let lacking = members.filter(|m| !visited(&m.candidate));
        let (near, far): (Vec<_>, Vec<_>) =
            lacking.partition(|m| Some(&m.centre) == entry.as_ref());
        let choices = if near.is_empty() { far } else { near };
        // Spreads flows over the members.
        let at = flow.hash() as usize % choices.len().max(1);
        let member = choices.get(at)?;
        let mut candidates = header.candidates;
        let before = candidates.len();
        candidates.push(member.candidate);
        let hop = u8::try_from(before).ok()?;
        let header = Header {
            candidates,
            ..*header
        };
        (header.candidates.len() > before).then(|| header.with_hop(hop, ACCEPT))
    }

    /// Data centre where a flow entered: that of its home, which an owner may stand before.
    fn entry(&self, header: &Header) -> Option<DataCentre> {
        let home = header.home_agent();
        home.and_then(|home| self.centre_of(home))
            .or_else(|| Some(self.service.as_ref()?.centre.clone()))
    }

    /// Sends a kept SYN on after the backend server declined it or did not answer.
    pub(crate) fn pass_pending(&self, flow: &Flow, pending: &Pending) -> Option<Header> {
        let mut header = pending.header;
        header.hints.least_loaded = header
            .hints
            .least_loaded
            .filter(|(hop, _)| *hop != header.hop);
        self.onward_header(flow, &header)
            .or_else(|| self.extended(flow, &header))
    }
}
