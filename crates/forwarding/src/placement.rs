//! Placement of SYNs.

use std::time::Duration;

use tokio::time::Instant;
use units::{DataCentre, Flow};
use wire::{Candidate, Candidates, Flags, Header, Segment};

use crate::admission::QueuedSyn;
use crate::occupancy::RequestState;
use crate::pending::PendingSyn;
use crate::{Action, DropReason, Forwarder, Reason, UnplacedSyn};

/// The SYN has visited every candidate; the target accepts it unless it accepts no flows at all.
const ACCEPT_FLAGS: Flags = Flags {
    lookup: false,
    accept: true,
};

/// Returns a SYN that was not delivered to its balancer.
pub(crate) fn return_syn(syn: UnplacedSyn, reason: Reason) -> Action {
    match syn.header.hints.origin {
        Some(to) if syn.header.hints.return_unheld => Action::Unplaced { to, syn, reason },
        _ => Action::Drop(DropReason::Unreturnable),
    }
}

/// Gives up a SYN that timed out in the admission queue or was evicted from it.
pub(crate) fn give_up_queued(now: Instant, syn: QueuedSyn) -> Action {
    return_syn(syn.give_up(now), Reason::Overloaded)
}

/// Decision about a SYN.
#[expect(
    clippy::large_enum_variant,
    reason = "the value is short-lived; boxing the header would allocate for each SYN"
)]
enum Placement {
    Accept(Reason),
    /// Keep it until the backend server has capacity.
    Queue,
    Forward(Header, Reason),
    GiveUp,
}

impl Forwarder {
    pub(crate) fn place_syn(
        &mut self,
        now: Instant,
        header: &Header,
        segment: &Segment,
        inner: &[u8],
        out: &mut Vec<Action>,
    ) {
        let flow = segment.flow;
        let unplaced = || UnplacedSyn {
            flow,
            header: *header,
            inner: inner.into(),
            copy_number: segment.copy_number(),
            waited: Duration::ZERO,
        };
        if let Some(queued) = self.admission_queue.get(&flow) {
            // The balancer counts the packets that it sent; one that the network duplicated isn't another.
            let same = queued.copy_number == segment.copy_number() && queued.header == *header;
            return out.push(if same {
                Action::Queue
            } else {
                return_syn(unplaced(), Reason::Queued)
            });
        }
        self.redirects.remove(&flow);
        match self.choose_placement(now, &flow, header) {
            Placement::Accept(reason) => {
                self.accept_syn(now, header, &flow, inner);
                out.push(Action::Deliver(reason));
            }
            Placement::Queue => self.queue_syn(now, header, segment, inner, out),
            Placement::Forward(header, reason) => out.push(Action::Forward(header, reason)),
            Placement::GiveUp => out.push(self.give_up_syn(now, unplaced())),
        }
    }

    /// Gives up a SYN that no candidate accepts.
    pub(crate) fn give_up_syn(&self, now: Instant, syn: UnplacedSyn) -> Action {
        if now < self.started_at + self.settings.startup_grace {
            return Action::Drop(DropReason::Unsettled);
        }
        return_syn(syn, Reason::NoCandidate)
    }

    fn accept_syn(&mut self, now: Instant, header: &Header, flow: &Flow, inner: &[u8]) {
        let flow = *flow;
        self.remove_flow(&flow);
        let home = header.candidates.first().copied();
        let centre = home.and_then(|home| self.centre_of(home));
        let state = self.insert_flow(flow, now);
        state.home = home;
        state.centre = centre;
        state.pending_syn = Some(Box::new(PendingSyn {
            header: *header,
            inner: inner.into(),
            delivered_at: now,
        }));
        self.syn_deadlines
            .push_back((now + self.settings.syn_timeout, flow));
        // The request follows the handshake immediately, so its slot is reserved now.
        self.set_request_state(&flow, RequestState::Reserved(now));
        let wait = self.settings.reservation_timeout;
        self.reservation_deadlines.push_back((now + wait, flow));
    }

    fn choose_placement(&mut self, now: Instant, flow: &Flow, header: &Header) -> Placement {
        if header.flags.accept {
            return if self.can_accept() {
                self.accept_or_queue()
            } else {
                self.forward_to_unvisited(flow, header, Reason::NotAccepting)
            };
        }
        if !self.can_accept() {
            return self.try_next(flow, header, Reason::NotAccepting);
        }
        let load = self.advertised_load();
        let mut header = *header;
        let lighter = header
            .hints
            .least_loaded
            .is_none_or(|(_, least)| load < least);
        if lighter {
            header.hints.least_loaded = Some((header.hop, load));
        }
        if self.is_backend_failing() {
            let probes = self.load().is_free()
                && self
                    .failure_rate
                    .try_probe(now, self.settings.probe_interval);
            return if probes {
                Placement::Accept(Reason::Probe)
            } else {
                self.try_next(flow, &header, Reason::Failing)
            };
        }
        if !load.is_free() {
            return self.try_next(flow, &header, Reason::Busy);
        }
        // Only the first candidate compares loads; later ones get a SYN that another agent had a
        // reason to forward.
        if header.hop == 0
            && let Some(header) = self.less_loaded_sibling(now, &header)
        {
            return Placement::Forward(header, Reason::Unbalanced);
        }
        Placement::Accept(Reason::FreeSlot)
    }

    /// Whether the backend server has fewer requests than its limit per slot.
    fn has_capacity(&self) -> bool {
        let slots = self.backend.map_or(0, |backend| backend.slots);
        self.occupancy.slots_in_use() < slots.saturating_mul(self.settings.slot_requests)
    }

    fn accept_or_queue(&self) -> Placement {
        if self.has_capacity() {
            Placement::Accept(Reason::Lightest)
        } else {
            Placement::Queue
        }
    }

