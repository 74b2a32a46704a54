//! Log lines and metrics of an agent's packet loop.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use forwarding::{DropReason, Reason, UnplacedSyn};
use slog::{info, warn};
use startup::LinePriority;
use tokio::time::Instant;
use units::Flow;
use wire::Header;

use super::outcome::Outcome;
use super::packet_loop::PacketLoop;

impl PacketLoop {
    pub(super) fn delivered(&mut self, flow: Flow, reason: Reason) {
        self.telemetry.count(Outcome::Delivered(reason));
        let rank = match reason {
            Reason::Held => return,
            Reason::Offer => LinePriority::High,
            _ => LinePriority::Low,
        };
        let (load, epoch) = (self.forwarder.load(), self.forwarder.epoch());
        if let Some(log) = self.telemetry.flow_log(rank, Instant::now()) {
            info!(log, "delivered to the backend server"; "flow" => %flow, "reason" => %reason,
                "busy" => load.busy, "slots" => load.slots, "open" => load.open, "epoch" => epoch);
        }
    }

    pub(super) fn queued(&mut self, flow: Flow) {
        self.telemetry.count(Outcome::Held);
        let (load, waiting) = (self.forwarder.load(), self.forwarder.queued_syns());
        if let Some(log) = self.telemetry.flow_log(LinePriority::High, Instant::now()) {
            info!(log, "SYN queued for a free slot"; "flow" => %flow, "waiting" => waiting,
                "busy" => load.busy, "slots" => load.slots);
        }
    }

    pub(super) fn admitted(&mut self, flow: Flow, waited: Duration) {
        self.telemetry.count(Outcome::Admitted);
        self.telemetry.record_time("wait", waited);
        let waiting = self.forwarder.queued_syns();
        if let Some(log) = self.telemetry.flow_log(LinePriority::Low, Instant::now()) {
            info!(log, "delivered to the backend server"; "flow" => %flow, "reason" => "waited",
                "waited_ms" => u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
                "waiting" => waiting);
        }
    }

    pub(super) fn passed_on(&mut self, flow: Flow, header: &Header, reason: Reason) {
        self.telemetry.count(Outcome::PassedOn(reason));
        let rank = match reason {
            Reason::Redirect => LinePriority::Low,
            _ => LinePriority::High,
        };
        let (load, epoch) = (self.forwarder.load(), self.forwarder.epoch());
        if let Some(log) = self.telemetry.flow_log(rank, Instant::now()) {
            info!(log, "passed on"; "flow" => %flow, "reason" => %reason,
                "to" => header.target().map(|to| to.address.to_string()), "hop" => header.hop,
                "busy" => load.busy, "slots" => load.slots, "open" => load.open, "epoch" => epoch);
        }
    }

    pub(super) fn syn_unanswered(&mut self, flow: Flow, header: &Header) {
        self.telemetry.count(Outcome::SynUnanswered);
        if let Some(log) = self.telemetry.flow_log(LinePriority::High, Instant::now()) {
            info!(log, "passed on"; "flow" => %flow, "reason" => "syn_unanswered",
                "to" => header.target().map(|to| to.address.to_string()), "hop" => header.hop);
        }
    }

    pub(super) fn reset(&mut self, flow: Flow, reason: Reason) {
        self.telemetry.count(Outcome::Reset(reason));
        let (load, epoch) = (self.forwarder.load(), self.forwarder.epoch());
        if let Some(log) = self.telemetry.flow_log(LinePriority::High, Instant::now()) {
            warn!(log, "reset"; "flow" => %flow, "reason" => %reason,
                "busy" => load.busy, "slots" => load.slots, "open" => load.open, "epoch" => epoch);
        }
    }

    /// Logs that no agent accepts a SYN, and the agents that it visited.
    pub(super) fn unplaced(&mut self, syn: &UnplacedSyn, reason: Reason) {
        self.telemetry.count(Outcome::Unplaced(reason));
        let (load, epoch) = (self.forwarder.load(), self.forwarder.epoch());
        if let Some(log) = self.telemetry.flow_log(LinePriority::High, Instant::now()) {
            let waited = u64::try_from(syn.waited.as_millis()).unwrap_or(u64::MAX);
            let header = &syn.header;
            warn!(log, "SYN not accepted; returned to the balancer"; "flow" => %syn.flow, "reason" => %reason,
                "copy" => syn.copy_number, "visited" => visited(header), "waited_ms" => waited,
                "origin" => header.hints.origin.map(|to| to.to_string()),
                "busy" => load.busy, "slots" => load.slots, "open" => load.open, "epoch" => epoch);
        }
    }

