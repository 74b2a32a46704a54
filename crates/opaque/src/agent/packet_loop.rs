//! Runs the packet loop of an agent.

use std::net::SocketAddr;
use std::sync::Arc;

use forwarding::{Action, Backend, Event, Forwarder, UnplacedSyn};
use rpc::Key;
use slog::{info, warn};
use startup::LinePriority;
use tokio::io::Interest;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};
use units::{DataCentre, Flow, ServiceId};
use watcher::View;
use wire::{Candidate, Codec, Header, MAX_DATAGRAM_BYTES, Message, Notice, Outbound};

use super::Shared;
use super::outcome::Outcome;
use crate::telemetry::LoopTelemetry;

/// Maximum number of datagrams handled per socket before other tasks run.
const BATCH_SIZE: usize = 64;

/// Tells the packet loop that the backend server changed or that this agent stops.
#[derive(Debug)]
pub(super) struct Change {
    /// Whether this agent stops.
    pub(super) stopping: bool,
    /// Notified once the packet loop has applied the change.
    pub(super) done: oneshot::Sender<()>,
}

/// Receives and sends the packets of an agent.
pub(super) struct PacketLoop {
    pub(super) codec: Codec,
    pub(super) key: Key,
    pub(super) this_agent: Candidate,
    pub(super) centre: DataCentre,
    /// Receives from balancers and agents; sends to agents and callers.
    pub(super) fabric_socket: UdpSocket,
    /// Receives from and sends to the backend server.
    pub(super) backend_socket: UdpSocket,
    pub(super) backend_address: SocketAddr,
    /// Port at which callers receive packets.
    pub(super) caller_port: u16,
    pub(super) forwarder: Forwarder,
    pub(super) shared: Arc<Shared>,
    pub(super) service: Option<ServiceId>,
    /// The backend server as last given to the forwarder.
    pub(super) backend: Option<Backend>,
    /// Whether the last log line says that the backend server left a SYN unanswered.
    pub(super) logged_silent: bool,
    /// Whether the last log line says that the backend server fails requests.
    pub(super) logged_failing: bool,
    pub(super) telemetry: LoopTelemetry<Outcome>,
}

/// Socket that a datagram is sent from.
#[derive(Debug, Clone, Copy)]
enum Socket {
    /// For callers, balancers and agents.
    Fabric,
    /// For the backend server.
    Backend,
}

/// Buffers reused by all iterations of the loop.
struct Buffers {
    datagram: [u8; MAX_DATAGRAM_BYTES + 1],
    actions: Vec<Action>,
    out: Vec<u8>,
}

impl PacketLoop {
    /// Handles packets, views and changes of the backend server until the task is cancelled.
    pub(super) async fn run(
        mut self,
        mut views: watch::Receiver<Arc<View>>,
        mut changes: mpsc::Receiver<Change>,
    ) {
        let mut buffers = Buffers {
            datagram: [0; MAX_DATAGRAM_BYTES + 1],
            actions: Vec::new(),
            out: Vec::with_capacity(MAX_DATAGRAM_BYTES),
        };
        loop {
            let since = Instant::now();
            let report_deadline = self.shared.backend().deadline();
            let report_deadline = report_deadline.filter(|at| *at > since);
            let tick = self.forwarder.deadline();
            let due = report_deadline.map_or(tick, |at| at.min(tick));
            tokio::select! {
                _ = self.backend_socket.ready(Interest::READABLE) => {}
                _ = self.fabric_socket.ready(Interest::READABLE) => {}
                Some(change) = changes.recv() => self.apply_change(change, &mut buffers),
                // The watcher ends only with the process.
                _ = views.changed() => views.mark_changed(),
                () = sleep_until(due) => self.expire_backend(&mut buffers),
            }
            self.telemetry.check_wakeup(since, due);
            // Checked in every iteration, so that a flood of packets can't delay changes and views.
            while let Ok(change) = changes.try_recv() {
                self.apply_change(change, &mut buffers);
            }
            if views.has_changed().unwrap_or(false) {
                let view = Arc::clone(&views.borrow_and_update());
                self.apply_view(&view, &mut buffers);
            }
            // Packets from the backend server come first, so that a SYN doesn't count as unanswered
            // while its answer is in the receive buffer.
            self.receive_from_backend(&mut buffers);
            self.receive_from_fabric(&mut buffers);
            if self.forwarder.deadline() <= Instant::now() {
                self.handle_event(Event::Tick, &mut buffers);
            }
            self.report_status();
            tokio::task::yield_now().await;
        }
    }

