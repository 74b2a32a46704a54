//! Runs the packet loop of a balancer.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dispatch::{Action, Directory, Dispatcher};
use rpc::Key;
use tokio::io::Interest;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use units::Flow;
use watcher::ViewReader;
use wire::{Codec, Header, MAX_DATAGRAM_BYTES, MAX_INNER_BYTES, Message, Segment};

use super::outcome::Outcome;
use super::stats::BalancerStats;
use crate::telemetry::LoopTelemetry;

/// Maximum number of datagrams handled per socket before other tasks run.
const BATCH_SIZE: usize = 64;

/// Time after control last confirmed the view during which SYNs may be refused. With an older view
/// they are dropped, because a route may be new.
const VIEW_MAX_AGE: Duration = Duration::from_millis(2_500);

/// Longest wait for packets. A packet may have waited for as long if this process was paused, so it is
/// well below the time after which a caller sends a copy of its SYN.
const MAX_WAIT: Duration = Duration::from_millis(50);

/// Receives and sends the packets of a balancer.
pub(super) struct PacketLoop {
    pub(super) codec: Codec,
    pub(super) key: Key,
    pub(super) packet_socket: UdpSocket,
    pub(super) notice_socket: UdpSocket,
    pub(super) dispatcher: Dispatcher,
    pub(super) directory: watch::Receiver<Arc<Directory>>,
    /// Time at which control last confirmed the view.
    pub(super) view_confirmed: watch::Receiver<Option<Instant>>,
    pub(super) reader: ViewReader,
    /// Port at which callers receive packets.
    pub(super) caller_port: u16,
    pub(super) stats: Arc<BalancerStats>,
    pub(super) telemetry: LoopTelemetry<Outcome>,
}

impl PacketLoop {
    /// Handles packets until the task is cancelled.
    pub(super) async fn run(mut self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let mut actions = Vec::new();
        let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        // The runtime has polled the sockets since.
        let mut polled = Instant::now();
        loop {
            let since = Instant::now();
            let due = since + MAX_WAIT;
            let due = self.dispatcher.deadline().map_or(due, |at| at.min(due));
            // If waiting for readiness fails, the next receive returns the error.
            tokio::select! {
                _ = self.notice_socket.ready(Interest::READABLE) => {}
                _ = self.packet_socket.ready(Interest::READABLE) => {}
                // The watcher ends only with the process.
                _ = self.directory.changed() => self.directory.mark_changed(),
                () = sleep_until(due) => {}
            }
            self.telemetry.check_wakeup(since, due);
            if self.directory.has_changed().unwrap_or(false) {
                self.apply_directory(&mut actions, &mut out);
            }
            self.receive_notices(&mut buffer, &mut actions, &mut out);
            self.receive_packets(polled, &mut buffer, &mut actions, &mut out);
            let now = Instant::now();
            if self.dispatcher.deadline().is_some_and(|due| due <= now) {
                self.dispatcher.tick(now, &mut actions);
                for action in actions.drain(..) {
                    self.execute(action, &[], None, &mut out);
                }
            }
            self.send_metrics();
            polled = Instant::now();
            tokio::task::yield_now().await;
        }
    }

    fn apply_directory(&mut self, actions: &mut Vec<Action>, out: &mut Vec<u8>) {
        let directory = Arc::clone(&self.directory.borrow_and_update());
        self.dispatcher
            .handle_read(Instant::now(), &directory, actions);
        for action in actions.drain(..) {
            self.execute(action, &[], None, out);
        }
    }

    fn receive_notices(&mut self, buffer: &mut [u8], actions: &mut Vec<Action>, out: &mut Vec<u8>) {
        let now = Instant::now();
        for _ in 0..BATCH_SIZE {
            // An error ends the batch; if it persists, the next wait for readiness returns it.
            let Ok((length, from)) = self.notice_socket.try_recv_from(buffer) else {
                return;
            };
            match wire::decode(&self.key, &buffer[..length]) {
                Ok(Message::Notice(notice)) => {
                    self.telemetry.count(Outcome::Notice);
                    self.dispatcher.handle_notice(now, &notice);
                }
                Ok(Message::Packet { header, inner }) => {
                    self.receive_returned(now, &header, inner, actions, out);
                }
                Err(error) => self.invalid_datagram(from, &error),
            }
        }
    }

