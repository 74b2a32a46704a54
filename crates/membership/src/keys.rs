//! Key sets and the horizon.

use std::collections::BTreeMap;

use api::{KeyMember, Table};
use state::State;
use tokio::time::Instant;
use units::{HostName, Millis};

use crate::{Action, Membership, Now};

/// How far the horizon is ahead after an extension.
pub const HORIZON: Millis = Millis(30_000);

/// Time between extensions of the horizon.
pub const HORIZON_STEP: Millis = Millis(10_000);

/// Time for which members may still change before a key set is made of them,
/// so that hosts that start together come into one set.
const SETTLE: Millis = Millis(1_000);

impl Membership {
    pub(crate) fn extend_horizon(&self, now: Now, state: &State, out: &mut Vec<Action>) {
        let left = state.horizon().since(now.unix);
        let keyed = state.tables().any(|table| state.stores_keys(table.service));
        if keyed && left.0 <= HORIZON.0 - HORIZON_STEP.0 {
            let until = Millis(now.unix.0 + HORIZON.0);
            out.push(Action::Propose(state::Action::Horizon(until)));
        }
    }

    /// Proposes a key set where members differ, one that has not started at most.
    pub(crate) fn renew_keys(&mut self, now: Now, state: &State, out: &mut Vec<Action>) {
        let mut stale = BTreeMap::<_, Instant>::new();
        let keyed = |table: &&Table| state.stores_keys(table.service);
        for table in state.tables().filter(keyed) {
            let members = key_members(table);
            let last = state.latest_key_set(table.service);
            if members.is_empty() || last.is_some_and(|set| set.members == members) {
                continue;
            }
            let since = self.stale_keys.get(&table.service).copied();
            let since = since.unwrap_or(now.mono);
            stale.insert(table.service, since);
            let open = last.is_none_or(|set| set.start <= state.horizon());
            if open && now.mono >= since + SETTLE.duration() {
                out.push(Action::Propose(state::Action::KeySet {
                    service: table.service,
                    members,
                }));
            }
        }
        self.stale_keys = stale;
    }
}

/// Agents that take work, the newest of each host.
fn key_members(table: &Table) -> Vec<KeyMember> {
    let mut newest: BTreeMap<&HostName, KeyMember> = BTreeMap::new();
    for member in table.members.iter().filter(|m| m.state.takes_work()) {
        let key = KeyMember {
            host: member.host.clone(),
            incarnation: member.incarnation,
            http: member.http,
        };
        let known = newest.entry(&member.host).or_insert_with(|| key.clone());
        if known.incarnation < key.incarnation {
            *known = key;
        }
    }
    newest.into_values().collect()
}
