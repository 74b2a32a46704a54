//! Packet loop of an agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use forwarding::{Action, Backend, DropReason, Event, Forwarder, Reason};
use rpc::Key;
use slog::{info, warn};
use startup::Rank;
use tokio::io::Interest;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};
use units::{DataCentre, Flow, ServiceId};
use watcher::View;
use wire::{Candidate, Codec, Header, MAX_DATAGRAM, Message, Notice, Outbound};

use super::Shared;
use super::outcome::Outcome;
use crate::tally::Tally;

/// Datagrams handled before other tasks get a turn.
const BATCH: usize = 64;

/// The backend server changed, or this agent stops; answered once the packet loop knows.
#[derive(Debug)]
pub(super) struct Change {
    pub(super) leaves: bool,
    pub(super) done: oneshot::Sender<()>,
}

pub(super) struct Packets {
    pub(super) codec: Codec,
    pub(super) key: Key,
    pub(super) me: Candidate,
    pub(super) centre: DataCentre,
    pub(super) packets: UdpSocket,
    pub(super) outbound: UdpSocket,
    pub(super) backend: SocketAddr,
    pub(super) callers: u16,
    pub(super) forwarder: Forwarder,
    pub(super) shared: Arc<Shared>,
    pub(super) service: Option<ServiceId>,
    /// The backend server as the decisions know it.
    pub(super) known: Option<Backend>,
    /// Whether the backend server left a SYN unanswered, as logged.
    pub(super) silent: bool,
    /// Whether the backend server failed requests when last looked at.
    pub(super) failing: bool,
    pub(super) tally: Tally<Outcome>,
}

/// Where a datagram goes out.
#[derive(Debug, Clone, Copy)]
enum Side {
    /// To callers, balancers and agents.
    Fabric,
    /// To the backend server.
    Backend,
}

/// Buffers of the loop.
struct Buffers {
    datagram: [u8; MAX_DATAGRAM + 1],
    actions: Vec<Action>,
    out: Vec<u8>,
}

impl Packets {
    /// Handles packets, views and changes of the backend server until the task is dropped.
    pub(super) async fn run(
        mut self,
        mut views: watch::Receiver<Arc<View>>,
        mut changes: mpsc::Receiver<Change>,
    ) {
        let mut buffers = Buffers {
            datagram: [0; MAX_DATAGRAM + 1],
            actions: Vec::new(),
            out: Vec::with_capacity(MAX_DATAGRAM),
        };
        loop {
            let since = Instant::now();
            let lost = self.shared.reports().deadline();
            let lost = lost.filter(|at| *at > since);
            let tick = self.forwarder.deadline();
            let due = lost.map_or(tick, |lost| lost.min(tick));
            tokio::select! {
                _ = self.outbound.ready(Interest::READABLE) => {}
                _ = self.packets.ready(Interest::READABLE) => {}
                Some(change) = changes.recv() => self.change(change, &mut buffers),
                // The watcher only ends with the process.
                _ = views.changed() => views.mark_changed(),
                () = sleep_until(due) => self.expire_backend(&mut buffers),
            }
            self.tally.woke(since, due);
            // Looked at in every round, so that no flood of packets keeps them waiting.
            while let Ok(change) = changes.try_recv() {
                self.change(change, &mut buffers);
            }
            if views.has_changed().unwrap_or(false) {
                let view = Arc::clone(&views.borrow_and_update());
                self.update(&view, &mut buffers);
            }
            // Answers first: a SYN whose answer waits is not unanswered.
            self.receive_outbound(&mut buffers);
            self.receive_packets(&mut buffers);
            if self.forwarder.deadline() <= Instant::now() {
                self.event(Event::Tick, &mut buffers);
            }
            self.measure();
            tokio::task::yield_now().await;
        }
    }

