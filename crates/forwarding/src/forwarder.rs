//! State of an agent's forwarding decisions.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use api::Table;
use steering::{CentreRanker, OwnerCache};
use tokio::time::Instant;
use units::{DataCentre, Flow, ServiceId};
use wire::{Candidate, Load, Notice};

use crate::admission::AdmissionQueue;
use crate::failures::FailureRate;
use crate::flow::{FlowState, RequestPart};
use crate::occupancy::{Occupancy, RequestState};
use crate::pending::{FlowDeadlines, Offers};
use crate::siblings::Siblings;
use crate::{Action, Backend, Event, ForwardSettings, Reason, Timing};

/// Settings of the service of this agent.
#[derive(Debug, Clone)]
pub(crate) struct Service {
    pub(crate) id: ServiceId,
    pub(crate) centre: DataCentre,
    pub(crate) limit: usize,
    pub(crate) idle: Duration,
}

/// Another member of the service.
#[derive(Debug, Clone)]
pub(crate) struct Member {
    pub(crate) candidate: Candidate,
    pub(crate) centre: DataCentre,
    pub(crate) takes_work: bool,
}

/// Decides where packets go, based on the flows of the backend server, redirects to the owners of
/// other flows, and the load of the siblings.
#[derive(Debug)]
pub struct Forwarder {
    pub(crate) settings: ForwardSettings,
    pub(crate) local: Candidate,
    pub(crate) started_at: Instant,
    pub(crate) service: Option<Service>,
    pub(crate) backend: Option<Backend>,
    /// Whether the backend server has reported since this agent started.
    pub(crate) backend_reported: bool,
    /// When the backend server left a SYN unanswered; `None` after any later packet or report of
    /// it.
    pub(crate) unresponsive_since: Option<Instant>,
    pub(crate) centres: Option<CentreRanker>,
    /// The other members of the table, including those that accept no new flows.
    pub(crate) members: Vec<Member>,
    pub(crate) siblings: Siblings,
    pub(crate) flows: HashMap<Flow, FlowState>,
    /// Number of entries in `flows` that have not ended.
    pub(crate) open_flows: u32,
    pub(crate) occupancy: Occupancy,
    pub(crate) failure_rate: FailureRate,
    pub(crate) redirects: OwnerCache<Candidate>,
    pub(crate) offers: Offers,
    pub(crate) syn_deadlines: FlowDeadlines,
    /// SYNs that wait until the backend server has capacity.
    pub(crate) admission_queue: AdmissionQueue,
    /// Slots reserved for expected requests, in the order in which the reservations expire.
    pub(crate) reservation_deadlines: FlowDeadlines,
    /// Registrations to send again, by due time.
    pub(crate) registration_retries: BTreeSet<(Instant, Flow)>,
    /// Latencies measured since the last call of [`Forwarder::drain_timings`].
    pub(crate) timings: Vec<(Timing, Duration)>,
    /// Whether this agent is shutting down.
    pub(crate) leaving: bool,
    /// When the load is next sent to the siblings.
    pub(crate) next_notice: Instant,
    /// When expired flows are next searched for.
    pub(crate) next_scan: Instant,
}

