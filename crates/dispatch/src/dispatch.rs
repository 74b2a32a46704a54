//! Decides where packets of callers are sent.

use std::net::SocketAddrV4;

use derive_more::Display;
use steering::OwnerCache;
use tokio::time::Instant;
use units::{DataCentre, Epoch, Flow, ServiceId, Version};
use wire::{Candidate, Candidates, Header, Hints, Notice, Segment};

use crate::absences::Absences;
use crate::attempts::Attempts;
use crate::directory::{self, Directory};
use crate::link::LinkLimiter;
use crate::pending_syns::{PendingSyn, PendingSyns};
use crate::settings::DispatchSettings;
use crate::suspects::Suspects;

/// Action that the balancer takes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the packet with this header.
    Send(Header),
    /// Send a pending SYN to its next candidate.
    Resend {
        /// Flow that the SYN opens.
        flow: Flow,
        /// Header of the encapsulation, addressed to the next candidate.
        header: Header,
        /// SYN packet.
        inner: Box<[u8]>,
    },
    /// Answer the SYN with a reset: no copy of it was delivered, or will be.
    Refuse(DropReason),
    /// Send the packet of an open flow, which waited for a read of the view, with this header.
    Search {
        /// Flow of the packet.
        flow: Flow,
        /// Header of the encapsulation.
        header: Header,
        /// Packet of the caller.
        inner: Box<[u8]>,
    },
    /// Read the view from control, so that a later directory includes all that is committed now.
    ReadView,
    /// Send the caller a TCP reset: no service of the route has its flow.
    Reset {
        /// Flow to reset.
        flow: Flow,
        /// Sequence number, chosen so that the caller accepts the reset.
        seq: u32,
    },
    /// Drop the packet.
    Drop(DropReason),
    /// Control did not serve a read of the view in time; the packet that waited for it is dropped.
    Unread(Flow),
}

/// Reason for refusing or dropping a packet; its name is part of the metric's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum DropReason {
    /// No route has the address.
    NoRoute,
    /// No agent of the route's service takes new flows.
    NoMember,
    /// The source address belongs to a route.
    OwnSource,
    /// The link has reached its limit of bulk transfers.
    LinkFull,
    /// No agent accepts the SYN or a copy of it.
    NotPlaced,
    /// An agent gave up a SYN, but a copy of it may have opened the flow.
    MayBeOpen,
}

/// Decides on the packets that a balancer receives; keeps known owners, pending SYNs and agents to
/// avoid.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    /// Address for notices to this balancer.
    notice_address: SocketAddrV4,
    centre: DataCentre,
    started: Instant,
    owners: OwnerCache<(ServiceId, Candidate)>,
    absences: Absences,
    attempts: Attempts,
    /// Every packet that arrived before has been handled.
    drained_at: Instant,
    pending_syns: PendingSyns,
    suspects: Suspects,
    link: LinkLimiter,
}

impl Dispatcher {
    /// Creates the state of a balancer that starts now.
    #[must_use]
    pub fn new(
        settings: DispatchSettings,
        notice_address: SocketAddrV4,
        centre: DataCentre,
        now: Instant,
    ) -> Self {
        Self {
            notice_address,
            centre,
            started: now,
            owners: OwnerCache::new(settings.max_owners, settings.owner_ttl),
            absences: Absences::new(
                settings.max_absences,
                settings.absence_ttl,
                settings.read_timeout,
            ),
            attempts: Attempts::new(
                settings.max_openings,
                settings.syn_copies,
                settings.caller_round_trip,
            ),
            drained_at: now,
            pending_syns: PendingSyns::default(),
            suspects: Suspects::new(settings.failure_threshold, settings.avoid_duration),
            link: LinkLimiter::new(settings.link.clone()),
            settings,
        }
    }

    /// Records that every packet that arrived before `at` has been handled.
    pub fn record_drained(&mut self, at: Instant) {
        self.drained_at = at;
    }

    /// Handles a packet of a caller and appends the actions to `out`.
    ///
    /// `current` tells whether control confirmed the directory recently; if not, SYNs are dropped
    /// instead of refused.
    pub fn handle_packet(
        &mut self,
        now: Instant,
        directory: &Directory,
        current: bool,
        segment: &Segment,
        inner: &[u8],
        out: &mut Vec<Action>,
    ) {
        if directory.is_route_address(segment.flow.caller) {
            return out.push(Action::Drop(DropReason::OwnSource));
        }
        if segment.opens() {
            self.attempts.record_copy(now, self.drained_at, segment);
            out.push(self.handle_syn(now, directory, current, segment, inner));
        } else {
            self.link.observe(now, segment);
            self.send_to_owner(now, directory, &segment.flow, out);
        }
    }