    fn receive_outbound(&mut self, buffers: &mut Buffers) {
        for _ in 0..BATCH {
            // Anything but a datagram ends the batch; the next wait reports lasting trouble.
            let Ok((length, _)) = self.outbound.try_recv_from(&mut buffers.datagram) else {
                return;
            };
            let now = Instant::now();
            let (packet, _) = buffers.datagram.split_at_mut(length);
            let actions = &mut buffers.actions;
            let segment = match (self.codec.outbound)(packet) {
                Ok(Outbound::Reply(segment)) => {
                    self.forwarder
                        .handle(now, Event::Outbound(&segment), actions);
                    if segment.rst {
                        self.ended(segment.flow);
                    }
                    segment
                }
                Ok(Outbound::Returned(segment)) => {
                    (self.codec.restore)(packet);
                    self.forwarder
                        .handle(now, Event::Returned(&segment), actions);
                    segment
                }
                Err(reason) => {
                    self.tally.count(Outcome::Invalid(reason));
                    if let Some(log) = self.tally.line(Rank::Unusual, now) {
                        warn!(log, "invalid packet of the backend server"; "reason" => %reason);
                    }
                    continue;
                }
            };
            for action in buffers.actions.drain(..) {
                self.act(action, packet, segment.flow, &mut buffers.out);
            }
        }
    }

    fn receive_packets(&mut self, buffers: &mut Buffers) {
        for _ in 0..BATCH {
            let Ok((length, from)) = self.packets.try_recv_from(&mut buffers.datagram) else {
                return;
            };
            let now = Instant::now();
            match wire::decode(&self.key, &buffers.datagram[..length]) {
                Ok(Message::Notice(notice)) => {
                    self.tally.count(Outcome::Notice);
                    let event = Event::Notice(&notice);
                    self.forwarder.handle(now, event, &mut buffers.actions);
                }
                Ok(Message::Packet { header, inner }) => match (self.codec.inbound)(inner) {
                    Ok(segment) => {
                        let event = Event::Packet {
                            header: &header,
                            segment: &segment,
                            inner,
                        };
                        self.forwarder.handle(now, event, &mut buffers.actions);
                        for action in buffers.actions.drain(..) {
                            self.act(action, inner, segment.flow, &mut buffers.out);
                        }
                    }
                    Err(reason) => {
                        self.tally.count(Outcome::Invalid(reason));
                        if let Some(log) = self.tally.line(Rank::Unusual, now) {
                            warn!(log, "invalid packet"; "reason" => %reason);
                        }
                    }
                },
                Err(error) => {
                    self.tally.count(Outcome::Foreign);
                    if let Some(log) = self.tally.line(Rank::Unusual, now) {
                        warn!(log, "invalid datagram"; "from" => %from, "error" => %error);
                    }
                }
            }
        }
    }

    /// Handles an event that concerns no packet.
    fn event(&mut self, event: Event<'_>, buffers: &mut Buffers) {
        self.forwarder
            .handle(Instant::now(), event, &mut buffers.actions);
        for action in std::mem::take(&mut buffers.actions) {
            match action {
                Action::Reset { flow, .. }
                | Action::Resend { flow, .. }
                | Action::Admit { flow, .. } => self.act(action, &[], flow, &mut buffers.out),
                Action::Notify { to, flows } => self.notify(to.into(), flows, &mut buffers.out),
                // The others concern a packet.
                _ => {}
            }
        }
    }

    fn act(&mut self, action: Action, packet: &[u8], flow: Flow, out: &mut Vec<u8>) {
        match action {
            Action::Deliver(reason) => {
                self.delivered(flow, reason);
                self.send(Side::Backend, packet, self.backend);
            }
            Action::Queue => self.waits(flow),
            Action::Admit {
                flow,
                inner,
                waited,
            } => {
                self.admitted(flow, waited);
                self.send(Side::Backend, &inner, self.backend);
            }
            Action::Forward(header, reason) => {
                self.passed_on(flow, &header, reason);
                self.forward(&header, packet, out);
            }
            Action::Resend { header, inner, .. } => {
                self.unanswered(flow, &header);
                self.forward(&header, &inner, out);
            }
            Action::Reply => {
                self.tally.count(Outcome::Replied);
                self.send(Side::Fabric, packet, self.caller(flow));
            }
            Action::Reset { flow, seq, reason } => {
                self.reset(flow, reason);
                (self.codec.reset)(flow, seq, out);
                self.send(Side::Fabric, out, self.caller(flow));
            }
            Action::Drop(reason) => self.dropped(flow, reason),
            Action::Notify { to, flows } => self.notify(to.into(), flows, out),
        }
    }