    pub(super) fn not_held(&mut self, flow: Flow, to: SocketAddrV4) {
        self.telemetry.count(Outcome::NotHeld);
        let epoch = self.forwarder.epoch();
        if let Some(log) = self.telemetry.flow_log(LinePriority::High, Instant::now()) {
            info!(log, "flow not held by this service; packet returned to the balancer";
                "flow" => %flow, "to" => %to, "epoch" => epoch);
        }
    }

    pub(super) fn dropped(&mut self, flow: Flow, reason: DropReason) {
        self.telemetry.count(Outcome::Dropped(reason));
        let epoch = self.forwarder.epoch();
        // Stray packets are duplicates of offered packets that were already forwarded. After a restart
        // there are thousands per second.
        let rank = match reason {
            DropReason::Stray => LinePriority::Low,
            _ => LinePriority::High,
        };
        if let Some(log) = self.telemetry.flow_log(rank, Instant::now()) {
            warn!(log, "dropped"; "flow" => %flow, "reason" => %reason, "epoch" => epoch);
        }
    }

    /// Logs that the backend server reset a flow.
    pub(super) fn reset_by_backend(&mut self, flow: Flow) {
        self.telemetry.count(Outcome::ResetByBackend);
        let (load, failing) = (self.forwarder.load(), self.forwarder.is_backend_failing());
        if let Some(log) = self.telemetry.flow_log(LinePriority::High, Instant::now()) {
            warn!(log, "reset by the backend server"; "flow" => %flow, "failing" => failing,
                "busy" => load.busy, "slots" => load.slots, "open" => load.open);
        }
    }

    pub(super) fn unsent(&mut self, to: SocketAddr, error: &dyn std::error::Error) {
        self.telemetry.count(Outcome::Unsent);
        if let Some(log) = self.telemetry.flow_log(LinePriority::High, Instant::now()) {
            warn!(log, "datagram not sent"; "to" => %to, "error" => %error);
        }
    }

    /// Sends metrics, and logs when the backend server stops answering, fails or recovers.
    pub(super) fn report_status(&mut self) {
        self.telemetry.count(Outcome::Iteration);
        for (timing, time) in self.forwarder.drain_timings() {
            self.telemetry.record_time(&timing.to_string(), time);
        }
        let silent = self.forwarder.is_backend_unresponsive();
        if silent != self.logged_silent {
            self.logged_silent = silent;
            if silent {
                warn!(
                    self.telemetry.log,
                    "backend server left a SYN unanswered; sending it no new flows"
                );
            } else {
                info!(self.telemetry.log, "backend server responds again");
            }
        }
        let failing = self.forwarder.is_backend_failing();
        if failing != self.logged_failing {
            self.logged_failing = failing;
            if failing {
                warn!(
                    self.telemetry.log,
                    "backend server ends requests without an answer; sending it few new flows"
                );
            } else {
                info!(self.telemetry.log, "backend server answers requests again");
            }
        }
        let forwarder = &self.forwarder;
        self.telemetry.send_metrics(Instant::now(), || {
            let load = forwarder.load();
            [
                ("open", load.open.into()),
                ("busy", load.busy.into()),
                ("held", forwarder.flow_count() as u64),
                ("failing", forwarder.is_backend_failing().into()),
                ("waiting", forwarder.queued_syns() as u64),
                ("redirects", forwarder.redirect_count() as u64),
                ("epoch", forwarder.epoch()),
            ]
        });
    }
}

/// Addresses of the candidates that a packet was sent to, in their order.
fn visited(header: &Header) -> String {
    let visited = header.candidates.iter().take(usize::from(header.hop) + 1);
    let addresses: Vec<_> = visited.map(|c| c.address.to_string()).collect();
    addresses.join(" ")
}
