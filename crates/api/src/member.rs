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
    /// Accepts a share of new work that increases during the warm-up.
    Warming,
    /// Accepts new work.
    Serving,
    /// Accepts no new work, keeps its flows.
    Draining,
}

impl MemberState {
    /// Whether the member accepts new work.
    #[must_use]
    pub fn takes_work(self) -> bool {
        self != Self::Draining
    }
}

/// An agent with its backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Host of the backend server.
    pub host: HostName,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// UDP address for packets.
    pub packets: SocketAddrV4,
    /// TCP address of the agent's HTTP interface.
    pub http: SocketAddrV4,
    /// Data centre.
    pub centre: DataCentre,
    /// Maximum number of concurrent requests at the backend server.
    pub slots: Slots,
    /// Weight in the distribution of new flows.
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
    /// Unix time at which the leader created this version.
    pub changed: Millis,
    /// Members; a host is listed twice while its agent is replaced.
    pub members: Vec<Member>,
}

/// Change from one epoch to a later one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDelta {
    /// Service.
    pub service: ServiceId,
    /// Epoch that the receiver must have.
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

/// Update of a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableUpdate {
    /// Complete table.
    Snapshot(Table),
    /// Change since an epoch that the receiver has.
    Delta(TableDelta),
}

impl Table {
    /// Applies an update and returns whether it was applied. An update of another service, one
    /// that is not newer, and a delta from another epoch are ignored.
    pub fn apply(&mut self, update: &TableUpdate) -> bool {
        match update {
            TableUpdate::Snapshot(table) => {
                let applicable = table.service == self.service && table.epoch > self.epoch;
                if applicable {
                    self.clone_from(table);
                }
                applicable
            }
            TableUpdate::Delta(delta) => {
                let applicable = delta.service == self.service
                    && delta.from == self.epoch
                    && delta.to > self.epoch;
                if applicable {
                    self.apply_delta(delta);
                }
                applicable
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