    fn receive_from_backend(&mut self, buffers: &mut Buffers) {
        for _ in 0..BATCH_SIZE {
            // An error ends the batch; if it persists, the next wait for readiness returns it.
            let Ok((length, _)) = self.backend_socket.try_recv_from(&mut buffers.datagram) else {
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
                        self.reset_by_backend(segment.flow);
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
                    self.telemetry.count(Outcome::Invalid(reason));
                    if let Some(log) = self.telemetry.flow_log(LinePriority::High, now) {
                        warn!(log, "invalid packet from the backend server"; "reason" => %reason);
                    }
                    continue;
                }
            };
            for action in buffers.actions.drain(..) {
                self.execute(action, packet, segment.flow, &mut buffers.out);
            }
        }
    }

    fn receive_from_fabric(&mut self, buffers: &mut Buffers) {
        for _ in 0..BATCH_SIZE {
            let Ok((length, from)) = self.fabric_socket.try_recv_from(&mut buffers.datagram) else {
                return;
            };
            let now = Instant::now();
            match wire::decode(&self.key, &buffers.datagram[..length]) {
                Ok(Message::Notice(notice)) => {
                    self.telemetry.count(Outcome::Notice);
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
                            self.execute(action, inner, segment.flow, &mut buffers.out);
                        }
                    }
                    Err(reason) => {
                        self.telemetry.count(Outcome::Invalid(reason));
                        if let Some(log) = self.telemetry.flow_log(LinePriority::High, now) {
                            warn!(log, "invalid packet"; "reason" => %reason);
                        }
                    }
                },
                Err(error) => {
                    self.telemetry.count(Outcome::InvalidDatagram);
                    if let Some(log) = self.telemetry.flow_log(LinePriority::High, now) {
                        warn!(log, "invalid datagram"; "from" => %from, "error" => %error);
                    }
                }
            }
        }
    }

    /// Handles an event other than a packet.
    fn handle_event(&mut self, event: Event<'_>, buffers: &mut Buffers) {
        self.forwarder
            .handle(Instant::now(), event, &mut buffers.actions);
        for action in std::mem::take(&mut buffers.actions) {
            match action {
                Action::Reset { flow, .. }
                | Action::Resend { flow, .. }
                | Action::Admit { flow, .. }
                | Action::Unplaced {
                    syn: UnplacedSyn { flow, .. },
                    ..
                } => self.execute(action, &[], flow, &mut buffers.out),
                Action::Notify { to, flows } => self.notify(to.into(), flows, &mut buffers.out),
                // The other actions apply only to packets.
                _ => {}
            }
        }
    }

    fn execute(&mut self, action: Action, packet: &[u8], flow: Flow, out: &mut Vec<u8>) {
        match action {
            Action::Deliver(reason) => {
                self.delivered(flow, reason);
                self.send(Socket::Backend, packet, self.backend_address);
            }
            Action::Queue => self.queued(flow),
            Action::Admit {
                flow,
                inner,
                waited,
            } => {
                self.admitted(flow, waited);
                self.send(Socket::Backend, &inner, self.backend_address);
            }
            Action::Forward(header, reason) => {
                self.passed_on(flow, &header, reason);
                self.forward(&header, packet, out);
            }
            Action::Resend { header, inner, .. } => {
                self.syn_unanswered(flow, &header);
                self.forward(&header, &inner, out);
            }
            Action::Reply => {
                self.telemetry.count(Outcome::Replied);
                self.send(Socket::Fabric, packet, self.caller(flow));
            }
            Action::Reset { flow, seq, reason } => {
                self.reset(flow, reason);
                (self.codec.reset)(flow, seq, out);
                self.send(Socket::Fabric, out, self.caller(flow));
            }
            Action::Unplaced { to, syn, reason } => {
                self.unplaced(&syn, reason);
                self.send_packet(&syn.header, &syn.inner, to.into(), out);
            }
            Action::NotHeld { to, header } => {
                self.not_held(flow, to);
                self.send_packet(&header, packet, to.into(), out);
            }
            Action::Drop(reason) => self.dropped(flow, reason),
            Action::Notify { to, flows } => self.notify(to.into(), flows, out),
        }
    }

    fn caller(&self, flow: Flow) -> SocketAddr {
        (*flow.caller.ip(), self.caller_port).into()
    }

    fn forward(&mut self, header: &Header, packet: &[u8], out: &mut Vec<u8>) {
        let Some(target) = header.target() else {
            return;
        };
        self.send_packet(header, packet, target.address.into(), out);
    }

    fn send_packet(&mut self, header: &Header, packet: &[u8], to: SocketAddr, out: &mut Vec<u8>) {
        match wire::encode_packet(&self.key, header, packet, out) {
            Ok(()) => self.send(Socket::Fabric, out, to),
            Err(error) => self.unsent(to, &error),
        }
    }

    fn notify(&mut self, to: SocketAddr, flows: Vec<Flow>, out: &mut Vec<u8>) {
        let Some(service) = self.service else { return };
        let notice = Notice {
            leaving: self.forwarder.is_leaving(),
            service,
            flows,
            owner: self.this_agent,
            load: self.forwarder.advertised_load(),
        };
        match wire::encode_notice(&self.key, &notice, out) {
            Ok(()) => self.send(Socket::Fabric, out, to),
            Err(error) => self.unsent(to, &error),
        }
    }

    fn send(&mut self, socket: Socket, datagram: &[u8], to: SocketAddr) {
        let socket = match socket {
            Socket::Fabric => &self.fabric_socket,
            Socket::Backend => &self.backend_socket,
        };
        if let Err(error) = socket.try_send_to(datagram, to) {
            self.unsent(to, &error);
        }
    }

    fn apply_view(&mut self, view: &View, buffers: &mut Buffers) {
        let name = self.shared.backend().service().clone();
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
        self.handle_event(event, buffers);
        if let Some(tables) = view.tables.get(&service.id) {
            let before = self.forwarder.epoch();
            self.handle_event(Event::Table(&tables.current), buffers);
            let epoch = self.forwarder.epoch();
            if epoch != before {
                info!(self.telemetry.log, "member table applied"; "epoch" => epoch,
                    "members" => tables.current.members.len(), "config" => view.config.0);
            }
        }
    }

    fn apply_change(&mut self, change: Change, buffers: &mut Buffers) {
        if change.stopping {
            self.handle_event(Event::Leave, buffers);
        } else {
            self.update_backend(buffers);
        }
        // The receiver is gone if the adapter cancelled the request.
        let _ = change.done.send(());
    }

    /// Applies the loss of the backend server once its last report has timed out.
    fn expire_backend(&mut self, buffers: &mut Buffers) {
        let backend = self.shared.backend().current(Instant::now());
        if backend.is_none() && self.backend.is_some() {
            warn!(
                self.telemetry.log,
                "backend server report timed out; sending it no new flows"
            );
            self.update_backend(buffers);
        }
    }

    fn update_backend(&mut self, buffers: &mut Buffers) {
        let backend = self.shared.backend().current(Instant::now());
        self.backend = backend;
        self.handle_event(Event::Backend(backend), buffers);
    }
}