    /// Handles a packet that agents returned: a SYN that none of them accepts, or another packet whose
    /// flow their service doesn't have.
    fn receive_returned(
        &mut self,
        now: Instant,
        header: &Header,
        inner: &[u8],
        actions: &mut Vec<Action>,
        out: &mut Vec<u8>,
    ) {
        let segment = match (self.codec.inbound)(inner) {
            Ok(segment) => segment,
            Err(reason) => return self.invalid_packet(now, reason),
        };
        if segment.opens() {
            self.telemetry.count(Outcome::Unplaced);
            self.dispatcher
                .handle_unplaced(now, header, &segment, actions);
        } else {
            self.telemetry.count(Outcome::NotHeld);
            let directory = Arc::clone(&self.directory.borrow());
            self.dispatcher
                .handle_not_held(now, &directory, header, &segment, inner, actions);
        }
        for action in actions.drain(..) {
            self.execute(action, inner, Some(&segment), out);
        }
    }

    /// Handles the packets of callers; those that arrived before `polled` are known to be readable.
    fn receive_packets(
        &mut self,
        polled: Instant,
        buffer: &mut [u8],
        actions: &mut Vec<Action>,
        out: &mut Vec<u8>,
    ) {
        let directory = Arc::clone(&self.directory.borrow());
        let now = Instant::now();
        let is_current = self
            .view_confirmed
            .borrow()
            .is_some_and(|at| now < at + VIEW_MAX_AGE);
        for _ in 0..BATCH_SIZE {
            let length = match self.packet_socket.try_recv_from(buffer) {
                Ok((length, _)) => length,
                Err(error) => {
                    if error.kind() == ErrorKind::WouldBlock {
                        self.dispatcher.record_drained(polled);
                    }
                    return;
                }
            };
            self.stats.count_received();
            let inner = &buffer[..length];
            if length > MAX_INNER_BYTES {
                continue;
            }
            match (self.codec.inbound)(inner) {
                Ok(segment) => {
                    self.dispatcher
                        .handle_packet(now, &directory, is_current, &segment, inner, actions);
                    for action in actions.drain(..) {
                        self.execute(action, inner, Some(&segment), out);
                    }
                }
                Err(reason) => self.invalid_packet(now, reason),
            }
        }
    }

    fn execute(
        &mut self,
        action: Action,
        inner: &[u8],
        segment: Option<&Segment>,
        out: &mut Vec<u8>,
    ) {
        match action {
            Action::Send(header) => {
                if let Some(segment) = segment {
                    self.sent(segment, &header);
                }
                self.send(&header, inner, out);
            }
            Action::Resend {
                flow,
                header,
                inner,
            } => {
                self.syn_unanswered(flow, &header);
                self.send(&header, &inner, out);
            }
            Action::Search {
                flow,
                header,
                inner,
            } => {
                self.searched_again(flow, &header);
                self.send(&header, &inner, out);
            }
            Action::ReadView => {
                self.telemetry.count(Outcome::ReadRequested);
                self.reader.request(Instant::now());
            }
            Action::Unread(flow) => self.unread(flow),
            Action::Refuse(reason) => {
                self.telemetry.count(Outcome::Refused(reason));
                if let Some(segment) = segment {
                    self.not_sent("refused", segment.flow, reason);
                    self.reset(segment.flow, 0, out);
                }
            }
            Action::Reset { flow, seq } => {
                self.not_held(flow);
                self.reset(flow, seq, out);
            }
            Action::Drop(reason) => {
                self.telemetry.count(Outcome::Dropped(reason));
                if let Some(segment) = segment {
                    self.not_sent("dropped", segment.flow, reason);
                }
            }
        }
    }

    fn send(&mut self, header: &Header, inner: &[u8], out: &mut Vec<u8>) {
        let Some(target) = header.target() else {
            return;
        };
        match wire::encode_packet(&self.key, header, inner, out) {
            Ok(()) => self.put(out, target.address.into()),
            Err(error) => self.unsent(target.address.into(), &error),
        }
    }

    fn reset(&mut self, flow: Flow, seq: u32, out: &mut Vec<u8>) {
        (self.codec.reset)(flow, seq, out);
        self.put(out, (*flow.caller.ip(), self.caller_port).into());
    }

    fn put(&mut self, datagram: &[u8], to: SocketAddr) {
        if let Err(error) = self.packet_socket.try_send_to(datagram, to) {
            self.unsent(to, &error);
        }
    }
}