    fn delivered(&mut self, flow: Flow, reason: Reason) {
        self.tally.count(Outcome::Delivered(reason));
        let rank = match reason {
            Reason::Held => return,
            Reason::Offer => Rank::Unusual,
            _ => Rank::Usual,
        };
        let (load, epoch) = (self.forwarder.load(), self.forwarder.epoch());
        if let Some(log) = self.tally.line(rank, Instant::now()) {
            info!(log, "given to the backend server"; "flow" => %flow, "reason" => %reason,
                "busy" => load.busy, "slots" => load.slots, "open" => load.open, "epoch" => epoch);
        }
    }

    fn waits(&mut self, flow: Flow) {
        self.tally.count(Outcome::Held);
        let (load, waits) = (self.forwarder.load(), self.forwarder.queued_syns());
        if let Some(log) = self.tally.line(Rank::Unusual, Instant::now()) {
            info!(log, "waits for a place"; "flow" => %flow, "waiting" => waits,
                "busy" => load.busy, "slots" => load.slots);
        }
    }

    fn admitted(&mut self, flow: Flow, waited: Duration) {
        self.tally.count(Outcome::Admitted);
        self.tally.time("wait", waited);
        let waits = self.forwarder.queued_syns();
        if let Some(log) = self.tally.line(Rank::Usual, Instant::now()) {
            info!(log, "given to the backend server"; "flow" => %flow, "reason" => "waited",
                "waited_ms" => u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
                "waiting" => waits);
        }
    }

    fn passed_on(&mut self, flow: Flow, header: &Header, reason: Reason) {
        self.tally.count(Outcome::PassedOn(reason));
        let rank = match reason {
            Reason::Redirect => Rank::Usual,
            _ => Rank::Unusual,
        };
        let (load, epoch) = (self.forwarder.load(), self.forwarder.epoch());
        if let Some(log) = self.tally.line(rank, Instant::now()) {
            info!(log, "passed on"; "flow" => %flow, "reason" => %reason,
                "to" => header.target().map(|to| to.address.to_string()), "hop" => header.hop,
                "busy" => load.busy, "slots" => load.slots, "open" => load.open, "epoch" => epoch);
        }
    }

    fn unanswered(&mut self, flow: Flow, header: &Header) {
        self.tally.count(Outcome::Unanswered);
        if let Some(log) = self.tally.line(Rank::Unusual, Instant::now()) {
            info!(log, "passed on"; "flow" => %flow, "reason" => "syn_unanswered",
                "to" => header.target().map(|to| to.address.to_string()), "hop" => header.hop);
        }
    }

    fn reset(&mut self, flow: Flow, reason: Reason) {
        self.tally.count(Outcome::Reset(reason));
        let (load, epoch) = (self.forwarder.load(), self.forwarder.epoch());
        if let Some(log) = self.tally.line(Rank::Unusual, Instant::now()) {
            warn!(log, "reset"; "flow" => %flow, "reason" => %reason,
                "busy" => load.busy, "slots" => load.slots, "open" => load.open, "epoch" => epoch);
        }
    }

    fn dropped(&mut self, flow: Flow, reason: DropReason) {
        self.tally.count(Outcome::Dropped(reason));
        let epoch = self.forwarder.epoch();
        // Copies of offered packets went on before; after a restart there are thousands a second.
        let rank = match reason {
            DropReason::Stray => Rank::Usual,
            _ => Rank::Unusual,
        };
        if let Some(log) = self.tally.line(rank, Instant::now()) {
            warn!(log, "dropped"; "flow" => %flow, "reason" => %reason, "epoch" => epoch);
        }
    }

    /// Logs that the backend server reset a flow.
    fn ended(&mut self, flow: Flow) {
        self.tally.count(Outcome::Ended);
        let (load, failing) = (self.forwarder.load(), self.forwarder.is_backend_failing());
        if let Some(log) = self.tally.line(Rank::Unusual, Instant::now()) {
            warn!(log, "reset by the backend server"; "flow" => %flow, "failing" => failing,
                "busy" => load.busy, "slots" => load.slots, "open" => load.open);
        }
    }

    fn caller(&self, flow: Flow) -> SocketAddr {
        (*flow.caller.ip(), self.callers).into()
    }

    fn forward(&mut self, header: &Header, packet: &[u8], out: &mut Vec<u8>) {
        let Some(target) = header.target() else {
            return;
        };
        match wire::encode_packet(&self.key, header, packet, out) {
            Ok(()) => self.send(Side::Fabric, out, target.address.into()),
            Err(error) => self.unsent(target.address.into(), &error),
        }
    }