    /// Sends a SYN to an agent, unless its attempt is given up or can't be placed.
    fn handle_syn(
        &mut self,
        now: Instant,
        directory: &Directory,
        current: bool,
        segment: &Segment,
        inner: &[u8],
    ) -> Action {
        let flow = &segment.flow;
        let refusable = self.attempts.may_refuse(now, flow);
        if refusable && self.attempts.is_given_up(flow) {
            return Action::Refuse(DropReason::NotPlaced);
        }
        match self.open(now, directory, segment, inner) {
            Ok(header) => {
                self.attempts.record_sent(flow);
                Action::Send(header)
            }
            Err(reason) if refusable && current && self.view_suffices(now, directory, reason) => {
                Action::Refuse(reason)
            }
            Err(reason) => Action::Drop(reason),
        }
    }

    /// Handles a SYN that no agent accepts. Its caller gets a reset if this holds for every copy of it.
    pub fn handle_unplaced(
        &mut self,
        now: Instant,
        header: &Header,
        segment: &Segment,
        out: &mut Vec<Action>,
    ) {
        // An agent has answered, so the next candidate isn't tried.
        self.pending_syns.remove(&segment.flow);
        let copied = header.hints.owner_uncertain;
        let known = self.attempts.record_returned(segment, copied);
        out.push(if known && self.attempts.may_refuse(now, &segment.flow) {
            Action::Refuse(DropReason::NotPlaced)
        } else {
            Action::Drop(DropReason::MayBeOpen)
        });
    }

    /// Whether the view is complete enough to refuse a SYN for `reason`. Before the first one no route is
    /// known, and shortly after the start not every member is.
    fn view_suffices(&self, now: Instant, directory: &Directory, reason: DropReason) -> bool {
        match reason {
            DropReason::NoMember => now >= self.started + self.settings.startup_grace,
            _ => directory.config_version() > Version(0),
        }
    }

    /// Handles a notice with a valid tag.
    pub fn handle_notice(&mut self, now: Instant, notice: &Notice) {
        self.suspects.clear(notice.owner.address);
        for flow in &notice.flows {
            self.pending_syns.remove(flow);
            self.absences.remove(flow);
            self.owners.put(*flow, (notice.service, notice.owner), now);
        }
    }

    /// Handles a packet that the agents of `header`'s service returned, because none of their backend
    /// servers has its flow. Once this holds for every service of the route, and a read of the view
    /// has shown that there is no other, the caller gets a reset.
    pub fn handle_not_held(
        &mut self,
        now: Instant,
        directory: &Directory,
        header: &Header,
        segment: &Segment,
        inner: &[u8],
        out: &mut Vec<Action>,
    ) {
        let flow = segment.flow;
        let Some(route) = directory.route(flow.service) else {
            return;
        };
        if let Some((_, owner)) = self.owners.get(&flow, now) {
            // An agent that redirected the packet comes before the owner.
            let assumed = header.hints.owner_first && header.candidates.contains(&owner);
            if !assumed {
                // A notice has named the owner since.
                return;
            }
            self.owners.remove(&flow);
        }
        let search = (header.service, header.epoch);
        let absence = self.absences.record(now, segment, search);
        let left = directory.unsearched(route, &flow, absence.searched());
        if !left.is_empty() {
            // Without a presumed owner, all services were searched at the same time.
            if header.hints.owner_first {
                out.extend(self.search(directory, &flow, left).map(Action::Send));
            }
            return;
        }
        if absence.is_covered_by(directory.read_at()) {
            self.absences.remove(&flow);
            let seq = segment.ack_number;
            out.push(Action::Reset { flow, seq });
        } else if self.absences.wait(now, segment, inner) {
            out.push(Action::ReadView);
        }
    }

    /// Handles a directory that includes a newer read of the view: packets that waited for it are
    /// answered with a reset, or searched for in the services that they were not searched for in yet.
    pub fn handle_read(&mut self, now: Instant, directory: &Directory, out: &mut Vec<Action>) {
        let Some(read_at) = directory.read_at() else {
            return;
        };
        for waiting in self.absences.take_read(now, read_at) {
            let flow = waiting.flow;
            let Some(route) = directory.route(flow.service) else {
                self.absences.remove(&flow);
                continue;
            };
            let left = directory.unsearched(route, &flow, &waiting.searched);
            if left.is_empty() {
                // Other packets of the flow may have waited, too.
                if self.absences.remove(&flow) {
                    let seq = waiting.ack_number;
                    out.push(Action::Reset { flow, seq });
                }
                continue;
            }
            let search = |header| Action::Search {
                flow,
                header,
                inner: waiting.inner.clone(),
            };
            out.extend(self.search(directory, &flow, left).map(search));
        }
    }

