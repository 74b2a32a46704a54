//! State of the decisions.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use api::Table;
use steering::{Centres, Owners};
use tokio::time::Instant;
use units::{DataCentre, Flow, ServiceId};
use wire::{Candidate, Load, Notice};

use crate::balance::Siblings;
use crate::failures::Failures;
use crate::held::{Held, Part};
use crate::occupancy::{Busy, Occupancy};
use crate::pending::{Offers, Waiting};
use crate::waitlist::Waitlist;
use crate::{Action, Backend, Event, ForwardSettings, Reason, Timing};

/// Service of this agent.
#[derive(Debug, Clone)]
pub(crate) struct Service {
    pub(crate) id: ServiceId,
    pub(crate) centre: DataCentre,
    pub(crate) limit: usize,
    pub(crate) idle: Duration,
}

/// Another member of the service.
#[derive(Debug, Clone)]
pub(crate) struct Other {
    pub(crate) candidate: Candidate,
    pub(crate) centre: DataCentre,
    pub(crate) takes_work: bool,
}

/// Flows held here, redirects to other owners, and what is known of the siblings.
#[derive(Debug)]
pub struct Forwarder {
    pub(crate) settings: ForwardSettings,
    pub(crate) me: Candidate,
    pub(crate) start: Instant,
    pub(crate) service: Option<Service>,
    pub(crate) backend: Option<Backend>,
    /// Whether the backend server has reported at all.
    pub(crate) reported: bool,
    /// When the backend server left a SYN unanswered, until it is heard again.
    pub(crate) silent: Option<Instant>,
    pub(crate) centres: Option<Centres>,
    /// The other members of the table, those that take no work included.
    pub(crate) members: Vec<Other>,
    pub(crate) siblings: Siblings,
    pub(crate) held: HashMap<Flow, Held>,
    /// Flows that are open here.
    pub(crate) open: u32,
    pub(crate) occupancy: Occupancy,
    pub(crate) failures: Failures,
    pub(crate) redirects: Owners<Candidate>,
    pub(crate) offers: Offers,
    pub(crate) waiting: Waiting,
    /// SYNs for which the backend server has no place yet.
    pub(crate) waitlist: Waitlist,
    /// Slots kept for requests, in the order in which they are given back.
    pub(crate) reserved: Waiting,
    /// Registrations to repeat, by time.
    pub(crate) repeats: BTreeSet<(Instant, Flow)>,
    /// Times since the last call of [`Forwarder::drain_timings`].
    pub(crate) times: Vec<(Timing, Duration)>,
    /// Whether this agent is about to stop.
    pub(crate) leaving: bool,
    pub(crate) load_at: Instant,
    pub(crate) sweep_at: Instant,
}

impl Forwarder {
    /// State of an agent that just started.
    #[must_use]
    pub fn new(settings: ForwardSettings, me: Candidate, now: Instant) -> Self {
        Self {
            me,
            start: now,
            service: None,
            backend: None,
            reported: false,
            silent: None,
            centres: None,
            members: Vec::new(),
            siblings: Siblings::default(),
            held: HashMap::new(),
            open: 0,
            occupancy: Occupancy::default(),
            failures: Failures::default(),
            redirects: Owners::new(settings.max_redirects, settings.redirect_ttl),
            offers: Offers::new(settings.max_returned_flows),
            waiting: Waiting::new(),
            waitlist: Waitlist::default(),
            reserved: Waiting::new(),
            repeats: BTreeSet::new(),
            times: Vec::new(),
            leaving: false,
            load_at: now,
            sweep_at: now,
            settings,
        }
    }

