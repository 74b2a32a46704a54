//! Packet loop of a balancer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dispatch::{Action, Directory, Dispatch};
use rpc::Key;
use slog::{Logger, debug};
use tokio::io::Interest;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use units::Flow;
use wire::{Codec, Header, MAX_DATAGRAM, MAX_INNER, Message, Segment};

use super::stats::BalancerStats;

/// Datagrams handled before other tasks get a turn.
const BATCH: usize = 64;

/// Time after the last confirmed view up to which SYNs to unknown addresses are refused; later they
/// are dropped, because the route may be new.
const CURRENT: Duration = Duration::from_millis(2_500);

/// Longest wait without a deadline.
const IDLE: Duration = Duration::from_secs(1);

pub(super) struct Packets {
    pub(super) codec: Codec,
    pub(super) key: Key,
    pub(super) packets: UdpSocket,
    pub(super) notices: UdpSocket,
    pub(super) dispatch: Dispatch,
    pub(super) directory: watch::Receiver<Arc<Directory>>,
    pub(super) heard: watch::Receiver<Option<Instant>>,
    pub(super) callers: u16,
    pub(super) stats: Arc<BalancerStats>,
    pub(super) log: Logger,
}

impl Packets {
    /// Handles packets until the task is dropped.
    pub(super) async fn run(mut self) {
        let mut buffer = [0; MAX_DATAGRAM + 1];
        let mut actions = Vec::new();
        let mut out = Vec::with_capacity(MAX_DATAGRAM);
        loop {
            let idle = Instant::now() + IDLE;
            let due = self.dispatch.deadline().unwrap_or(idle);
            // Readiness that can't be awaited shows as an error of the next receive.
            tokio::select! {
                _ = self.notices.ready(Interest::READABLE) => {}
                _ = self.packets.ready(Interest::READABLE) => {}
                () = sleep_until(due) => {}
            }
            self.receive_notices(&mut buffer);
            self.receive_packets(&mut buffer, &mut actions, &mut out);
            let now = Instant::now();
            if self.dispatch.deadline().is_some_and(|due| due <= now) {
                self.dispatch.tick(now, &mut actions);
                for action in actions.drain(..) {
                    self.act(action, &[], None, &mut out);
                }
            }
            tokio::task::yield_now().await;
        }
    }

    fn receive_notices(&mut self, buffer: &mut [u8]) {
        let now = Instant::now();
        for _ in 0..BATCH {
            // Anything but a datagram ends the batch; the next wait reports lasting trouble.
            let Ok((length, _)) = self.notices.try_recv_from(buffer) else {
                return;
            };
            match wire::decode(&self.key, &buffer[..length]) {
                Ok(Message::Notice(notice)) => self.dispatch.notice(now, &notice),
                Ok(Message::Packet { .. }) => debug!(self.log, "packet at the notice address"),
                Err(error) => debug!(self.log, "invalid notice"; "error" => %error),
            }
        }
    }

    fn receive_packets(&mut self, buffer: &mut [u8], actions: &mut Vec<Action>, out: &mut Vec<u8>) {
        let directory = Arc::clone(&self.directory.borrow_and_update());
        let now = Instant::now();
        let current = self.heard.borrow().is_some_and(|at| now < at + CURRENT);
        for _ in 0..BATCH {
            let Ok((length, _)) = self.packets.try_recv_from(buffer) else {
                return;
            };
            self.stats.count_received();
            let inner = &buffer[..length];
            if length > MAX_INNER {
                continue;
            }
            match (self.codec.inbound)(inner) {
                Ok(segment) => {
                    self.dispatch
                        .packet(now, &directory, current, &segment, inner, actions);
                    for action in actions.drain(..) {
                        self.act(action, inner, Some(&segment), out);
                    }
                }
                Err(reason) => debug!(self.log, "invalid packet"; "reason" => %reason),
            }
        }
    }

    fn act(&self, action: Action, inner: &[u8], segment: Option<&Segment>, out: &mut Vec<u8>) {
        match action {
            Action::Send(header) => self.send(&header, inner, out),
            Action::Resend {
                flow,
                header,
                inner,
            } => {
                debug!(self.log, "no owner heard of; trying the next candidate"; "flow" => %flow,
                    "hop" => header.hop);
                self.send(&header, &inner, out);
            }
            Action::Refuse(reason) => {
                if let Some(segment) = segment {
                    debug!(self.log, "refused"; "flow" => %segment.flow, "reason" => %reason);
                    self.reset(segment.flow, out);
                }
            }
            Action::Drop(reason) => debug!(self.log, "dropped"; "reason" => %reason),
        }
    }

    fn send(&self, header: &Header, inner: &[u8], out: &mut Vec<u8>) {
        let Some(target) = header.target() else {
            return;
        };
        let sent = wire::encode_packet(&self.key, header, inner, out).is_ok()
            && self.packets.try_send_to(out, target.address.into()).is_ok();
        if !sent {
            debug!(self.log, "packet not sent"; "to" => %target.address);
        }
    }

    fn reset(&self, flow: Flow, out: &mut Vec<u8>) {
        (self.codec.reset)(flow, 0, out);
        let caller = SocketAddr::from((*flow.caller.ip(), self.callers));
        if let Err(error) = self.packets.try_send_to(out, caller) {
            debug!(self.log, "reset not sent"; "flow" => %flow, "error" => %error);
        }
    }
}
