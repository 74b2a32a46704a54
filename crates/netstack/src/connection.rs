//! A TCP connection.

use std::fmt;
use std::time::Duration;

use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::socket::tcp::{self, RecvError, Socket};
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr, IpEndpoint};
use tokio::time::Instant;
use units::Flow;

use crate::StackSettings;
use crate::link::Link;
use crate::stream::FlowEnd;

/// smoltcp discards unread data this long after both sides closed, less a margin.
const CLOSE_DELAY: Duration = Duration::from_secs(9);

/// Offset of the sequence number in an IPv4 packet without options.
const SEQ_AT: usize = 24;

/// Offset of the TCP flags in an IPv4 packet without options.
const FLAGS_AT: usize = 33;

const SYN: u8 = 2;
const RST: u8 = 4;

/// Progress of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The handshake is not complete.
    Handshake,
    /// Open in at least one direction.
    Open,
    /// Both directions are closed; retransmitted packets are still answered.
    Lingering,
    /// Ended.
    Ended(FlowEnd),
}

/// Result of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadState {
    /// This many bytes.
    Data(usize),
    /// Nothing now.
    Empty,
    /// The peer closed its direction and every byte was read.
    Finished,
    /// The connection broke; what was read is incomplete.
    Broken,
}

/// One TCP connection.
pub struct Connection {
    interface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
    flow: Flow,
    base: Instant,
    /// Service side.
    passive: bool,
    settings: StackSettings,
    initial_seq: Option<u32>,
    /// Replies of smoltcp to a packet, sent by the next poll.
    replies: Vec<Vec<u8>>,
    established: bool,
    close_wanted: bool,
    finished: bool,
    quiet_since: Option<Instant>,
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
    /// Service side; its first packet has to be the caller's SYN.
    #[must_use]
    pub fn accept(settings: &StackSettings, flow: Flow, now: Instant, seed: u64) -> Self {
        let mut connection = Self::new(settings, flow, now, seed, flow.service.ip().octets());
        connection.passive = true;
        // A port above 0 on a new socket is always accepted.
        let listening = connection.socket().listen(flow.service.port());
        if listening.is_err() {
            connection.end = Some(FlowEnd::Aborted);
        }
        connection
    }