    /// Decides; appends what to do to `out`.
    ///
    /// A packet yields exactly one action that concerns it.
    pub fn handle(&mut self, now: Instant, event: Event<'_>, out: &mut Vec<Action>) {
        match event {
            Event::Packet {
                header,
                segment,
                inner,
            } => self.packet(now, header, segment, inner, out),
            Event::Outbound(segment) => self.outbound(now, segment, out),
            Event::Returned(segment) => self.returned(now, segment, out),
            Event::Notice(notice) => self.notice(now, notice),
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
            Event::Table(table) => self.table(now, table, out),
            Event::Backend(backend) => self.change_backend(now, backend, out),
            Event::Leave => {
                self.leaving = true;
                self.tell_all(out);
            }
            Event::Tick => self.tick(now, out),
        }
        self.admit(now, out);
    }

    /// When the next [`Event::Tick`] is due.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        let waiting = self.waiting.front().map(|(at, _)| *at);
        let reserved = self.reserved.front().map(|(at, _)| *at);
        let repeat = self.repeats.first().map(|(at, _)| *at);
        let given_up = self.waitlist.deadline();
        let periodic = self.load_at.min(self.sweep_at);
        [waiting, reserved, repeat, given_up]
            .into_iter()
            .flatten()
            .fold(periodic, Instant::min)
    }

    /// Load of the backend server; without slots while it takes no new flows.
    #[must_use]
    pub fn load(&self) -> Load {
        let slots = self.backend.map_or(0, |backend| backend.slots);
        let waiting = u16::try_from(self.waitlist.len()).unwrap_or(u16::MAX);
        Load {
            busy: self.occupancy.slots().saturating_add(waiting),
            slots: if self.can_accept() { slots } else { 0 },
            open: self.open,
        }
    }

    /// Load as other agents are to see it: a failing backend server is the heaviest.
    #[must_use]
    pub fn offered_load(&self) -> Load {
        let load = self.load();
        let busy = if self.is_backend_failing() {
            u16::MAX
        } else {
            load.busy
        };
        Load { busy, ..load }
    }

    /// Takes what was timed since the last call.
    pub fn drain_timings(&mut self) -> std::vec::Drain<'_, (Timing, Duration)> {
        self.times.drain(..)
    }

    /// Whether the backend server left a SYN unanswered and was not heard since.
    #[must_use]
    pub fn is_backend_unresponsive(&self) -> bool {
        self.silent.is_some()
    }

    /// Whether this agent is about to stop, so that notices say so.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether the backend server ends many requests without an answer.
    #[must_use]
    pub fn is_backend_failing(&self) -> bool {
        self.failures.is_failing()
    }

    /// Flows held here, ended ones included.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.held.len()
    }

    /// SYNs that wait for a place at the backend server.
    #[must_use]
    pub fn queued_syns(&self) -> usize {
        self.waitlist.len()
    }

    /// Redirects known.
    #[must_use]
    pub fn redirect_count(&self) -> usize {
        self.redirects.len()
    }

    /// Version of the table in force; 0 before the first.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.centres.as_ref().map_or(0, |centres| centres.epoch.0)
    }

    /// Whether new flows may be given to the backend server.
    pub(crate) fn can_accept(&self) -> bool {
        let limit = self.service.as_ref().map_or(0, |service| service.limit);
        self.backend.is_some_and(|backend| backend.accepting)
            && self.silent.is_none()
            && (self.open as usize) < limit
    }

    fn table(&mut self, now: Instant, table: &Arc<Table>, out: &mut Vec<Action>) {
        let ours = self.service.as_ref().is_some_and(|s| s.id == table.service);
        if !ours || table.epoch.0 <= self.epoch() {
            return;
        }
        let first = self.centres.is_none();
        let centres = Centres::new(table);
        let me = self.me.address;
        let others = table.members.iter().filter(|m| m.packets != me);
        self.members = others
            .map(|member| Other {
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
            // Siblings may pass over this address because the process before said that it stops.
            self.tell_all(out);
        }
        self.register_moved(now, out);
    }

    fn change_backend(&mut self, now: Instant, backend: Option<Backend>, out: &mut Vec<Action>) {
        self.silent = None;
        self.reported |= backend.is_some();
        let before = self.backend.map(|backend| backend.incarnation);
        self.backend = backend;
        if backend.is_none_or(|backend| !backend.accepting) {
            self.turn_away(now, out);
        }
        let Some(backend) = backend else { return };
        if before.is_some_and(|before| before != backend.incarnation) {
            self.reset_lost(now, backend.started, out);
        }
    }

    /// The backend server started anew: resets the flows that it held before. Those that opened
    /// since then, before it reported for the first time, live.
    fn reset_lost(&mut self, now: Instant, started: Instant, out: &mut Vec<Action>) {
        self.offers.clear();
        self.failures = Failures::default();
        let lost = self.held.iter().filter(|(_, held)| held.opened < started);
        let mut lost: Vec<_> = lost.map(|(flow, _)| *flow).collect();
        // The map's order is random.
        lost.sort_unstable();
        for flow in lost {
            let Some(held) = self.release(&flow) else {
                continue;
            };
            if held.established && held.ended.is_none() {
                self.offers.note_returned(flow, now);
                out.push(Action::Reset {
                    flow,
                    seq: held.acked,
                    reason: Reason::Restarted,
                });
            }
        }
    }

    fn notice(&mut self, now: Instant, notice: &Notice) {
        let ours = self
            .service
            .as_ref()
            .is_some_and(|s| s.id == notice.service);
        let address = notice.owner.address;
        if !ours || address == self.me.address {
            return;
        }
        if notice.leaving {
            self.siblings.leave(&notice.owner, now);
        } else {
            self.siblings.set(&notice.owner, notice.load, now);
        }
        for flow in &notice.flows {
            if !self.held.get(flow).is_some_and(|held| held.established) {
                self.redirects.put(*flow, notice.owner, now);
            }
        }
    }

    /// Notes what a flow does with the backend server.
    pub(crate) fn begin(&mut self, flow: &Flow, busy: Busy) {
        if let Some(held) = self.held.get_mut(flow) {
            let before = held.busy.replace(busy);
            self.occupancy.change(before, Some(busy));
        }
    }

    /// Notes that a flow has no request in progress.
    pub(crate) fn finish(&mut self, flow: &Flow) {
        if let Some(held) = self.held.get_mut(flow) {
            let before = held.busy.take();
            self.occupancy.change(before, None);
        }
    }

    /// Notes that a part of a request arrived.
    pub(crate) fn progress(&mut self, now: Instant, flow: &Flow, part: Part) {
        let Some(held) = self.held.get_mut(flow) else {
            return;
        };
        let next = match (held.busy, part) {
            (Some(Busy::Receiving(_)), Part::Full) => return,
            (Some(Busy::Receiving(since)), Part::Last) => {
                let time = now.saturating_duration_since(since);
                held.long = true;
                self.occupancy.received(time);
                Busy::Working(now)
            }
            (Some(Busy::Working(_)), Part::Last) => return,
            (_, Part::Full) => Busy::Receiving(now),
            (_, Part::Last) => Busy::Working(now),
        };
        self.begin(flow, next);
    }

    /// Holds a flow from now on.
    pub(crate) fn hold(&mut self, flow: Flow, now: Instant) -> &mut Held {
        self.redirects.remove(&flow);
        self.offers.forget(&flow);
        if let std::collections::hash_map::Entry::Vacant(place) = self.held.entry(flow) {
            place.insert(Held::new(now));
            self.open += 1;
        }
        self.held.entry(flow).or_insert_with(|| Held::new(now))
    }

    /// Forgets a flow.
    pub(crate) fn release(&mut self, flow: &Flow) -> Option<Held> {
        self.finish(flow);
        let held = self.held.remove(flow)?;
        if held.ended.is_none() {
            self.open = self.open.saturating_sub(1);
        }
        Some(held)
    }

    /// Counts a flow that just ended.
    pub(crate) fn note_ended(&mut self, flow: &Flow, before: bool) {
        let ended = self.held.get(flow).is_some_and(|held| held.ended.is_some());
        if ended && !before {
            self.open = self.open.saturating_sub(1);
            self.finish(flow);
        }
    }
}
