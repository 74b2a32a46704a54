//! A TCP connection.

use std::fmt;
use std::time::Duration;

use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::socket::tcp::{self, RecvError, Socket};
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr, IpEndpoint};
use tokio::time::Instant;
use units::Flow;

use crate::StackSettings;
use crate::device::PacketDevice;
use crate::stream::FlowEnd;

/// Time after both sides closed at which egress pauses; slightly shorter than the delay after which
/// smoltcp discards unread data.
const EGRESS_PAUSE_DELAY: Duration = Duration::from_secs(9);

/// Offset of the sequence number in an IPv4 packet without options.
const SEQ_OFFSET: usize = 24;

/// Offset of the TCP flags in an IPv4 packet without options.
const FLAGS_OFFSET: usize = 33;

const FLAG_SYN: u8 = 2;
const FLAG_RST: u8 = 4;

/// State of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The handshake is not complete.
    Handshake,
    /// Open in at least one direction.
    Open,
    /// Both directions are closed; retransmitted FINs are still acknowledged.
    Lingering,
    /// Ended.
    Ended(FlowEnd),
}

/// Result of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadState {
    /// Number of bytes read.
    Data(usize),
    /// No data is available yet.
    Empty,
    /// The peer closed its direction and all bytes were read.
    Finished,
    /// The connection failed; the bytes read so far are incomplete.
    Broken,
}

/// One TCP connection.
pub struct Connection {
    interface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
    flow: Flow,
    created_at: Instant,
    /// Whether this is the service side.
    passive: bool,
    settings: StackSettings,
    initial_seq: Option<u32>,
    /// Replies of smoltcp to received packets, sent by the next poll.
    replies: Vec<Vec<u8>>,
    established: bool,
    close_requested: bool,
    read_finished: bool,
    /// Start of the TIME-WAIT state.
    time_wait_since: Option<Instant>,
    end: Option<FlowEnd>,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection")
            .field("flow", &self.flow)
            .field("state", &self.state())
            .finish_non_exhaustive()
    }
}

impl Connection {
    /// Creates the service side of a flow; its first packet must be the caller's SYN.
    #[must_use]
    pub fn accept(settings: &StackSettings, flow: Flow, now: Instant, seed: u64) -> Self {
        let mut connection = Self::new(settings, flow, now, seed, flow.service.ip().octets());
        connection.passive = true;
        // Only port 0 is rejected for a new socket.
        let listening = connection.socket().listen(flow.service.port());
        if listening.is_err() {
            connection.end = Some(FlowEnd::Aborted);
        }
        connection
    }

    /// Creates the caller side of a flow; the first poll emits the SYN.
    #[must_use]
    pub fn connect(settings: &StackSettings, flow: Flow, now: Instant, seed: u64) -> Self {
        let mut connection = Self::new(settings, flow, now, seed, flow.caller.ip().octets());
        let remote: IpEndpoint = (*flow.service.ip(), flow.service.port()).into();
        let local: IpEndpoint = (*flow.caller.ip(), flow.caller.port()).into();
        let socket = connection.sockets.get_mut::<Socket<'_>>(connection.handle);
        let connecting = socket.connect(connection.interface.context(), remote, local);
        if connecting.is_err() {
            connection.end = Some(FlowEnd::Aborted);
        }
        connection
    }

    fn new(settings: &StackSettings, flow: Flow, now: Instant, seed: u64, local: [u8; 4]) -> Self {
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut device = PacketDevice {
            packet: None,
            send: |_: &[u8]| {},
        };
        let mut interface = Interface::new(config, &mut device, smoltcp::time::Instant::ZERO);
        let address = IpCidr::new(IpAddress::Ipv4(local.into()), 32);
        interface.update_ip_addrs(|list| {
            // The list is empty and has capacity for at least one address.
            let _ = list.push(address);
        });
        let mut socket = Socket::new(
            tcp::SocketBuffer::new(vec![0; settings.receive_buffer_bytes]),
            tcp::SocketBuffer::new(vec![0; settings.send_buffer_bytes]),
        );
        // Requests and responses are short; Nagle's algorithm would delay them.
        socket.set_nagle_enabled(false);
        socket.set_timeout(Some(settings.handshake_timeout.into()));
        let mut sockets = SocketSet::new(Vec::with_capacity(1));
        let handle = sockets.add(socket);
        Self {
            interface,
            sockets,
            handle,
            flow,
            created_at: now,
            passive: false,
            settings: settings.clone(),
            initial_seq: None,
            replies: Vec::new(),
            established: false,
            close_requested: false,
            read_finished: false,
            time_wait_since: None,
            end: None,
        }
    }

    /// Caller and service.
    #[must_use]
    pub fn flow(&self) -> Flow {
        self.flow
    }

    /// Sequence number of the SYN or SYN-ACK that was sent.
    #[must_use]
    pub fn initial_seq(&self) -> Option<u32> {
        self.initial_seq
    }