impl Forwarder {
    /// Creates the state of an agent that started at `now`.
    #[must_use]
    pub fn new(settings: ForwardSettings, local: Candidate, now: Instant) -> Self {
        Self {
            local,
            started_at: now,
            service: None,
            backend: None,
            backend_reported: false,
            unresponsive_since: None,
            centres: None,
            members: Vec::new(),
            siblings: Siblings::default(),
            flows: HashMap::new(),
            open_flows: 0,
            occupancy: Occupancy::default(),
            failure_rate: FailureRate::default(),
            redirects: OwnerCache::new(settings.max_redirects, settings.redirect_ttl),
            offers: Offers::new(settings.max_returned),
            syn_deadlines: FlowDeadlines::new(),
            admission_queue: AdmissionQueue::default(),
            reservation_deadlines: FlowDeadlines::new(),
            registration_retries: BTreeSet::new(),
            timings: Vec::new(),
            leaving: false,
            next_notice: now,
            next_scan: now,
            settings,
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    ///
    /// A packet event yields exactly one action for its packet, which comes first.
    pub fn handle(&mut self, now: Instant, event: Event<'_>, out: &mut Vec<Action>) {
        match event {
            Event::Packet {
                header,
                segment,
                inner,
            } => self.handle_packet(now, header, segment, inner, out),
            Event::Outbound(segment) => self.handle_outbound(now, segment, out),
            Event::Returned(segment) => self.handle_returned(now, segment, out),
            Event::Notice(notice) => self.handle_notice(now, notice),
            Event::Service {
                id,
                centre,
                limit,
                idle,
            } => {
                self.service = Some(Service {
                    id,
                    centre,
                    limit,
                    idle,
                });
            }
            Event::Table(table) => self.update_table(now, table, out),
            Event::Backend(backend) => self.update_backend(now, backend, out),
            Event::Leave => {
                self.leaving = true;
                self.notify_all_siblings(out);
            }
            Event::Tick => self.handle_tick(now, out),
        }
        self.admit_queued(now, out);
    }

    /// When the next [`Event::Tick`] is due.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        let syn = self.syn_deadlines.front().map(|(at, _)| *at);
        let reservation = self.reservation_deadlines.front().map(|(at, _)| *at);
        let registration = self.registration_retries.first().map(|(at, _)| *at);
        let queued = self.admission_queue.deadline();
        let periodic = self.next_notice.min(self.next_scan);
        [syn, reservation, registration, queued]
            .into_iter()
            .flatten()
            .fold(periodic, Instant::min)
    }

    /// Load of the backend server; `slots` is 0 while it accepts no new flows.
    #[must_use]
    pub fn load(&self) -> Load {
        let slots = self.backend.map_or(0, |backend| backend.slots);
        let queued = u16::try_from(self.admission_queue.len()).unwrap_or(u16::MAX);
        Load {
            busy: self.occupancy.slots_in_use().saturating_add(queued),
            slots: if self.can_accept() { slots } else { 0 },
            open: self.open_flows,
        }
    }

    /// Load as reported to other agents: a failing backend server reports the highest load.
    #[must_use]
    pub fn advertised_load(&self) -> Load {
        let load = self.load();
        let busy = if self.is_backend_failing() {
            u16::MAX
        } else {
            load.busy
        };
        Load { busy, ..load }
    }

    /// Removes and returns the latencies measured since the last call.
    pub fn drain_timings(&mut self) -> std::vec::Drain<'_, (Timing, Duration)> {
        self.timings.drain(..)
    }

    /// Whether the backend server left a SYN unanswered and has sent nothing since.
    #[must_use]
    pub fn is_backend_unresponsive(&self) -> bool {
        self.unresponsive_since.is_some()
    }

    /// Whether this agent is shutting down; its notices announce it.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether the backend server resets many requests instead of answering them.
    #[must_use]
    pub fn is_backend_failing(&self) -> bool {
        self.failure_rate.is_failing()
    }

    /// Number of tracked flows, including ended ones that have not expired.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Number of SYNs in the admission queue.
    #[must_use]
    pub fn queued_syns(&self) -> usize {
        self.admission_queue.len()
    }

    /// Number of known redirects.
    #[must_use]
    pub fn redirect_count(&self) -> usize {
        self.redirects.len()
    }

