//! From leases to table versions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use api::{Member, MemberState, Role, Table, TargetKind};
use state::{State, TableChange};
use units::{HostName, Incarnation, ServiceName};

use crate::{Action, COALESCE, Membership, Node, NodeKey, Now};

/// Members in one proposal; 200 bytes each stay below the largest command of
/// 1 MB. What is left over comes with the next one.
pub const MAX_CHANGED: usize = 2_048;

/// Newest incarnation that announced an address.
type Holders = BTreeMap<SocketAddrV4, Incarnation>;

impl Membership {
    /// Marks every table when a planned change starts or ends.
    pub(crate) fn apply_plans(&mut self, now: Now, state: &State) {
        let active = state.plans().filter(|plan| {
            plan.target.kind == TargetKind::BackendServer && plan.is_active(now.unix)
        });
        let drained: BTreeSet<_> = active.map(|plan| plan.target.host.clone()).collect();
        if drained != self.drained {
            self.drained = drained;
            for table in state.tables() {
                self.mark(now, table.service);
            }
        }
    }

    /// Proposes one change for all tables once the first one has waited long enough.
    pub(crate) fn flush(&mut self, now: Now, state: &State, out: &mut Vec<Action>) {
        let settled = self.settled(now);
        let Some(leading) = &mut self.leading else {
            return;
        };
        if self.dirty.is_empty() {
            return;
        }
        let since = *leading.dirty_since.get_or_insert(now.mono);
        if now.mono < since + COALESCE.duration() {
            return;
        }
        leading.dirty_since = None;
        let holders = self.holders();
        let mut changes = Vec::new();
        let mut waiting = BTreeSet::new();
        let mut room = MAX_CHANGED;
        for id in std::mem::take(&mut self.dirty) {
            let Some(table) = state.table(id) else {
                continue;
            };
            let Some(name) = state.services().find(|entry| entry.id == id) else {
                continue;
            };
            let wanted = self.wanted(&name.body.name, &holders);
            let left = |host: &HostName, incarnation: Incarnation| {
                self.left.contains(&(id, host.clone(), incarnation))
            };
            let (mut change, unheard) = difference(table, wanted, settled, &holders, left);
            change.put.truncate(room);
            change.gone.truncate(room - change.put.len());
            room -= change.put.len() + change.gone.len();
            if unheard {
                waiting.insert(id);
            }
            if !change.put.is_empty() || !change.gone.is_empty() {
                changes.push(change);
                // Stays marked until a later tick sees it in the state.
                waiting.insert(id);
            }
            if room == 0 {
                waiting.insert(id);
            }
        }
        self.dirty = waiting;
        self.left.retain(|(id, host, incarnation)| {
            let table = state.table(*id).map(|table| table.members.iter());
            let is = |m: &Member| m.host == *host && m.incarnation == *incarnation;
            table.is_some_and(|mut members| members.any(is))
        });
        if !changes.is_empty() {
            out.push(Action::Propose(state::Action::Members(changes)));
        }
    }

    fn holders(&self) -> Holders {
        let mut holders = Holders::new();
        for ((_, _, start), node) in &self.nodes {
            if let (Some(backend), Some(_)) = (&node.backend, node.shown) {
                let newest = holders.entry(backend.packets).or_default();
                *newest = (*newest).max(*start);
            }
        }
        holders
    }

    /// Members of a service as the leases say.
    fn wanted(
        &self,
        service: &ServiceName,
        holders: &Holders,
    ) -> BTreeMap<(HostName, Incarnation), Member> {
        let mut wanted: BTreeMap<_, Member> = BTreeMap::new();
        for (key, node) in self.nodes.iter().rev() {
            let Some(mut member) = self.member(key, node, service) else {
                continue;
            };
            if holders.get(&member.packets) > Some(&member.incarnation) {
                continue;
            }
            let later = wanted.values().any(|m| {
                m.host == member.host && m.incarnation > member.incarnation && m.state.takes_work()
            });
            if later {
                member.state = MemberState::Draining;
            }
            wanted.insert((member.host.clone(), member.incarnation), member);
        }
        wanted
    }

    fn member(&self, key: &NodeKey, node: &Node, service: &ServiceName) -> Option<Member> {
        let (role, host, incarnation) = key;
        let backend = node.backend.as_ref().filter(|b| b.service == *service)?;
        let mut state = node.shown.filter(|_| *role == Role::Agent)?;
        if self.drained.contains(host) {
            state = MemberState::Draining;
        }
        Some(Member {
            host: host.clone(),
            incarnation: *incarnation,
            packets: backend.packets,
            http: backend.http,
            centre: node.centre.clone(),
            slots: backend.slots,
            weight: backend.weight,
            state,
        })
    }
}

/// Change from a table to the wanted members, and whether members that are not
/// heard of yet were kept because the leader is new.
fn difference(
    table: &Table,
    mut wanted: BTreeMap<(HostName, Incarnation), Member>,
    settled: bool,
    holders: &Holders,
    left: impl Fn(&HostName, Incarnation) -> bool,
) -> (TableChange, bool) {
    let mut change = TableChange {
        service: table.service,
        ..TableChange::default()
    };
    let mut unheard = false;
    for member in &table.members {
        let key = (member.host.clone(), member.incarnation);
        match wanted.remove(&key) {
            Some(now) if now == *member => {}
            Some(now) => change.put.push(now),
            None if settled
                || left(&member.host, member.incarnation)
                || holders.get(&member.packets) > Some(&member.incarnation) =>
            {
                change.gone.push(key);
            }
            None => unheard = true,
        }
    }
    change.put.extend(wanted.into_values());
    (change, unheard)
}
