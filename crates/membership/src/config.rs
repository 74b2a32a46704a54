//! Tracks which configuration version is in force.

use api::Pending;
use state::State;
use tokio::time::Instant;
use units::HostName;

use crate::{Action, Membership, Now};

/// Maximum number of lost hosts listed with a version, so that the loss of a region
/// does not make an entry too large for the log.
pub const MAX_MISSING_HOSTS: usize = 1_024;

impl Membership {
    /// Proposes the newest version that every live node reports.
    ///
    /// A new leader waits for a full lease first, because it does not know yet
    /// which nodes are live.
    pub(crate) fn propose_in_force(&self, now: Now, state: &State, out: &mut Vec<Action>) {
        if state.in_force() >= state.config() || !self.full_lease_passed(now) {
            return;
        }
        let live = self.nodes(now.mono).filter(|(_, _, live)| *live);
        let versions: Vec<_> = live.map(|(_, node, _)| node.config).collect();
        let version = versions.iter().copied().min().unwrap_or(state.config());
        let version = version.min(state.config());
        if version <= state.in_force() {
            return;
        }
        let lost = self.nodes(now.mono).filter(|(_, _, live)| !live);
        let mut missing: Vec<HostName> = lost
            .filter(|(_, node, _)| node.config < version)
            .map(|((_, host, _), _, _)| host.clone())
            .collect();
        missing.dedup();
        missing.truncate(MAX_MISSING_HOSTS);
        out.push(Action::Propose(state::Action::InForce {
            version,
            nodes: u32::try_from(versions.len()).unwrap_or(u32::MAX),
            missing,
        }));
    }

    /// Newest version and the live nodes that lack it; `None` if it is in force everywhere.
    #[must_use]
    pub fn pending(&self, now: Instant, state: &State) -> Option<Pending> {
        if state.in_force() >= state.config() {
            return None;
        }
        let live = self.nodes(now).filter(|(_, _, live)| *live);
        let outdated = live.filter(|(_, node, _)| node.config < state.config());
        Some(Pending {
            version: state.config(),
            missing: outdated.map(|((_, host, _), _, _)| host.clone()).collect(),
        })
    }
}
