//! Packet loop: one socket, the ownership rules, and the tasks of the flows.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use flows::{Action, Event, Flows, FlowsSettings};
use netstack::{Connection, StackSettings, State};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rpc::Key;
use slog::{Logger, debug};
use tokio::io::Interest;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, interval};
use units::Flow;
use watcher::View;
use wire::{Candidate, Header, Load, MAX_DATAGRAM_BYTES, Message, Notice, Segment};

use crate::error::AgentError;
use crate::flow::{self, Ended, Fabric};
use crate::reset;
use crate::shared::Shared;
use crate::stats::count;

/// Datagrams handled before other tasks get a turn.
const BATCH: usize = 64;

/// Receive buffer of the socket; holds a burst of about 40 ms at 100,000 packets a second.
const SOCKET_BUFFER: usize = 8 << 20;

/// Memory reserved for datagrams at a time.
const CHUNK: usize = 64 << 10;

/// Packets that wait for the task of their flow; a window of 16 KiB has at most 12.
const QUEUE: usize = 32;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(200);

/// Request to the packet loop.
#[derive(Debug)]
pub enum Command {
    /// Load of a sibling.
    Load(Candidate, u32),
    /// End all flows at once.
    Abort,
}

struct Task {
    id: u64,
    packets: mpsc::Sender<Bytes>,
}

/// State of the packet loop.
pub struct Packets {
    socket: Arc<UdpSocket>,
    key: Key,
    me: Candidate,
    shared: Arc<Shared>,
    fabric: Fabric,
    flows: Flows,
    tasks: HashMap<Flow, Task>,
    ended: (mpsc::UnboundedSender<Ended>, mpsc::UnboundedReceiver<Ended>),
    stack: StackSettings,
    seeds: StdRng,
    next_id: u64,
    actions: Vec<Action>,
    out: Vec<u8>,
    log: Logger,
}

/// Opens the packet socket.
///
/// # Errors
/// When the address can't be bound.
pub fn open(address: SocketAddrV4) -> Result<UdpSocket, AgentError> {
    let bound = startup::packet_socket(address, SOCKET_BUFFER, false);
    bound
        .and_then(UdpSocket::from_std)
        .map_err(|source| AgentError::Bind {
            address: address.into(),
            source,
        })
}

impl Packets {
    /// Packet loop on an open socket.
    pub fn new(socket: UdpSocket, key: Key, shared: Arc<Shared>, seed: u64, log: Logger) -> Self {
        let socket = Arc::new(socket);
        let me = Candidate {
            address: shared.settings.packets,
            incarnation: shared.incarnation,
        };
        Self {
            fabric: Fabric::new(Arc::clone(&socket), shared.settings.fabric),
            socket,
            key,
            me,
            flows: Flows::new(FlowsSettings::default(), me, Instant::now()),
            shared,
            tasks: HashMap::new(),
            ended: mpsc::unbounded_channel(),
            stack: StackSettings::default(),
            seeds: StdRng::seed_from_u64(seed),
            next_id: 0,
            actions: Vec::new(),
            out: Vec::with_capacity(MAX_DATAGRAM_BYTES),
            log,
        }
    }

    /// Handles packets, views and commands until the task is dropped.
    pub async fn run(
        mut self,
        mut views: watch::Receiver<Arc<View>>,
        mut commands: mpsc::Receiver<Command>,
    ) {
        let socket = Arc::clone(&self.socket);
        let mut buffer = BytesMut::with_capacity(CHUNK);
        let mut tick = interval(TICK);
        loop {
            tokio::select! {
                ready = socket.ready(Interest::READABLE) => match ready {
                    Ok(_) => self.receive(&mut buffer),
                    Err(_) => tokio::task::yield_now().await,
                },
                Some(ended) = self.ended.1.recv() => self.remove(ended),
                Some(command) = commands.recv() => self.command(&command),
                Ok(()) = views.changed() => {
                    let view = Arc::clone(&views.borrow_and_update());
                    self.update(&view);
                }
                _ = tick.tick() => {
                    self.event(Event::Accepting(self.shared.accepting()));
                    self.event(Event::Tick);
                }
            }
            let (open, redirects) = (self.flows.open_count(), self.flows.redirect_count());
            self.shared.open.store(open, Ordering::Relaxed);
            self.shared.redirects.store(redirects, Ordering::Relaxed);
        }
    }

    fn receive(&mut self, buffer: &mut BytesMut) {
        let accepting = self.shared.accepting();
        self.event(Event::Accepting(accepting));
        let now = Instant::now();
        for _ in 0..BATCH {
            // One byte more than allowed shows a datagram that is too long.
            buffer.reserve(MAX_DATAGRAM_BYTES + 1);
            // Anything but a datagram ends the batch; the next wait reports lasting trouble.
            let Ok((_, _)) = self.socket.try_recv_buf_from(buffer) else {
                return;
            };
            count(&self.shared.stats.received);
            let datagram = buffer.split();
            self.datagram(now, datagram);
        }
    }

    fn datagram(&mut self, now: Instant, datagram: BytesMut) {
        match wire::decode(&self.key, &datagram) {
            Err(error) => self.shared.stats.dropped(&reason(error)),
            Ok(Message::Notice(notice)) => {
                count(&self.shared.stats.notices);
                self.event(Event::Notice(&notice));
            }
            Ok(Message::Packet { header, inner }) => match wire::inspect(inner) {
                Err(error) => self.shared.stats.dropped(&error),
                Ok(segment) => {
                    let at = datagram.len() - inner.len();
                    self.packet(now, &header, &segment, datagram, at);
                }
            },
        }
    }