    /// Current state.
    #[must_use]
    pub fn state(&self) -> State {
        match (self.end, self.established) {
            (Some(end), _) => State::Ended(end),
            (None, false) => State::Handshake,
            (None, true) if self.time_wait_since.is_some() => State::Lingering,
            (None, true) => State::Open,
        }
    }

    /// Processes one IPv4 packet of this flow; the next poll sends the reply.
    pub fn receive(&mut self, now: Instant, packet: &[u8]) {
        if self.end.is_some() {
            return;
        }
        let before = self.socket_ref().state();
        if before == tcp::State::Closed {
            return;
        }
        let timestamp = self.elapsed(now);
        let replies = &mut self.replies;
        let mut device = PacketDevice {
            packet: Some(packet),
            send: |reply: &[u8]| replies.push(reply.to_vec()),
        };
        self.interface
            .poll_ingress_single(timestamp, &mut device, &mut self.sockets);
        let after = self.socket_ref().state();
        if before != after {
            let reset = packet
                .get(FLAGS_OFFSET)
                .is_some_and(|flags| flags & FLAG_RST != 0);
            self.apply_transition(now, before, after, reset);
        }
    }

    /// Appends the packets to send; returns the time of the next poll, if one is needed.
    pub fn poll(&mut self, now: Instant, out: &mut Vec<Vec<u8>>) -> Option<Instant> {
        self.poll_with(now, |packet| out.push(packet.to_vec()))
    }

    /// Like [`Connection::poll`] without allocations.
    pub fn poll_with(&mut self, now: Instant, mut send: impl FnMut(&[u8])) -> Option<Instant> {
        for reply in self.replies.drain(..) {
            send(&reply);
        }
        self.check_handshake(now);
        // Another agent may have completed the handshake; RST would reset its connection.
        let suppress_reset = self.passive && !self.established;
        if matches!(self.end, Some(end) if end != FlowEnd::Aborted || suppress_reset) {
            return None;
        }
        let before = self.socket_ref().state();
        if before == tcp::State::TimeWait && self.is_linger_over(now) {
            self.end = Some(FlowEnd::Closed);
            return None;
        }
        let timestamp = self.elapsed(now);
        // smoltcp would discard unread data at the end of its TIME-WAIT.
        let is_egress_paused = self.is_egress_paused(now);
        let initial_seq = &mut self.initial_seq;
        let mut device = PacketDevice {
            packet: None,
            send: |packet: &[u8]| {
                if initial_seq.is_none() {
                    *initial_seq = initial_seq_of_syn(packet);
                }
                send(packet);
            },
        };
        if !is_egress_paused {
            while self
                .interface
                .poll_egress(timestamp, &mut device, &mut self.sockets)
                != smoltcp::iface::PollResult::None
            {}
        }
        let after = self.socket_ref().state();
        if self.end.is_none() && after == tcp::State::Closed {
            let was_time_wait = before == tcp::State::TimeWait;
            self.end = Some(if was_time_wait {
                FlowEnd::Closed
            } else {
                FlowEnd::TimedOut
            });
        }
        if self.end.is_some() {
            return None;
        }
        self.deadline(now, timestamp)
    }

    /// Reads received bytes.
    pub fn read(&mut self, buf: &mut [u8]) -> ReadState {
        self.read_with(|data| {
            let len = data.len().min(buf.len());
            buf[..len].copy_from_slice(&data[..len]);
            (len, ())
        })
        .0
    }

    /// Passes received bytes to `f`, which returns how many it consumed.
    ///
    /// `f` is only called if there is data; a result of 0 bytes is reported as [`ReadState::Empty`].
    pub fn read_with<R>(&mut self, f: impl FnOnce(&[u8]) -> (usize, R)) -> (ReadState, Option<R>) {
        let socket = self.socket();
        if socket.recv_queue() > 0 {
            return match socket.recv(|data| {
                let (len, result) = f(data);
                (len, (len, result))
            }) {
                Ok((0, result)) => (ReadState::Empty, Some(result)),
                Ok((len, result)) => (ReadState::Data(len), Some(result)),
                Err(_) => (self.read_state_without_data(), None),
            };
        }
        (self.read_state_without_data(), None)
    }

    fn read_state_without_data(&mut self) -> ReadState {
        if self.read_finished {
            return ReadState::Finished;
        }
        match self.socket().recv_slice(&mut []) {
            Err(RecvError::Finished) => {
                self.read_finished = true;
                ReadState::Finished
            }
            Err(RecvError::InvalidState) if self.end.is_some() => ReadState::Broken,
            Ok(_) | Err(RecvError::InvalidState) => ReadState::Empty,
        }
    }

    /// Queues bytes to send; returns the number of queued bytes.
    pub fn write(&mut self, buf: &[u8]) -> usize {
        if self.close_requested {
            return 0;
        }
        self.socket().send_slice(buf).unwrap_or(0)
    }