    /// Queues a SYN, and notifies the balancer, which would otherwise try another agent.
    fn queue_syn(
        &mut self,
        now: Instant,
        header: &Header,
        segment: &Segment,
        inner: &[u8],
        out: &mut Vec<Action>,
    ) {
        let flow = segment.flow;
        out.push(Action::Queue);
        self.admission_queue.push(QueuedSyn {
            flow,
            header: *header,
            inner: inner.into(),
            copy_number: segment.copy_number(),
            queued_at: now,
            deadline: now + self.queue_timeout(header),
        });
        if let Some(to) = header.hints.origin {
            let flows = vec![flow];
            out.push(Action::Notify { to, flows });
        }
        if self.admission_queue.len() > self.settings.max_queued
            && let Some(first) = self.admission_queue.pop_expiring()
        {
            out.push(give_up_queued(now, first));
        }
    }

    fn queue_timeout(&self, header: &Header) -> Duration {
        let wanted = Duration::from_millis(header.hints.latency_target_ms.into());
        let max = self.settings.queue_timeout;
        match wanted * self.settings.timeout_factor {
            Duration::ZERO => max,
            timeout => timeout.min(max),
        }
    }

    /// Delivers queued SYNs while the backend server has capacity.
    pub(crate) fn admit_queued(&mut self, now: Instant, out: &mut Vec<Action>) {
        while self.can_accept()
            && self.has_capacity()
            && let Some(syn) = self.admission_queue.pop()
        {
            let QueuedSyn {
                flow,
                header,
                inner,
                queued_at,
                ..
            } = syn;
            self.accept_syn(now, &header, &flow, &inner);
            let waited = now.saturating_duration_since(queued_at);
            out.push(Action::Admit {
                flow,
                inner,
                waited,
            });
        }
    }

    /// Forwards all queued SYNs to other agents, as the backend server accepts no new flows.
    pub(crate) fn reroute_queued(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some(syn) = self.admission_queue.pop_expiring() {
            out.push(match self.unvisited_header(&syn.flow, &syn.header) {
                Some(header) => Action::Resend {
                    header,
                    inner: syn.inner,
                    flow: syn.flow,
                },
                None => self.give_up_syn(now, syn.give_up(now)),
            });
        }
    }

    /// Header addressed to a sibling with fewer open flows, if there is one.
    fn less_loaded_sibling(&mut self, now: Instant, header: &Header) -> Option<Header> {
        let service = self.service.as_ref()?;
        let (own, ttl) = (self.load(), self.settings.load_ttl);
        let sibling = self
            .siblings
            .pick_less_loaded(own, &service.centre, ttl, now)?;
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

    /// Header addressed to the next candidate or, after the last, to the visited one with the
    /// lowest load.
    fn next_header(&self, flow: &Flow, header: &Header) -> Option<Header> {
        if header.flags.accept {
            return self.unvisited_header(flow, header);
        }
        if header.has_next() {
            return Some(header.next_hop(header.flags));
        }
        match header.hints.least_loaded {
            Some((hop, _)) if hop != header.hop => Some(header.with_hop(hop, ACCEPT_FLAGS)),
            _ => None,
        }
    }

    fn try_next(&mut self, flow: &Flow, header: &Header, reason: Reason) -> Placement {
        let lightest = header.hints.least_loaded;
        if !header.has_next() && lightest.is_some_and(|(hop, _)| hop == header.hop) {
            return self.accept_or_queue();
        }
        match self.next_header(flow, header) {
            Some(header) => Placement::Forward(header, reason),
            None => self.forward_to_unvisited(flow, header, reason),
        }
    }

    /// Forwards the SYN to a candidate that it has not visited; refuses it if there is none.
    fn forward_to_unvisited(&self, flow: &Flow, header: &Header, reason: Reason) -> Placement {
        let next = self.unvisited_header(flow, header);
        next.map_or(Placement::GiveUp, |header| {
            Placement::Forward(header, reason)
        })
    }

    /// Header addressed to a candidate that the SYN has not visited, from the list or from the
    /// table; members of the data centre in which the flow enters are preferred.
    fn unvisited_header(&self, flow: &Flow, header: &Header) -> Option<Header> {
        if header.flags.accept && header.has_next() {
            return Some(header.next_hop(ACCEPT_FLAGS));
        }
        let entry_centre = self.entry_centre(header);
        let visited = |candidate: &Candidate| {
            let mut all = header.candidates.iter();
            all.any(|known| known.address == candidate.address)
        };
        let members = self.members.iter().filter(|member| member.takes_work);
        let lacking = members.filter(|m| !visited(&m.candidate));
        let (near, far): (Vec<_>, Vec<_>) =
            lacking.partition(|m| Some(&m.centre) == entry_centre.as_ref());
        let choices = if near.is_empty() { far } else { near };
        // The hash distributes flows over the members.
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
        (header.candidates.len() > before).then(|| header.with_hop(hop, ACCEPT_FLAGS))
    }

    /// Data centre in which a flow enters: that of its home agent, which may come after a presumed
    /// owner in the list.
    fn entry_centre(&self, header: &Header) -> Option<DataCentre> {
        let home = header.home_agent();
        home.and_then(|home| self.centre_of(home))
            .or_else(|| Some(self.service.as_ref()?.centre.clone()))
    }

    /// Header for a pending SYN that the backend server returned or did not answer.
    pub(crate) fn reroute_pending(&self, flow: &Flow, pending: &PendingSyn) -> Option<Header> {
        let mut header = pending.header;
        header.hints.least_loaded = header
            .hints
            .least_loaded
            .filter(|(hop, _)| *hop != header.hop);
        self.next_header(flow, &header)
            .or_else(|| self.unvisited_header(flow, &header))
    }
}
