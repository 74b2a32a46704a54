//! Packet loop of a balancer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dispatch::{Action, Directory, Dispatcher, DropReason};
use rpc::Key;
use slog::{info, warn};
use startup::Rank;
use tokio::io::Interest;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use units::Flow;
use wire::{Codec, Header, MAX_DATAGRAM, MAX_INNER, Message, Segment};

use super::outcome::Outcome;
use super::stats::BalancerStats;
use crate::tally::Tally;

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
    pub(super) dispatch: Dispatcher,
    pub(super) directory: watch::Receiver<Arc<Directory>>,
    pub(super) heard: watch::Receiver<Option<Instant>>,
    pub(super) callers: u16,
    pub(super) stats: Arc<BalancerStats>,
    pub(super) tally: Tally<Outcome>,
}

impl Packets {
    /// Handles packets until the task is dropped.
    pub(super) async fn run(mut self) {
        let mut buffer = [0; MAX_DATAGRAM + 1];
        let mut actions = Vec::new();
        let mut out = Vec::with_capacity(MAX_DATAGRAM);
        loop {
            let since = Instant::now();
            let due = self.dispatch.deadline().unwrap_or(since + IDLE);
            // Readiness that can't be awaited shows as an error of the next receive.
            tokio::select! {
                _ = self.notices.ready(Interest::READABLE) => {}
                _ = self.packets.ready(Interest::READABLE) => {}
                () = sleep_until(due) => {}
            }
            self.tally.woke(since, due);
            self.receive_notices(&mut buffer);
            self.receive_packets(&mut buffer, &mut actions, &mut out);
            let now = Instant::now();
            if self.dispatch.deadline().is_some_and(|due| due <= now) {
                self.dispatch.tick(now, &mut actions);
                for action in actions.drain(..) {
                    self.act(action, &[], None, &mut out);
                }
            }
            self.measure();
            tokio::task::yield_now().await;
        }
    }

    fn receive_notices(&mut self, buffer: &mut [u8]) {
        let now = Instant::now();
        for _ in 0..BATCH {
            // Anything but a datagram ends the batch; the next wait reports lasting trouble.
            let Ok((length, from)) = self.notices.try_recv_from(buffer) else {
                return;
            };
            match wire::decode(&self.key, &buffer[..length]) {
                Ok(Message::Notice(notice)) => {
                    self.tally.count(Outcome::Notice);
                    self.dispatch.handle_notice(now, &notice);
                }
                Ok(Message::Packet { .. }) => self.foreign(from, &"packet at the notice address"),
                Err(error) => self.foreign(from, &error),
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
                        .handle_packet(now, &directory, current, &segment, inner, actions);
                    for action in actions.drain(..) {
                        self.act(action, inner, Some(&segment), out);
                    }
                }
                Err(reason) => {
                    self.tally.count(Outcome::Invalid(reason));
                    if let Some(log) = self.tally.line(Rank::Unusual, now) {
                        warn!(log, "invalid packet"; "reason" => %reason);
                    }
                }
            }
        }
    }

    fn act(&mut self, action: Action, inner: &[u8], segment: Option<&Segment>, out: &mut Vec<u8>) {
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
                self.tally.count(Outcome::Unanswered);
                if let Some(log) = self.tally.line(Rank::Unusual, Instant::now()) {
                    info!(log, "no owner heard of; SYN sent to the next candidate";
                        "flow" => %flow, "to" => target(&header), "hop" => header.hop,
                        "epoch" => header.epoch.0);
                }
                self.send(&header, &inner, out);
            }
            Action::Refuse(reason) => {
                self.tally.count(Outcome::Refused(reason));
                if let Some(segment) = segment {
                    self.not_sent("refused", segment.flow, reason);
                    self.reset(segment.flow, out);
                }
            }
            Action::Drop(reason) => {
                self.tally.count(Outcome::Dropped(reason));
                if let Some(segment) = segment {
                    self.not_sent("dropped", segment.flow, reason);
                }
            }
        }
    }

    fn sent(&mut self, segment: &Segment, header: &Header) {
        let (outcome, message) = match (segment.opens(), header.hints.owned) {
            (true, _) => (Outcome::Syn, "SYN sent"),
            (false, true) => (Outcome::Owned, ""),
            (false, false) => (
                Outcome::Searched,
                "owner not known; sent to where it may be",
            ),
        };
        self.tally.count(outcome);
        if outcome == Outcome::Owned {
            return;
        }
        let (config, age) = self.view();
        if let Some(log) = self.tally.line(Rank::Usual, Instant::now()) {
            info!(log, "{message}"; "flow" => %segment.flow, "to" => target(header),
                "candidates" => header.candidates.len(), "service" => header.service.0,
                "epoch" => header.epoch.0, "config" => config, "view_age_ms" => age);
        }
    }

    fn not_sent(&mut self, outcome: &str, flow: Flow, reason: DropReason) {
        let (config, age) = self.view();
        let (transfers, most) = self.dispatch.transfers();
        if let Some(log) = self.tally.line(Rank::Unusual, Instant::now()) {
            warn!(log, "{outcome}"; "flow" => %flow, "reason" => %reason,
                "config" => config, "view_age_ms" => age,
                "transfers" => transfers, "transfers_most" => most);
        }
    }

    /// Configuration in force, and how long ago control confirmed it, in ms.
    fn view(&self) -> (u64, Option<u64>) {
        let heard = *self.heard.borrow();
        let age = heard.map(|at| u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX));
        (self.directory.borrow().config_version().0, age)
    }

    fn foreign(&mut self, from: SocketAddr, error: &dyn std::fmt::Display) {
        self.tally.count(Outcome::Foreign);
        if let Some(log) = self.tally.line(Rank::Unusual, Instant::now()) {
            warn!(log, "invalid datagram"; "from" => %from, "error" => %error);
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

    fn reset(&mut self, flow: Flow, out: &mut Vec<u8>) {
        (self.codec.reset)(flow, 0, out);
        self.put(out, (*flow.caller.ip(), self.callers).into());
    }

    fn put(&mut self, datagram: &[u8], to: SocketAddr) {
        if let Err(error) = self.packets.try_send_to(datagram, to) {
            self.unsent(to, &error);
        }
    }

    fn unsent(&mut self, to: SocketAddr, error: &dyn std::error::Error) {
        self.tally.count(Outcome::Unsent);
        if let Some(log) = self.tally.line(Rank::Unusual, Instant::now()) {
            warn!(log, "datagram not sent"; "to" => %to, "error" => %error);
        }
    }

    fn measure(&mut self) {
        self.tally.count(Outcome::Round);
        let (dispatch, config) = (&self.dispatch, self.directory.borrow().config_version().0);
        self.tally.send(Instant::now(), || {
            let (transfers, most) = dispatch.transfers();
            [
                ("owners", dispatch.owner_count() as u64),
                ("config", config),
                ("transfers", transfers as u64),
                ("transfers_most", most.unwrap_or(0) as u64),
            ]
        });
    }
}

fn target(header: &Header) -> Option<String> {
    header.target().map(|target| target.address.to_string())
}