    fn packet(
        &mut self,
        now: Instant,
        header: &Header,
        segment: &Segment,
        datagram: BytesMut,
        inner_at: usize,
    ) {
        let mut actions = std::mem::take(&mut self.actions);
        let event = Event::Packet { header, segment };
        self.flows.handle(now, event, &mut actions);
        let mut packet = datagram.freeze();
        for action in actions.drain(..) {
            match action {
                Action::Process => self.process(segment.flow, packet.split_off(inner_at)),
                Action::Accept => self.accept(now, segment.flow, &packet[inner_at..]),
                Action::Forward(next) => self.forward(&next, &packet[inner_at..]),
                Action::Reset => self.reset(segment),
                Action::Drop(reason) => self.shared.stats.dropped(&reason),
                other => self.other(other),
            }
        }
        self.actions = actions;
    }

    /// Handles an event that concerns no packet.
    fn event(&mut self, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.flows.handle(Instant::now(), event, &mut actions);
        for action in actions.drain(..) {
            self.other(action);
        }
        self.actions = actions;
    }

    fn other(&mut self, action: Action) {
        if let Action::Notify { to, flows } = action {
            self.notify(to, flows);
        }
    }

    fn process(&mut self, flow: Flow, packet: Bytes) {
        count(&self.shared.stats.processed);
        if let Some(task) = self.tasks.get(&flow)
            && task.packets.try_send(packet).is_err()
        {
            self.shared.stats.dropped(&"queue_full");
        }
    }

    fn accept(&mut self, now: Instant, flow: Flow, syn: &[u8]) {
        let mut connection = Connection::accept(&self.stack, flow, now, self.seeds.random());
        connection.receive(now, syn);
        connection.poll_with(now, |packet| self.fabric.send(&self.shared.stats, packet));
        let initial_seq = connection.initial_seq();
        let (Some(initial_seq), State::Handshake) = (initial_seq, connection.state()) else {
            self.shared.stats.dropped(&"bad_syn");
            return self.event(Event::Ended(flow));
        };
        count(&self.shared.stats.accepted);
        self.event(Event::Opened { flow, initial_seq });
        let (packets, receiver) = mpsc::channel(QUEUE);
        self.next_id += 1;
        let id = self.next_id;
        self.tasks.insert(flow, Task { id, packets });
        tokio::spawn(flow::run(
            Arc::clone(&self.shared),
            self.fabric.clone(),
            connection,
            receiver,
            self.ended.0.clone(),
            id,
        ));
    }

    fn forward(&mut self, header: &Header, inner: &[u8]) {
        let to = header.candidates[usize::from(header.hop)].address;
        let encoded = wire::encode_packet(&self.key, header, inner, &mut self.out);
        self.send(encoded.is_ok(), to);
        count(&self.shared.stats.forwarded);
    }

    fn notify(&mut self, to: Candidate, flows: Vec<Flow>) {
        let Some(service) = self.shared.service.borrow().as_ref().map(|s| s.id) else {
            return;
        };
        let notice = Notice {
            leaving: false,
            service,
            flows,
            owner: self.me,
            load: Load {
                open: u32::try_from(self.flows.open_count()).unwrap_or(u32::MAX),
                ..Load::default()
            },
        };
        let encoded = wire::encode_notice(&self.key, &notice, &mut self.out);
        self.send(encoded.is_ok(), to.address);
        count(&self.shared.stats.notified);
    }

    fn send(&self, encoded: bool, to: SocketAddrV4) {
        let sent = encoded && self.socket.try_send_to(&self.out, to.into()).is_ok();
        if !sent {
            count(&self.shared.stats.failed);
        }
    }

    fn reset(&mut self, segment: &Segment) {
        count(&self.shared.stats.resets);
        reset::answer(segment, &mut self.out);
        self.fabric.send(&self.shared.stats, &self.out);
    }

    fn remove(&mut self, ended: Ended) {
        if self
            .tasks
            .get(&ended.flow)
            .is_some_and(|t| t.id == ended.id)
        {
            self.tasks.remove(&ended.flow);
            self.event(Event::Ended(ended.flow));
        }
    }

    fn command(&mut self, command: &Command) {
        match command {
            Command::Load(member, open) => self.event(Event::Load {
                member: *member,
                open: *open,
            }),
            Command::Abort => self.tasks.clear(),
        }
    }

    fn update(&mut self, view: &View) {
        self.shared.update(view);
        let Some(service) = self.shared.service.borrow().clone() else {
            return;
        };
        let limit = service.profile.concurrency.flows;
        self.event(Event::Service {
            id: service.id,
            address: service.service.address,
            limit: usize::try_from(limit).unwrap_or(usize::MAX),
        });
        if let Some(tables) = view.tables.get(&service.id) {
            debug!(self.log, "table in force"; "epoch" => tables.current.epoch.0,
                "members" => tables.current.members.len());
            self.event(Event::Table {
                table: &tables.current,
                received_at: tables.received_at,
            });
        }
        self.event(Event::Accepting(self.shared.accepting()));
    }
}

fn reason(error: wire::WireError) -> &'static str {
    match error {
        wire::WireError::Truncated => "truncated",
        wire::WireError::TooLong(_) => "too_long",
        wire::WireError::Format => "format",
        wire::WireError::Candidates => "candidates",
        wire::WireError::Tag => "tag",
    }
}