    /// Sends pending SYNs whose timeout expired to their next candidates, and drops packets that waited
    /// too long for a read of the view.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some((flow, pending)) = self.pending_syns.take_due(now) {
            if let Some(target) = pending.header.target() {
                self.suspects.record_failure(target.address, now);
            }
            let PendingSyn {
                header,
                inner,
                attempts,
            } = pending;
            if !header.has_next() || attempts >= self.settings.max_attempts {
                continue;
            }
            let header = header.next_hop(header.flags);
            self.attempts.record_sent(&flow);
            let next = PendingSyn {
                header,
                inner: inner.clone(),
                attempts: attempts + 1,
            };
            self.pending_syns
                .put(flow, next, now + self.settings.syn_timeout);
            out.push(Action::Resend {
                flow,
                header,
                inner,
            });
        }
        self.suspects.remove_expired(now);
        while let Some(flow) = self.absences.take_timed_out(now) {
            out.push(Action::Unread(flow));
        }
    }

    /// Time at which the next tick is due.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let deadlines = [self.pending_syns.deadline(), self.absences.deadline()];
        deadlines.into_iter().flatten().min()
    }

    /// Number of packets that wait for a read of the view, at most.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.absences.waiting()
    }

    /// Number of flows whose owner is known.
    #[must_use]
    pub fn owner_count(&self) -> usize {
        self.owners.len()
    }

    /// Number of bulk transfers in progress, and their limit if the link's rate is known.
    #[must_use]
    pub fn transfers(&self) -> (usize, Option<usize>) {
        self.link.transfers()
    }

    /// Chooses the candidates for a SYN and keeps it until its owner is known.
    fn open(
        &mut self,
        now: Instant,
        directory: &Directory,
        segment: &Segment,
        inner: &[u8],
    ) -> Result<Header, DropReason> {
        let flow = segment.flow;
        let route = directory.route(flow.service).ok_or(DropReason::NoRoute)?;
        if let Some(pending) = self.pending_syns.get(&flow) {
            return Ok(pending.header);
        }
        if !self.link.admit(now, &flow) {
            return Err(DropReason::LinkFull);
        }
        let service = directory::choose_service(route, &flow).ok_or(DropReason::NoMember)?;
        let steering = directory.steering(service).ok_or(DropReason::NoMember)?;
        let candidates = steering.current().syn_candidates(flow.hash(), &self.centre);
        if candidates.is_empty() {
            return Err(DropReason::NoMember);
        }
        let mut candidates = self.suspects.move_avoided_last(candidates, now);
        // A retransmitted SYN goes to the agent that accepted the flow.
        if let Some((owned, owner)) = self.owners.get(&flow, now)
            && owned == service
        {
            candidates = [owner]
                .into_iter()
                .chain(candidates.iter().copied())
                .collect();
        }
        let mut header = self.header(service, steering.current().epoch, candidates);
        header.hints.return_unheld = true;
        header.hints.priority = route.priority;
        header.hints.latency_target_ms = u16::try_from(route.latency_ms.0).unwrap_or(u16::MAX);
        if self.pending_syns.len() < self.settings.max_pending {
            let pending = PendingSyn {
                header,
                inner: inner.into(),
                attempts: 1,
            };
            self.pending_syns
                .put(flow, pending, now + self.settings.syn_timeout);
        }
        Ok(header)
    }

    /// Sends a packet of an open flow to its owner, or to the agents that may know the owner.
    fn send_to_owner(
        &mut self,
        now: Instant,
        directory: &Directory,
        flow: &Flow,
        out: &mut Vec<Action>,
    ) {
        let Some(route) = directory.route(flow.service) else {
            return out.push(Action::Drop(DropReason::NoRoute));
        };
        if let Some((service, owner)) = self.owners.get(flow, now) {
            let steering = directory.steering(service);
            let home = steering.and_then(|s| s.current().home(flow.hash(), &self.centre));
            let candidates = [owner].into_iter().chain(home).collect();
            let epoch = steering.map_or(Epoch(1), |s| s.current().epoch);
            let mut header = self.header(service, epoch, candidates);
            header.hints.owner_first = true;
            header.hints.return_unheld = true;
            return out.push(Action::Send(header));
        }
        let before = out.len();
        let services = directory::possible_services(route, flow);
        out.extend(self.search(directory, flow, services).map(Action::Send));
        if out.len() == before {
            out.push(Action::Drop(DropReason::NoMember));
        }
    }

    /// Headers with which a packet is sent to the agents of each service that may know the owner of its
    /// flow.
    fn search(
        &self,
        directory: &Directory,
        flow: &Flow,
        services: impl IntoIterator<Item = ServiceId>,
    ) -> impl Iterator<Item = Header> {
        services.into_iter().filter_map(|service| {
            let steering = directory.steering(service)?;
            let candidates = steering.lookup(flow.hash(), &self.centre);
            let mut header = self.header(service, steering.current().epoch, candidates);
            header.hints.return_unheld = true;
            (!candidates.is_empty()).then_some(header)
        })
    }

    fn header(&self, service: ServiceId, epoch: Epoch, candidates: Candidates) -> Header {
        Header {
            service,
            epoch,
            candidates,
            hints: Hints {
                origin: Some(self.notice_address),
                ..Hints::default()
            },
            ..Header::default()
        }
    }
}