    fn notify(&mut self, to: SocketAddr, flows: Vec<Flow>, out: &mut Vec<u8>) {
        let Some(service) = self.service else { return };
        let notice = Notice {
            leaving: self.forwarder.is_leaving(),
            service,
            flows,
            owner: self.me,
            load: self.forwarder.advertised_load(),
        };
        match wire::encode_notice(&self.key, &notice, out) {
            Ok(()) => self.send(Side::Fabric, out, to),
            Err(error) => self.unsent(to, &error),
        }
    }

    fn send(&mut self, side: Side, datagram: &[u8], to: SocketAddr) {
        let socket = match side {
            Side::Fabric => &self.packets,
            Side::Backend => &self.outbound,
        };
        if let Err(error) = socket.try_send_to(datagram, to) {
            self.unsent(to, &error);
        }
    }

    fn unsent(&mut self, to: SocketAddr, error: &dyn std::error::Error) {
        self.tally.count(Outcome::Unsent);
        if let Some(log) = self.tally.line(Rank::Unusual, Instant::now()) {
            warn!(log, "datagram not sent"; "to" => %to, "error" => %error);
        }
    }

    /// Sends metrics, and logs when the backend server falls silent, fails or recovers.
    fn measure(&mut self) {
        self.tally.count(Outcome::Round);
        for (timing, time) in self.forwarder.drain_timings() {
            self.tally.time(&timing.to_string(), time);
        }
        let silent = self.forwarder.is_backend_unresponsive();
        if silent != self.silent {
            self.silent = silent;
            if silent {
                warn!(
                    self.tally.log,
                    "the backend server left a SYN unanswered; it gets no new flows"
                );
            } else {
                info!(self.tally.log, "the backend server is heard again");
            }
        }
        let failing = self.forwarder.is_backend_failing();
        if failing != self.failing {
            self.failing = failing;
            if failing {
                warn!(
                    self.tally.log,
                    "the backend server ends requests without an answer; it gets few new flows"
                );
            } else {
                info!(self.tally.log, "the backend server answers requests again");
            }
        }
        let forwarder = &self.forwarder;
        self.tally.send(Instant::now(), || {
            let load = forwarder.load();
            [
                ("open", load.open.into()),
                ("busy", load.busy.into()),
                ("held", forwarder.flow_count() as u64),
                ("failing", forwarder.is_backend_failing().into()),
                ("waiting", forwarder.queued_syns() as u64),
                ("redirects", forwarder.redirect_count() as u64),
                ("epoch", forwarder.epoch()),
            ]
        });
    }

    fn update(&mut self, view: &View, buffers: &mut Buffers) {
        let name = self.shared.reports().service().clone();
        let mut services = view.services.values();
        let Some(service) = services.find(|s| s.service.name == name) else {
            return;
        };
        self.service = Some(service.id);
        let limit = usize::try_from(service.profile.concurrency.flows).unwrap_or(usize::MAX);
        let event = Event::Service {
            id: service.id,
            centre: self.centre.clone(),
            limit,
            idle: service.profile.idle_ms.duration(),
        };
        self.event(event, buffers);
        if let Some(tables) = view.tables.get(&service.id) {
            let before = self.forwarder.epoch();
            self.event(Event::Table(&tables.current), buffers);
            let epoch = self.forwarder.epoch();
            if epoch != before {
                info!(self.tally.log, "members in force"; "epoch" => epoch,
                    "members" => tables.current.members.len(), "config" => view.config.0);
            }
        }
    }

    fn change(&mut self, change: Change, buffers: &mut Buffers) {
        if change.leaves {
            self.event(Event::Leave, buffers);
        } else {
            self.update_backend(buffers);
        }
        // The adapter may have given up on its caller.
        let _ = change.done.send(());
    }

    /// Notices that the backend server has been silent for too long.
    fn expire_backend(&mut self, buffers: &mut Buffers) {
        let backend = self.shared.reports().current(Instant::now());
        if backend.is_none() && self.known.is_some() {
            warn!(
                self.tally.log,
                "no report of the backend server in time; it gets no new flows"
            );
            self.update_backend(buffers);
        }
    }

    fn update_backend(&mut self, buffers: &mut Buffers) {
        let backend = self.shared.reports().current(Instant::now());
        self.known = backend;
        self.event(Event::Backend(backend), buffers);
    }
}
