//! Where packets of callers go.

use std::net::SocketAddrV4;

use derive_more::Display;
use steering::OwnerCache;
use tokio::time::Instant;
use units::{DataCentre, Epoch, Flow, ServiceId, Version};
use wire::{Candidate, Candidates, Header, Hints, Notice, Segment};

use crate::directory::{self, Directory};
use crate::link::Link;
use crate::openings::{Opening, Openings};
use crate::settings::DispatchSettings;
use crate::suspects::Suspects;

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the packet of the event with this header.
    Send(Header),
    /// Send a SYN that was kept.
    Resend {
        /// Flow.
        flow: Flow,
        /// Header.
        header: Header,
        /// Packet.
        inner: Box<[u8]>,
    },
    /// Answer a SYN with a reset: no route has the address, or no agent is there.
    Refuse(DropReason),
    /// Drop the packet.
    Drop(DropReason),
}

/// Reason for refusing or dropping a packet; the name is the metric's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum DropReason {
    /// No route has the address.
    NoRoute,
    /// No agent of the route's service takes work.
    NoMember,
    /// The source is an address of a route.
    OwnSource,
    /// The link has as many bulk transfers as it can take.
    LinkFull,
}

/// OwnerCache, SYNs without one, and agents to avoid.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    /// Where notices for this balancer go.
    me: SocketAddrV4,
    centre: DataCentre,
    start: Instant,
    owners: OwnerCache<(ServiceId, Candidate)>,
    openings: Openings,
    suspects: Suspects,
    link: Link,
}

impl Dispatcher {
    /// State of a balancer that just started.
    #[must_use]
    pub fn new(
        settings: DispatchSettings,
        me: SocketAddrV4,
        centre: DataCentre,
        now: Instant,
    ) -> Self {
        Self {
            me,
            centre,
            start: now,
            owners: OwnerCache::new(settings.max_owners, settings.owner_ttl),
            openings: Openings::default(),
            suspects: Suspects::new(settings.failure_threshold, settings.avoid_duration),
            link: Link::new(settings.link.clone()),
            settings,
        }
    }

    /// Decides on a packet of a caller; appends what to do to `out`.
    ///
    /// `current` says that the directory was confirmed lately; without that no SYN is refused.
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
            out.push(match self.open(now, directory, segment, inner) {
                Ok(header) => Action::Send(header),
                Err(reason) if current && self.is_settled(now, directory, reason) => {
                    Action::Refuse(reason)
                }
                Err(reason) => Action::Drop(reason),
            });
        } else {
            self.link.follow(now, segment);
            self.follow(now, directory, &segment.flow, out);
        }
    }

    /// Whether a reason can be relied on: an empty directory knows no route, and shortly after the
    /// start not every member.
    fn is_settled(&self, now: Instant, directory: &Directory, reason: DropReason) -> bool {
        match reason {
            DropReason::NoMember => now >= self.start + self.settings.startup_grace,
            _ => directory.config_version() > Version(0),
        }
    }

    /// A notice with a valid tag.
    pub fn handle_notice(&mut self, now: Instant, notice: &Notice) {
        self.suspects.heard(notice.owner.address);
        for flow in &notice.flows {
            self.openings.remove(flow);
            self.owners.put(*flow, (notice.service, notice.owner), now);
        }
    }

    /// Sends SYNs on that are due.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some((flow, opening)) = self.openings.take_due(now) {
            if let Some(target) = opening.header.target() {
                self.suspects.failed(target.address, now);
            }
            let Opening {
                header,
                inner,
                tries,
            } = opening;
            if !header.has_next() || tries >= self.settings.max_syn_attempts {
                continue;
            }
            let header = header.next(header.flags);
            let next = Opening {
                header,
                inner: inner.clone(),
                tries: tries + 1,
            };
            self.openings
                .put(flow, next, now + self.settings.syn_timeout);
            out.push(Action::Resend {
                flow,
                header,
                inner,
            });
        }
        self.suspects.sweep(now);
    }

    /// When the next tick is due.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        self.openings.deadline()
    }

    /// OwnerCache known.
    #[must_use]
    pub fn owner_count(&self) -> usize {
        self.owners.len()
    }

    /// Bulk transfers in progress, and the most that the link takes if its rate is known.
    #[must_use]
    pub fn transfers(&self) -> (usize, Option<usize>) {
        self.link.transfers()
    }

    fn open(
        &mut self,
        now: Instant,
        directory: &Directory,
        segment: &Segment,
        inner: &[u8],
    ) -> Result<Header, DropReason> {
        let flow = segment.flow;
        let route = directory.route(flow.service).ok_or(DropReason::NoRoute)?;
        if let Some(opening) = self.openings.get(&flow) {
            return Ok(opening.header);
        }
        if !self.link.admit(now, &flow) {
            return Err(DropReason::LinkFull);
        }
        let service = directory::pick(route, &flow).ok_or(DropReason::NoMember)?;
        let steering = directory.steering(service).ok_or(DropReason::NoMember)?;
        let candidates = steering.current().syn_candidates(flow.hash(), &self.centre);
        if candidates.is_empty() {
            return Err(DropReason::NoMember);
        }
        let mut candidates = self.suspects.reorder(candidates, now);
        // A copy of a SYN goes to the agent that took it.
        if let Some((owned, owner)) = self.owners.get(&flow, now)
            && owned == service
        {
            candidates = [owner]
                .into_iter()
                .chain(candidates.iter().copied())
                .collect();
        }
        let mut header = self.header(service, steering.current().epoch, candidates);
        header.hints.priority = route.priority;
        header.hints.wanted_ms = u16::try_from(route.latency_ms.0).unwrap_or(u16::MAX);
        if self.openings.len() < self.settings.max_pending_syns {
            let opening = Opening {
                header,
                inner: inner.into(),
                tries: 1,
            };
            self.openings
                .put(flow, opening, now + self.settings.syn_timeout);
        }
        Ok(header)
    }

    /// Sends a packet of an open flow to its owner, or to the agents that may know it.
    fn follow(&mut self, now: Instant, directory: &Directory, flow: &Flow, out: &mut Vec<Action>) {
        let Some(route) = directory.route(flow.service) else {
            return out.push(Action::Drop(DropReason::NoRoute));
        };
        if let Some((service, owner)) = self.owners.get(flow, now) {
            let steering = directory.steering(service);
            let home = steering.and_then(|s| s.current().home(flow.hash(), &self.centre));
            let candidates = [owner].into_iter().chain(home).collect();
            let epoch = steering.map_or(Epoch(1), |s| s.current().epoch);
            let mut header = self.header(service, epoch, candidates);
            header.hints.owned = true;
            return out.push(Action::Send(header));
        }
        let before = out.len();
        for service in directory::holders(route, flow) {
            let Some(steering) = directory.steering(service) else {
                continue;
            };
            let candidates = steering.lookup(flow.hash(), &self.centre);
            if !candidates.is_empty() {
                let epoch = steering.current().epoch;
                out.push(Action::Send(self.header(service, epoch, candidates)));
            }
        }
        if out.len() == before {
            out.push(Action::Drop(DropReason::NoMember));
        }
    }

    fn header(&self, service: ServiceId, epoch: Epoch, candidates: Candidates) -> Header {
        Header {
            service,
            epoch,
            candidates,
            hints: Hints {
                origin: Some(self.me),
                ..Hints::default()
            },
            ..Header::default()
        }
    }
}
