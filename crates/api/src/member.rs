//! Members of a service.

use std::net::SocketAddrV4;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use units::{DataCentre, Epoch, HostName, Incarnation, Millis, ServiceId, Slots, Weight};

/// State of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum MemberState {
    /// Takes a share of new work that rises over the warm-up.
    Warming,
    /// Takes new work.
    Serving,
    /// Takes no new work, keeps its flows.
    Draining,
}

impl MemberState {
    /// Whether new work may go there.
    #[must_use]
    pub fn takes_work(self) -> bool {
        self != Self::Draining
    }
}

/// One agent with its backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Host of the backend server.
    pub host: HostName,
    /// Start of the agent.
    pub incarnation: Incarnation,
    /// UDP address for packets.
    pub packets: SocketAddrV4,
    /// TCP address of the agent's HTTP interface.
    pub http: SocketAddrV4,
    /// Data centre.
    pub centre: DataCentre,
    /// Requests that the backend server runs at the same time.
    pub slots: Slots,
    /// Share of new flows.
    pub weight: Weight,
    /// State.
    pub state: MemberState,
}

/// Members of a service at one epoch, ordered by host, then incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Service.
    pub service: ServiceId,
    /// Version of the table.
    pub epoch: Epoch,
    /// Unix time at which the leader made this version.
    pub changed: Millis,
    /// Members; a host stands twice while its agent is replaced.
    pub members: Vec<Member>,
}

/// Change from one epoch to a later one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDelta {
    /// Service.
    pub service: ServiceId,
    /// Epoch that the receiver must hold.
    pub from: Epoch,
    /// Epoch after the change.
    pub to: Epoch,
    /// Unix time of the newest change.
    pub changed: Millis,
    /// Members that are new or differ.
    pub put: Vec<Member>,
    /// Members that left.
    pub gone: Vec<(HostName, Incarnation)>,
}

/// Snapshot or change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableUpdate {
    /// The whole table.
    Snapshot(Table),
    /// The change since an epoch that the receiver holds.
    Delta(TableDelta),
}

impl Table {
    /// Whether the update was applied; an older, equal or unfitting one is refused.
    pub fn apply(&mut self, update: &TableUpdate) -> bool {
        match update {
            TableUpdate::Snapshot(table) => {
                let newer = table.service == self.service && table.epoch > self.epoch;
                if newer {
                    self.clone_from(table);
                }
                newer
            }
            TableUpdate::Delta(delta) => {
                let fits = delta.service == self.service
                    && delta.from == self.epoch
                    && delta.to > self.epoch;
                if fits {
                    self.apply_delta(delta);
                }
                fits
            }
        }
    }

    fn apply_delta(&mut self, delta: &TableDelta) {
        let replaced = |m: &Member| {
            let put = delta
                .put
                .iter()
                .any(|new| new.host == m.host && new.incarnation == m.incarnation);
            put || delta
                .gone
                .iter()
                .any(|(host, inc)| *host == m.host && *inc == m.incarnation)
        };
        self.members.retain(|m| !replaced(m));
        self.members.extend(delta.put.iter().cloned());
        self.members
            .sort_by(|a, b| (&a.host, a.incarnation).cmp(&(&b.host, b.incarnation)));
        self.epoch = delta.to;
        self.changed = delta.changed;
    }
}
