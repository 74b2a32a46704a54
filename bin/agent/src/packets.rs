//! Packet loop: owns the packet socket, applies the forwarding rules and starts a task per flow.

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
use watcher::{View, ViewReader};
use wire::{Candidate, Header, Load, MAX_DATAGRAM_BYTES, Message, Notice, Segment};

use crate::error::AgentError;
use crate::flow::{self, EndedFlow, FabricSender};
use crate::reset;
use crate::shared::SharedState;
use crate::stats::increment;

/// Datagrams handled before the loop handles other events.
const MAX_BATCH: usize = 64;

/// Receive buffer of the socket; holds a burst of about 40 ms at 100,000 packets per second.
const SOCKET_BUFFER_BYTES: usize = 8 << 20;

/// Memory allocated for received datagrams at a time.
const BUFFER_BYTES: usize = 64 << 10;

/// Packets queued for the task of a flow; a window of 16 KiB has at most 12.
const FLOW_QUEUE_PACKETS: usize = 32;

/// Interval of the periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Command to the packet loop.
#[derive(Debug)]
pub enum Command {
    /// Number of open flows of a sibling.
    Load(Candidate, u32),
    /// Reset all flows.
    Abort,
}

struct FlowTask {
    task_id: u64,
    packets: mpsc::Sender<Bytes>,
}

/// Packet socket, flow table and the tasks of the local flows.
pub struct PacketLoop {
    socket: Arc<UdpSocket>,
    key: Key,
    local: Candidate,
    shared: Arc<SharedState>,
    fabric: FabricSender,
    flows: Flows,
    reader: ViewReader,
    tasks: HashMap<Flow, FlowTask>,
    ended_sender: mpsc::UnboundedSender<EndedFlow>,
    ended_flows: mpsc::UnboundedReceiver<EndedFlow>,
    stack_settings: StackSettings,
    seed_rng: StdRng,
    next_task_id: u64,
    actions: Vec<Action>,
    output: Vec<u8>,
    log: Logger,
}

/// Binds the packet socket.
///
/// # Errors
/// When the address can't be bound.
pub fn bind_socket(address: SocketAddrV4) -> Result<UdpSocket, AgentError> {
    let bound = startup::packet_socket(address, SOCKET_BUFFER_BYTES, false);
    bound
        .and_then(UdpSocket::from_std)
        .map_err(|source| AgentError::Bind {
            address: address.into(),
            source,
        })
}

