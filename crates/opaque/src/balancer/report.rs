//! Log lines and metrics of a balancer's packet loop.

use std::net::SocketAddr;
use std::time::Duration;

use dispatch::DropReason;
use slog::{info, warn};
use startup::LinePriority;
use tokio::time::Instant;
use units::Flow;
use wire::{Header, PacketError, Segment};

use super::outcome::Outcome;
use super::packet_loop::PacketLoop;

impl PacketLoop {
    pub(super) fn sent(&mut self, segment: &Segment, header: &Header) {
        let (outcome, message) = match (segment.opens(), header.hints.owner_first) {
            (true, _) => (Outcome::Syn, "SYN sent"),
            (false, true) => (Outcome::Owned, ""),
            (false, false) => (
                Outcome::Searched,
                "owner unknown; packet sent to agents that may know it",
            ),
        };
        self.telemetry.count(outcome);
        if outcome == Outcome::Owned {
            return;
        }
        let (config, age) = self.view();
        let copy = segment.opens().then(|| segment.copy_number());
        if let Some(log) = self.telemetry.flow_log(LinePriority::Low, Instant::now()) {
            info!(log, "{message}"; "flow" => %segment.flow, "copy" => copy, "to" => target(header),
                "candidates" => header.candidates.len(), "service" => header.service.0,
                "epoch" => header.epoch.0, "config" => config, "view_age_ms" => age);
        }
    }

    pub(super) fn syn_unanswered(&mut self, flow: Flow, header: &Header) {
        self.telemetry.count(Outcome::SynUnanswered);
        if let Some(log) = self.telemetry.flow_log(LinePriority::High, Instant::now()) {
            info!(log, "no notice from an owner; SYN sent to the next candidate";
                "flow" => %flow, "to" => target(header), "hop" => header.hop,
                "epoch" => header.epoch.0);
        }
    }

    pub(super) fn searched_again(&mut self, flow: Flow, header: &Header) {
        self.telemetry.count(Outcome::SearchedAgain);
        if let Some(log) = self.telemetry.flow_log(LinePriority::High, Instant::now()) {
            info!(log, "view was read; packet sent to agents of further services";
                "flow" => %flow, "to" => target(header), "service" => header.service.0,
                "epoch" => header.epoch.0);
        }
    }

    /// Logs the reset of a flow that no service has.
    pub(super) fn not_held(&mut self, flow: Flow) {
        self.telemetry.count(Outcome::Reset);
        let (config, age) = self.view();
        let read = self.directory.borrow().read_at();
        let read = read.map(|at| millis(at.elapsed()));
        if let Some(log) = self.telemetry.flow_log(LinePriority::High, Instant::now()) {
            warn!(log, "reset"; "flow" => %flow, "reason" => "not_held",
                "config" => config, "view_age_ms" => age, "read_age_ms" => read);
        }
    }

    /// Logs that a packet waited for a read of the view that control did not serve.
    pub(super) fn unread(&mut self, flow: Flow) {
        self.telemetry.count(Outcome::Unread);
        let (config, age) = self.view();
        if let Some(log) = self.telemetry.flow_log(LinePriority::High, Instant::now()) {
            warn!(log, "dropped"; "flow" => %flow, "reason" => "unread",
                "config" => config, "view_age_ms" => age);
        }
    }

    pub(super) fn not_sent(&mut self, outcome: &str, flow: Flow, reason: DropReason) {
        let (config, age) = self.view();
        let (transfers, limit) = self.dispatcher.transfers();
        if let Some(log) = self.telemetry.flow_log(LinePriority::High, Instant::now()) {
            warn!(log, "{outcome}"; "flow" => %flow, "reason" => %reason,
                "config" => config, "view_age_ms" => age,
                "transfers" => transfers, "transfers_most" => limit);
        }
    }

    /// Configuration version in force, and the time in ms since control confirmed it.
    pub(super) fn view(&self) -> (u64, Option<u64>) {
        let confirmed = *self.view_confirmed.borrow();
        let age = confirmed.map(|at| millis(at.elapsed()));
        (self.directory.borrow().config_version().0, age)
    }

    pub(super) fn invalid_packet(&mut self, now: Instant, reason: PacketError) {
        self.telemetry.count(Outcome::Invalid(reason));
        if let Some(log) = self.telemetry.flow_log(LinePriority::High, now) {
            warn!(log, "invalid packet"; "reason" => %reason);
        }
    }

    pub(super) fn invalid_datagram(&mut self, from: SocketAddr, error: &dyn std::fmt::Display) {
        self.telemetry.count(Outcome::InvalidDatagram);
        if let Some(log) = self.telemetry.flow_log(LinePriority::High, Instant::now()) {
            warn!(log, "invalid datagram"; "from" => %from, "error" => %error);
        }
    }

    pub(super) fn unsent(&mut self, to: SocketAddr, error: &dyn std::error::Error) {
        self.telemetry.count(Outcome::Unsent);
        if let Some(log) = self.telemetry.flow_log(LinePriority::High, Instant::now()) {
            warn!(log, "datagram not sent"; "to" => %to, "error" => %error);
        }
    }

    pub(super) fn send_metrics(&mut self) {
        self.telemetry.count(Outcome::Iteration);
        let (dispatcher, config) = (&self.dispatcher, self.directory.borrow().config_version().0);
        self.telemetry.send_metrics(Instant::now(), || {
            let (transfers, limit) = dispatcher.transfers();
            [
                ("owners", dispatcher.owner_count() as u64),
                ("config", config),
                ("waiting", dispatcher.waiting() as u64),
                ("transfers", transfers as u64),
                ("transfers_most", limit.unwrap_or(0) as u64),
            ]
        });
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn target(header: &Header) -> Option<String> {
    header.target().map(|target| target.address.to_string())
}
