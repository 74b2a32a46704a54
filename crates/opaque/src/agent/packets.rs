//! Packet loop of an agent.

use std::net::SocketAddr;
use std::sync::Arc;

use forwarding::{Action, Backend, Event, Forwarder};
use rpc::Key;
use slog::{Logger, debug};
use tokio::io::Interest;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};
use units::{DataCentre, Flow, ServiceId};
use watcher::View;
use wire::{Candidate, Codec, Header, MAX_DATAGRAM, Message, Notice, Outbound};

use super::Shared;

/// Datagrams handled before other tasks get a turn.
const BATCH: usize = 64;

/// The backend server changed; answered once the packet loop knows.
#[derive(Debug)]
pub(super) struct Change {
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
    pub(super) log: Logger,
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
            let lost = self.shared.reports().deadline();
            let lost = lost.filter(|at| *at > Instant::now());
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
                    segment
                }
                Ok(Outbound::Returned(segment)) => {
                    (self.codec.restore)(packet);
                    self.forwarder
                        .handle(now, Event::Returned(&segment), actions);
                    segment
                }
                Err(reason) => {
                    debug!(self.log, "invalid packet of the backend server"; "reason" => %reason);
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
            let Ok((length, _)) = self.packets.try_recv_from(&mut buffers.datagram) else {
                return;
            };
            let now = Instant::now();
            match wire::decode(&self.key, &buffers.datagram[..length]) {
                Ok(Message::Notice(notice)) => {
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
                    Err(reason) => debug!(self.log, "invalid packet"; "reason" => %reason),
                },
                Err(error) => debug!(self.log, "invalid datagram"; "error" => %error),
            }
        }
    }

    /// Handles an event that concerns no packet.
    fn event(&mut self, event: Event<'_>, buffers: &mut Buffers) {
        self.forwarder
            .handle(Instant::now(), event, &mut buffers.actions);
        for action in std::mem::take(&mut buffers.actions) {
            if let Action::Reset { flow, .. } | Action::Resend { flow, .. } = action {
                self.act(action, &[], flow, &mut buffers.out);
            } else if let Action::Notify { to, flows } = action {
                self.notify(to.into(), flows, &mut buffers.out);
            }
        }
    }

    fn act(&self, action: Action, packet: &[u8], flow: Flow, out: &mut Vec<u8>) {
        match action {
            Action::Deliver(reason) => {
                let load = self.forwarder.load();
                debug!(self.log, "delivered"; "flow" => %flow, "reason" => %reason,
                    "busy" => load.busy, "slots" => load.slots, "open" => load.open);
                self.send(&self.outbound, packet, self.backend);
            }
            Action::Forward(header, reason) => {
                debug!(self.log, "passed on"; "flow" => %flow, "reason" => %reason);
                self.forward(&header, packet, out);
            }
            Action::Resend { header, inner, .. } => {
                debug!(self.log, "backend server did not answer; passed on"; "flow" => %flow);
                self.forward(&header, &inner, out);
            }
            Action::Reply => self.send(&self.packets, packet, self.caller(flow)),
            Action::Reset { flow, seq, reason } => {
                debug!(self.log, "reset"; "flow" => %flow, "reason" => %reason);
                (self.codec.reset)(flow, seq, out);
                self.send(&self.packets, out, self.caller(flow));
            }
            Action::Drop(reason) => {
                debug!(self.log, "dropped"; "flow" => %flow, "reason" => %reason);
            }
            Action::Notify { to, flows } => self.notify(to.into(), flows, out),
        }
    }

    fn caller(&self, flow: Flow) -> SocketAddr {
        (*flow.caller.ip(), self.callers).into()
    }

    fn forward(&self, header: &Header, packet: &[u8], out: &mut Vec<u8>) {
        let Some(target) = header.target() else {
            return;
        };
        match wire::encode_packet(&self.key, header, packet, out) {
            Ok(()) => self.send(&self.packets, out, target.address.into()),
            Err(error) => debug!(self.log, "cannot encode a packet"; "error" => %error),
        }
    }

    fn notify(&self, to: SocketAddr, flows: Vec<Flow>, out: &mut Vec<u8>) {
        let Some(service) = self.service else { return };
        let notice = Notice {
            service,
            flows,
            owner: self.me,
            load: self.forwarder.load(),
        };
        match wire::encode_notice(&self.key, &notice, out) {
            Ok(()) => self.send(&self.packets, out, to),
            Err(error) => debug!(self.log, "cannot encode a notice"; "error" => %error),
        }
    }

    fn send(&self, socket: &UdpSocket, datagram: &[u8], to: SocketAddr) {
        if let Err(error) = socket.try_send_to(datagram, to) {
            debug!(self.log, "datagram not sent"; "to" => %to, "error" => %error);
        }
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
            self.event(Event::Table(&tables.current), buffers);
        }
    }

    fn change(&mut self, change: Change, buffers: &mut Buffers) {
        self.update_backend(buffers);
        // The adapter may have given up on its caller.
        let _ = change.done.send(());
    }

    /// Notices that the backend server has been silent for too long.
    fn expire_backend(&mut self, buffers: &mut Buffers) {
        let backend = self.shared.reports().current(Instant::now());
        if backend.is_none() && self.known.is_some() {
            self.update_backend(buffers);
        }
    }

    fn update_backend(&mut self, buffers: &mut Buffers) {
        let backend = self.shared.reports().current(Instant::now());
        self.known = backend;
        self.event(Event::Backend(backend), buffers);
    }
}