impl PacketLoop {
    /// Creates a packet loop for a bound socket.
    pub fn new(
        socket: UdpSocket,
        key: Key,
        shared: Arc<SharedState>,
        reader: ViewReader,
        seed: u64,
        log: Logger,
    ) -> Self {
        let socket = Arc::new(socket);
        let (ended_sender, ended_flows) = mpsc::unbounded_channel();
        let local = Candidate {
            address: shared.settings.packets,
            incarnation: shared.incarnation,
        };
        Self {
            fabric: FabricSender::new(Arc::clone(&socket), shared.settings.fabric),
            socket,
            key,
            local,
            flows: Flows::new(FlowsSettings::default(), local, Instant::now()),
            shared,
            reader,
            tasks: HashMap::new(),
            ended_sender,
            ended_flows,
            stack_settings: StackSettings::default(),
            seed_rng: StdRng::seed_from_u64(seed),
            next_task_id: 0,
            actions: Vec::new(),
            output: Vec::with_capacity(MAX_DATAGRAM_BYTES),
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
        let mut buffer = BytesMut::with_capacity(BUFFER_BYTES);
        let mut tick = interval(TICK_INTERVAL);
        let mut read_at = self.reader.read_at();
        loop {
            tokio::select! {
                ready = socket.ready(Interest::READABLE) => match ready {
                    Ok(_) => self.receive(&mut buffer),
                    Err(_) => tokio::task::yield_now().await,
                },
                Some(ended) = self.ended_flows.recv() => self.remove_flow(ended),
                Some(command) = commands.recv() => self.handle_command(&command),
                Ok(()) = views.changed() => {
                    let view = Arc::clone(&views.borrow_and_update());
                    self.apply_view(&view);
                }
                Ok(()) = read_at.changed() => {
                    // In this order: a view that is taken after the time of a read includes the read.
                    let read_at = *read_at.borrow_and_update();
                    let view = Arc::clone(&views.borrow_and_update());
                    self.apply_view(&view);
                    if let Some(at) = read_at {
                        self.handle_event(Event::ViewRead(at));
                    }
                }
                _ = tick.tick() => {
                    self.handle_event(Event::Accepting(self.shared.is_accepting()));
                    self.handle_event(Event::Tick);
                }
            }
            let (open, redirects) = (self.flows.open_count(), self.flows.redirect_count());
            self.shared.open_flows.store(open, Ordering::Relaxed);
            self.shared.redirects.store(redirects, Ordering::Relaxed);
        }
    }

    fn receive(&mut self, buffer: &mut BytesMut) {
        let accepting = self.shared.is_accepting();
        self.handle_event(Event::Accepting(accepting));
        let now = Instant::now();
        for _ in 0..MAX_BATCH {
            // One byte more than the maximum, to detect a datagram that is too long.
            buffer.reserve(MAX_DATAGRAM_BYTES + 1);
            // Any error ends the batch; `ready` reports a persistent one.
            let Ok((_, _)) = self.socket.try_recv_buf_from(buffer) else {
                return;
            };
            increment(&self.shared.stats.received);
            let datagram = buffer.split();
            self.handle_datagram(now, datagram);
        }
    }

    fn handle_datagram(&mut self, now: Instant, datagram: BytesMut) {
        match wire::decode(&self.key, &datagram) {
            Err(error) => self.shared.stats.count_dropped(&drop_reason(error)),
            Ok(Message::Notice(notice)) => {
                increment(&self.shared.stats.notices);
                self.handle_event(Event::Notice(&notice));
            }
            Ok(Message::Packet { header, inner }) => match wire::inspect(inner) {
                Err(error) => self.shared.stats.count_dropped(&error),
                Ok(segment) => {
                    let inner_offset = datagram.len() - inner.len();
                    self.handle_packet(now, &header, &segment, datagram, inner_offset);
                }
            },
        }
    }

    fn handle_packet(
        &mut self,
        now: Instant,
        header: &Header,
        segment: &Segment,
        datagram: BytesMut,
        inner_offset: usize,
    ) {
        let mut actions = std::mem::take(&mut self.actions);
        let event = Event::Packet { header, segment };
        self.flows.handle(now, event, &mut actions);
        let mut packet = datagram.freeze();
        for action in actions.drain(..) {
            match action {
                Action::Process => self.deliver(segment.flow, packet.split_off(inner_offset)),
                Action::Accept => self.accept_flow(now, segment.flow, &packet[inner_offset..]),
                Action::Forward(next) => self.forward_packet(&next, &packet[inner_offset..]),
                Action::Reset => self.send_reset(segment),
                Action::Drop(reason) => self.shared.stats.count_dropped(&reason),
                Action::ReadView => self.reader.request(now),
                other => self.handle_notify(other),
            }
        }
        self.actions = actions;
    }

    /// Handles an event that is not a packet.
    fn handle_event(&mut self, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.flows.handle(Instant::now(), event, &mut actions);
        for action in actions.drain(..) {
            self.handle_notify(action);
        }
        self.actions = actions;
    }

    fn handle_notify(&mut self, action: Action) {
        if let Action::Notify { to, flows } = action {
            self.send_notice(to, flows);
        }
    }

    fn deliver(&mut self, flow: Flow, packet: Bytes) {
        increment(&self.shared.stats.processed);
        if let Some(task) = self.tasks.get(&flow)
            && task.packets.try_send(packet).is_err()
        {
            self.shared.stats.count_dropped(&"queue_full");
        }
    }

    fn accept_flow(&mut self, now: Instant, flow: Flow, syn: &[u8]) {
        let mut connection =
            Connection::accept(&self.stack_settings, flow, now, self.seed_rng.random());
        connection.receive(now, syn);
        connection.poll_with(now, |packet| self.fabric.send(&self.shared.stats, packet));
        let initial_seq = connection.initial_seq();
        let (Some(initial_seq), State::Handshake) = (initial_seq, connection.state()) else {
            self.shared.stats.count_dropped(&"bad_syn");
            return self.handle_event(Event::Ended(flow));
        };
        increment(&self.shared.stats.accepted);
        self.handle_event(Event::Opened { flow, initial_seq });
        let (packets, receiver) = mpsc::channel(FLOW_QUEUE_PACKETS);
        self.next_task_id += 1;
        let task_id = self.next_task_id;
        self.tasks.insert(flow, FlowTask { task_id, packets });
        tokio::spawn(flow::run(
            Arc::clone(&self.shared),
            self.fabric.clone(),
            connection,
            receiver,
            self.ended_sender.clone(),
            task_id,
        ));
    }

    fn forward_packet(&mut self, header: &Header, inner: &[u8]) {
        let to = header.candidates[usize::from(header.hop)].address;
        let encoded = wire::encode_packet(&self.key, header, inner, &mut self.output);
        self.send_output(encoded.is_ok(), to);
        increment(&self.shared.stats.forwarded);
    }

    fn send_notice(&mut self, to: Candidate, flows: Vec<Flow>) {
        let Some(service) = self.shared.service.borrow().as_ref().map(|s| s.id) else {
            return;
        };
        let notice = Notice {
            leaving: false,
            service,
            flows,
            owner: self.local,
            load: Load {
                open: u32::try_from(self.flows.open_count()).unwrap_or(u32::MAX),
                ..Load::default()
            },
        };
        let encoded = wire::encode_notice(&self.key, &notice, &mut self.output);
        self.send_output(encoded.is_ok(), to.address);
        increment(&self.shared.stats.notified);
    }

    fn send_output(&self, encoded: bool, to: SocketAddrV4) {
        let sent = encoded && self.socket.try_send_to(&self.output, to.into()).is_ok();
        if !sent {
            increment(&self.shared.stats.failed);
        }
    }

    fn send_reset(&mut self, segment: &Segment) {
        increment(&self.shared.stats.resets);
        reset::write_reset(segment, &mut self.output);
        self.fabric.send(&self.shared.stats, &self.output);
    }

    fn remove_flow(&mut self, ended: EndedFlow) {
        if self
            .tasks
            .get(&ended.flow)
            .is_some_and(|t| t.task_id == ended.task_id)
        {
            self.tasks.remove(&ended.flow);
            self.handle_event(Event::Ended(ended.flow));
        }
    }

    fn handle_command(&mut self, command: &Command) {
        match command {
            Command::Load(member, open) => self.handle_event(Event::Load {
                member: *member,
                open: *open,
            }),
            Command::Abort => self.tasks.clear(),
        }
    }

    fn apply_view(&mut self, view: &View) {
        self.shared.apply_view(view);
        let Some(service) = self.shared.service.borrow().clone() else {
            return;
        };
        let limit = service.profile.concurrency.flows;
        self.handle_event(Event::Service {
            id: service.id,
            address: service.service.address,
            limit: usize::try_from(limit).unwrap_or(usize::MAX),
        });
        if let Some(tables) = view.tables.get(&service.id) {
            debug!(self.log, "table in force"; "epoch" => tables.current.epoch.0,
                "members" => tables.current.members.len());
            self.handle_event(Event::Table {
                table: &tables.current,
                received_at: tables.received_at,
            });
        }
        self.handle_event(Event::Accepting(self.shared.is_accepting()));
    }
}

fn drop_reason(error: wire::WireError) -> &'static str {
    match error {
        wire::WireError::Truncated => "truncated",
        wire::WireError::TooLong(_) => "too_long",
        wire::WireError::Format => "format",
        wire::WireError::Candidates => "candidates",
        wire::WireError::Tag => "tag",
    }
}