    /// Caller side; the first poll emits the SYN.
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
        let mut link = Link {
            packet: None,
            send: |_: &[u8]| {},
        };
        let mut interface = Interface::new(config, &mut link, smoltcp::time::Instant::ZERO);
        let address = IpCidr::new(IpAddress::Ipv4(local.into()), 32);
        interface.update_ip_addrs(|list| {
            // The list is empty and holds at least one address.
            let _ = list.push(address);
        });
        let mut socket = Socket::new(
            tcp::SocketBuffer::new(vec![0; settings.receive_buffer]),
            tcp::SocketBuffer::new(vec![0; settings.send_buffer]),
        );
        // Requests and responses are short; waiting for a full segment delays them.
        socket.set_nagle_enabled(false);
        socket.set_timeout(Some(settings.handshake.into()));
        let mut sockets = SocketSet::new(Vec::with_capacity(1));
        let handle = sockets.add(socket);
        Self {
            interface,
            sockets,
            handle,
            flow,
            base: now,
            passive: false,
            settings: settings.clone(),
            initial_seq: None,
            replies: Vec::new(),
            established: false,
            close_wanted: false,
            finished: false,
            quiet_since: None,
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

    /// Progress.
    #[must_use]
    pub fn state(&self) -> State {
        match (self.end, self.established) {
            (Some(end), _) => State::Ended(end),
            (None, false) => State::Handshake,
            (None, true) if self.quiet_since.is_some() => State::Lingering,
            (None, true) => State::Open,
        }
    }

    /// Takes one IPv4 packet of this flow; the next poll sends the reply.
    pub fn receive(&mut self, now: Instant, packet: &[u8]) {
        if self.end.is_some() {
            return;
        }
        let before = self.socket_ref().state();
        if before == tcp::State::Closed {
            return;
        }
        let at = self.elapsed(now);
        let replies = &mut self.replies;
        let mut link = Link {
            packet: Some(packet),
            send: |reply: &[u8]| replies.push(reply.to_vec()),
        };
        self.interface
            .poll_ingress_single(at, &mut link, &mut self.sockets);
        let after = self.socket_ref().state();
        if before != after {
            let reset = packet.get(FLAGS_AT).is_some_and(|flags| flags & RST != 0);
            self.after_packet(now, before, after, reset);
        }
    }

    /// Appends the packets to send; returns when to poll again.
    pub fn poll(&mut self, now: Instant, out: &mut Vec<Vec<u8>>) -> Option<Instant> {
        self.poll_with(now, |packet| out.push(packet.to_vec()))
    }

    /// Like [`Connection::poll`] without allocations.
    pub fn poll_with(&mut self, now: Instant, mut send: impl FnMut(&[u8])) -> Option<Instant> {
        for reply in self.replies.drain(..) {
            send(&reply);
        }
        self.check_handshake(now);
        // Another agent may have completed the handshake; RST could hit its connection.
        let silent = self.passive && !self.established;
        if matches!(self.end, Some(end) if end != FlowEnd::Aborted || silent) {
            return None;
        }
        let before = self.socket_ref().state();
        if before == tcp::State::TimeWait && self.linger_over(now) {
            self.end = Some(FlowEnd::Closed);
            return None;
        }
        let at = self.elapsed(now);
        // With unread data in TIME-WAIT, smoltcp must not reach its own close delay.
        let held_back = self.holds_back(now);
        let initial = &mut self.initial_seq;
        let mut link = Link {
            packet: None,
            send: |packet: &[u8]| {
                if initial.is_none() {
                    *initial = syn_seq(packet);
                }
                send(packet);
            },
        };
        if !held_back {
            while self.interface.poll_egress(at, &mut link, &mut self.sockets)
                != smoltcp::iface::PollResult::None
            {}
        }
        let after = self.socket_ref().state();
        if self.end.is_none() && after == tcp::State::Closed {
            let over = before == tcp::State::TimeWait;
            self.end = Some(if over {
                FlowEnd::Closed
            } else {
                FlowEnd::TimedOut
            });
        }
        if self.end.is_some() {
            return None;
        }
        self.deadline(now, at)
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

    /// Passes received bytes to `f`, which returns how many it took.
    ///
    /// `f` is not called without data; a result of 0 bytes counts as [`ReadState::Empty`].
    pub fn read_with<R>(&mut self, f: impl FnOnce(&[u8]) -> (usize, R)) -> (ReadState, Option<R>) {
        let socket = self.socket();
        if socket.recv_queue() > 0 {
            return match socket.recv(|data| {
                let (len, result) = f(data);
                (len, (len, result))
            }) {
                Ok((0, result)) => (ReadState::Empty, Some(result)),
                Ok((len, result)) => (ReadState::Data(len), Some(result)),
                Err(_) => (self.without_data(), None),
            };
        }
        (self.without_data(), None)
    }

    fn without_data(&mut self) -> ReadState {
        if self.finished {
            return ReadState::Finished;
        }
        match self.socket().recv_slice(&mut []) {
            Err(RecvError::Finished) => {
                self.finished = true;
                ReadState::Finished
            }
            Err(RecvError::InvalidState) if self.end.is_some() => ReadState::Broken,
            Ok(_) | Err(RecvError::InvalidState) => ReadState::Empty,
        }
    }

    /// Queues bytes to send; returns how many fitted.
    pub fn write(&mut self, buf: &[u8]) -> usize {
        if self.close_wanted {
            return 0;
        }
        self.socket().send_slice(buf).unwrap_or(0)
    }

    /// Passes free space of the send buffer to `f`, which returns how much it filled.
    ///
    /// `None` without free space, before the handshake and after [`Connection::close`].
    pub fn write_with<R>(&mut self, f: impl FnOnce(&mut [u8]) -> (usize, R)) -> Option<R> {
        if self.close_wanted || !self.socket_ref().can_send() {
            return None;
        }
        self.socket().send(f).ok()
    }

    /// Bytes that the peer has not acknowledged.
    #[must_use]
    pub fn unsent(&self) -> usize {
        self.socket_ref().send_queue()
    }

    /// Closes the sending direction after the queued bytes.
    pub fn close(&mut self) {
        self.close_wanted = true;
        // Closing before the handshake ends would leave the SYN unacknowledged.
        if self.established {
            self.socket().close();
        }
    }

    /// Ends the connection with RST, which the next poll emits.
    pub fn abort(&mut self) {
        if self.quiet_since.is_some() {
            self.end.get_or_insert(FlowEnd::Closed);
        } else if self.end.is_none() {
            self.end = Some(FlowEnd::Aborted);
            self.socket().abort();
        }
    }

    fn after_packet(&mut self, now: Instant, before: tcp::State, after: tcp::State, reset: bool) {
        use tcp::State::{Closed, LastAck, Listen, SynReceived, SynSent, TimeWait};
        match (before, after) {
            (SynSent, Closed) => self.end = Some(FlowEnd::Refused),
            (TimeWait, Closed) => self.end = Some(FlowEnd::Closed),
            (LastAck, Closed) if !reset => self.end = Some(FlowEnd::Closed),
            (_, Closed) | (SynReceived, Listen) => self.end = Some(FlowEnd::Reset),
            (_, TimeWait) => self.quiet_since = Some(now),
            _ => {}
        }
        let opened = !matches!(after, Closed | Listen | SynSent | SynReceived);
        if opened && !self.established {
            self.established = true;
            let (idle, keep_alive) = (self.settings.idle, self.settings.keep_alive);
            let close = self.close_wanted;
            let socket = self.socket();
            socket.set_timeout(Some(idle.into()));
            socket.set_keep_alive(Some(keep_alive.into()));
            if close {
                socket.close();
            }
        }
    }

    fn check_handshake(&mut self, now: Instant) {
        let late = now >= self.base + self.settings.handshake;
        if late && !self.established {
            self.end.get_or_insert(FlowEnd::TimedOut);
        }
    }

    fn linger_over(&self, now: Instant) -> bool {
        let over = |since| now >= since + self.settings.linger;
        self.quiet_since.is_some_and(over) && self.socket_ref().recv_queue() == 0
    }

    fn holds_back(&self, now: Instant) -> bool {
        let late = |since| now >= since + CLOSE_DELAY;
        self.quiet_since.is_some_and(late) && self.socket_ref().recv_queue() > 0
    }

    fn deadline(&mut self, now: Instant, at: smoltcp::time::Instant) -> Option<Instant> {
        if self.holds_back(now) {
            return None;
        }
        let linger = self.quiet_since.map(|since| {
            let unread = self.socket_ref().recv_queue() > 0;
            since
                + if unread {
                    CLOSE_DELAY
                } else {
                    self.settings.linger
                }
        });
        let next = self.interface.poll_at(at, &self.sockets).map(|next| {
            let micros = u64::try_from(next.total_micros()).unwrap_or(0);
            (self.base + Duration::from_micros(micros)).max(now)
        });
        let handshake = (!self.established).then(|| self.base + self.settings.handshake);
        [linger, next, handshake].into_iter().flatten().min()
    }

    fn elapsed(&self, now: Instant) -> smoltcp::time::Instant {
        let micros = now.saturating_duration_since(self.base).as_micros();
        smoltcp::time::Instant::from_micros(i64::try_from(micros).unwrap_or(i64::MAX))
    }

    fn socket(&mut self) -> &mut Socket<'static> {
        self.sockets.get_mut(self.handle)
    }

    fn socket_ref(&self) -> &Socket<'static> {
        self.sockets.get(self.handle)
    }
}

/// Sequence number of a SYN packet without IPv4 options.
fn syn_seq(packet: &[u8]) -> Option<u32> {
    let syn = packet.get(FLAGS_AT)? & SYN != 0;
    let raw = packet.get(SEQ_AT..SEQ_AT + 4)?.try_into().ok()?;
    syn.then(|| u32::from_be_bytes(raw))
}
