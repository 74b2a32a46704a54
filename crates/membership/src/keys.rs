//! Key sets of idempotency keys, and the horizon up to which they are final.

use std::collections::BTreeMap;

use api::{KeyMember, Table};
use state::State;
use tokio::time::Instant;
use units::{HostName, Millis};

use crate::{Action, Membership, Now};

/// How far the horizon lies in the future after an extension.
pub const HORIZON_MARGIN: Millis = Millis(30_000);

/// Time between extensions of the horizon.
pub const HORIZON_INTERVAL: Millis = Millis(10_000);

/// Delay between a change of members and the proposal of a key set, so that
/// hosts that start together are put into one set.
const SETTLE_DELAY: Millis = Millis(1_000);

impl Membership {
    pub(crate) fn extend_horizon(&self, now: Now, state: &State, out: &mut Vec<Action>) {
        let remaining = state.horizon().since(now.unix);
        let keeps_keys = state.tables().any(|table| state.stores_keys(table.service));
        if keeps_keys && remaining.0 <= HORIZON_MARGIN.0 - HORIZON_INTERVAL.0 {
            let until = Millis(now.unix.0 + HORIZON_MARGIN.0);
            out.push(Action::Propose(state::Action::Horizon(until)));
        }
    }

    /// Proposes a key set for each service whose members differ from its last one.
    ///
    /// A service has at most one key set that has not started yet.
    pub(crate) fn renew_keys(&mut self, now: Now, state: &State, out: &mut Vec<Action>) {
        let mut stale_since = BTreeMap::<_, Instant>::new();
        let keeps_keys = |table: &&Table| state.stores_keys(table.service);
        for table in state.tables().filter(keeps_keys) {
            let members = key_members(table);
            let last = state.latest_key_set(table.service);
            if members.is_empty() || last.is_some_and(|set| set.members == members) {
                continue;
            }
            let since = self.stale_since.get(&table.service).copied();
            let since = since.unwrap_or(now.mono);
            stale_since.insert(table.service, since);
            let last_started = last.is_none_or(|set| set.start <= state.horizon());
            if last_started && now.mono >= since + SETTLE_DELAY.duration() {
                out.push(Action::Propose(state::Action::KeySet {
                    service: table.service,
                    members,
                }));
            }
        }
        self.stale_since = stale_since;
    }
}

/// Agents that accept new work, the newest incarnation of each host.
fn key_members(table: &Table) -> Vec<KeyMember> {
    let mut newest: BTreeMap<&HostName, KeyMember> = BTreeMap::new();
    for member in table.members.iter().filter(|m| m.state.takes_work()) {
        let key = KeyMember {
            host: member.host.clone(),
            incarnation: member.incarnation,
            http: member.http,
        };
        let current = newest.entry(&member.host).or_insert_with(|| key.clone());
        if current.incarnation < key.incarnation {
            *current = key;
        }
    }
    newest.into_values().collect()
}