    /// Epoch of the current table; 0 before the first one.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.centres.as_ref().map_or(0, |centres| centres.epoch.0)
    }

    /// Whether new flows may be delivered to the backend server.
    pub(crate) fn can_accept(&self) -> bool {
        let limit = self.service.as_ref().map_or(0, |service| service.limit);
        self.backend.is_some_and(|backend| backend.accepting)
            && self.unresponsive_since.is_none()
            && (self.open_flows as usize) < limit
    }

    fn update_table(&mut self, now: Instant, table: &Arc<Table>, out: &mut Vec<Action>) {
        let ours = self.service.as_ref().is_some_and(|s| s.id == table.service);
        if !ours || table.epoch.0 <= self.epoch() {
            return;
        }
        let first = self.centres.is_none();
        let centres = CentreRanker::new(table);
        let local = self.local.address;
        let others = table.members.iter().filter(|m| m.packets != local);
        self.members = others
            .map(|member| Member {
                candidate: Candidate {
                    address: member.packets,
                    incarnation: member.incarnation,
                },
                centre: member.centre.clone(),
                takes_work: member.state.takes_work(),
            })
            .collect();
        self.siblings.update(self.members.iter(), now);
        self.centres = Some(centres);
        if first {
            // Siblings may skip this address because the previous process announced its shutdown.
            self.notify_all_siblings(out);
        }
        self.register_moved(now, out);
    }

    fn update_backend(&mut self, now: Instant, backend: Option<Backend>, out: &mut Vec<Action>) {
        self.unresponsive_since = None;
        self.backend_reported |= backend.is_some();
        let before = self.backend.map(|backend| backend.incarnation);
        self.backend = backend;
        if backend.is_none_or(|backend| !backend.accepting) {
            self.reroute_queued(now, out);
        }
        let Some(backend) = backend else { return };
        if before.is_some_and(|before| before != backend.incarnation) {
            self.reset_lost_flows(now, backend.started, out);
        }
    }

    /// Resets the flows that the backend server lost in a restart. Flows that opened after the
    /// restart and before the first report of the new process are kept.
    fn reset_lost_flows(&mut self, now: Instant, started: Instant, out: &mut Vec<Action>) {
        self.offers.clear();
        self.failure_rate = FailureRate::default();
        let lost = self
            .flows
            .iter()
            .filter(|(_, state)| state.opened < started);
        let mut lost: Vec<_> = lost.map(|(flow, _)| *flow).collect();
        // Sorted because the iteration order of the map is random.
        lost.sort_unstable();
        for flow in lost {
            let Some(state) = self.remove_flow(&flow) else {
                continue;
            };
            if state.established && state.ended.is_none() {
                self.offers.record_returned(flow, now);
                out.push(Action::Reset {
                    flow,
                    seq: state.last_ack,
                    reason: Reason::Restarted,
                });
            }
        }
    }

    fn handle_notice(&mut self, now: Instant, notice: &Notice) {
        let ours = self
            .service
            .as_ref()
            .is_some_and(|s| s.id == notice.service);
        let address = notice.owner.address;
        if !ours || address == self.local.address {
            return;
        }
        if notice.leaving {
            self.siblings.record_stop(&notice.owner);
        } else {
            self.siblings.record_load(&notice.owner, notice.load, now);
        }
        for flow in &notice.flows {
            if !self.flows.get(flow).is_some_and(|state| state.established) {
                self.redirects.put(*flow, notice.owner, now);
            }
        }
    }

    /// Sets the state of a flow's current request.
    pub(crate) fn set_request_state(&mut self, flow: &Flow, next: RequestState) {
        if let Some(state) = self.flows.get_mut(flow) {
            let before = state.request.replace(next);
            self.occupancy.transition(before, Some(next));
        }
    }

    /// Records that a flow has no request in progress.
    pub(crate) fn end_request(&mut self, flow: &Flow) {
        if let Some(state) = self.flows.get_mut(flow) {
            let before = state.request.take();
            self.occupancy.transition(before, None);
        }
    }

    /// Updates the state of a flow's request for a newly arrived part.
    pub(crate) fn advance_request(&mut self, now: Instant, flow: &Flow, part: RequestPart) {
        let Some(state) = self.flows.get_mut(flow) else {
            return;
        };
        let next = match (state.request, part) {
            (Some(RequestState::Receiving(_)), RequestPart::More) => return,
            (Some(RequestState::Receiving(since)), RequestPart::Last) => {
                let time = now.saturating_duration_since(since);
                state.multi_packet = true;
                self.occupancy.record_receive(time);
                RequestState::Processing(now)
            }
            (Some(RequestState::Processing(_)), RequestPart::Last) => return,
            (_, RequestPart::More) => RequestState::Receiving(now),
            (_, RequestPart::Last) => RequestState::Processing(now),
        };
        self.set_request_state(flow, next);
    }

    /// Starts to track a flow, unless it is tracked already.
    pub(crate) fn insert_flow(&mut self, flow: Flow, now: Instant) -> &mut FlowState {
        self.redirects.remove(&flow);
        self.offers.remove(&flow);
        if let std::collections::hash_map::Entry::Vacant(entry) = self.flows.entry(flow) {
            entry.insert(FlowState::new(now));
            self.open_flows += 1;
        }
        self.flows
            .entry(flow)
            .or_insert_with(|| FlowState::new(now))
    }

    /// Stops tracking a flow.
    pub(crate) fn remove_flow(&mut self, flow: &Flow) -> Option<FlowState> {
        self.end_request(flow);
        let state = self.flows.remove(flow)?;
        if state.ended.is_none() {
            self.open_flows = self.open_flows.saturating_sub(1);
        }
        Some(state)
    }

    /// Updates the counters if a flow has ended; `was_ended` says whether it already had.
    pub(crate) fn close_if_ended(&mut self, flow: &Flow, was_ended: bool) {
        let ended = self
            .flows
            .get(flow)
            .is_some_and(|state| state.ended.is_some());
        if ended && !was_ended {
            self.open_flows = self.open_flows.saturating_sub(1);
            self.end_request(flow);
        }
    }
}