    /// Passes free space of the send buffer to `f`, which returns how much it filled.
    ///
    /// Returns `None` if there is no free space, before the handshake and after
    /// [`Connection::close`].
    pub fn write_with<R>(&mut self, f: impl FnOnce(&mut [u8]) -> (usize, R)) -> Option<R> {
        if self.close_requested || !self.socket_ref().can_send() {
            return None;
        }
        self.socket().send(f).ok()
    }

    /// Number of bytes that the peer has not acknowledged.
    #[must_use]
    pub fn unacknowledged(&self) -> usize {
        self.socket_ref().send_queue()
    }

    /// Closes the sending direction after the queued bytes are sent.
    pub fn close(&mut self) {
        self.close_requested = true;
        // Closing before the handshake ends would leave the SYN unacknowledged.
        if self.established {
            self.socket().close();
        }
    }

    /// Ends the connection with RST, which the next poll emits.
    pub fn abort(&mut self) {
        if self.time_wait_since.is_some() {
            self.end.get_or_insert(FlowEnd::Closed);
        } else if self.end.is_none() {
            self.end = Some(FlowEnd::Aborted);
            self.socket().abort();
        }
    }

    fn apply_transition(
        &mut self,
        now: Instant,
        before: tcp::State,
        after: tcp::State,
        reset: bool,
    ) {
        use tcp::State::{Closed, LastAck, Listen, SynReceived, SynSent, TimeWait};
        match (before, after) {
            (SynSent, Closed) => self.end = Some(FlowEnd::Refused),
            (TimeWait, Closed) => self.end = Some(FlowEnd::Closed),
            (LastAck, Closed) if !reset => self.end = Some(FlowEnd::Closed),
            (_, Closed) | (SynReceived, Listen) => self.end = Some(FlowEnd::Reset),
            (_, TimeWait) => self.time_wait_since = Some(now),
            _ => {}
        }
        let opened = !matches!(after, Closed | Listen | SynSent | SynReceived);
        if opened && !self.established {
            self.established = true;
            let (idle_timeout, keepalive_interval) =
                (self.settings.idle_timeout, self.settings.keepalive_interval);
            let close = self.close_requested;
            let socket = self.socket();
            socket.set_timeout(Some(idle_timeout.into()));
            socket.set_keep_alive(Some(keepalive_interval.into()));
            if close {
                socket.close();
            }
        }
    }

    fn check_handshake(&mut self, now: Instant) {
        let is_late = now >= self.created_at + self.settings.handshake_timeout;
        if is_late && !self.established {
            self.end.get_or_insert(FlowEnd::TimedOut);
        }
    }

    fn is_linger_over(&self, now: Instant) -> bool {
        let is_over = |since| now >= since + self.settings.linger_time;
        self.time_wait_since.is_some_and(is_over) && self.socket_ref().recv_queue() == 0
    }

    fn is_egress_paused(&self, now: Instant) -> bool {
        let is_due = |since| now >= since + EGRESS_PAUSE_DELAY;
        self.time_wait_since.is_some_and(is_due) && self.socket_ref().recv_queue() > 0
    }

    fn deadline(&mut self, now: Instant, timestamp: smoltcp::time::Instant) -> Option<Instant> {
        if self.is_egress_paused(now) {
            return None;
        }
        let linger = self.time_wait_since.map(|since| {
            let unread = self.socket_ref().recv_queue() > 0;
            since
                + if unread {
                    EGRESS_PAUSE_DELAY
                } else {
                    self.settings.linger_time
                }
        });
        let next = self
            .interface
            .poll_at(timestamp, &self.sockets)
            .map(|next| {
                let micros = u64::try_from(next.total_micros()).unwrap_or(0);
                (self.created_at + Duration::from_micros(micros)).max(now)
            });
        let handshake =
            (!self.established).then(|| self.created_at + self.settings.handshake_timeout);
        [linger, next, handshake].into_iter().flatten().min()
    }

    fn elapsed(&self, now: Instant) -> smoltcp::time::Instant {
        let micros = now.saturating_duration_since(self.created_at).as_micros();
        smoltcp::time::Instant::from_micros(i64::try_from(micros).unwrap_or(i64::MAX))
    }

    fn socket(&mut self) -> &mut Socket<'static> {
        self.sockets.get_mut(self.handle)
    }

    fn socket_ref(&self) -> &Socket<'static> {
        self.sockets.get(self.handle)
    }
}

/// Sequence number of an IPv4 packet without options, if it is a SYN.
fn initial_seq_of_syn(packet: &[u8]) -> Option<u32> {
    let syn = packet.get(FLAGS_OFFSET)? & FLAG_SYN != 0;
    let raw = packet.get(SEQ_OFFSET..SEQ_OFFSET + 4)?.try_into().ok()?;
    syn.then(|| u32::from_be_bytes(raw))
}
