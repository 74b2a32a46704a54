//! Derives table versions from leases.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use api::{Member, MemberState, Role, Table, TargetKind};
use state::{State, TableChange};
use units::{HostName, Incarnation, ServiceName};

use crate::{Action, COALESCE_WINDOW, Membership, Node, NodeKey, Now};

/// Maximum number of changed members in one proposal. At 200 bytes each they stay
/// below the maximum command size of 1 MB; the rest goes into the next proposal.
pub const MAX_CHANGED_MEMBERS: usize = 2_048;

/// Newest live incarnation by announced packet address.
type AddressOwners = BTreeMap<SocketAddrV4, Incarnation>;

impl Membership {
    /// Marks every table dirty when a planned change starts or ends.
    pub(crate) fn apply_planned_changes(&mut self, now: Now, state: &State) {
        let active = state.plans().filter(|plan| {
            plan.target.kind == TargetKind::BackendServer && plan.is_active(now.unix)
        });
        let drained_hosts: BTreeSet<_> = active.map(|plan| plan.target.host.clone()).collect();
        if drained_hosts != self.drained_hosts {
            self.drained_hosts = drained_hosts;
            for table in state.tables() {
                self.mark_dirty(now, table.service);
            }
        }
    }

    /// Proposes one command with the changes of all dirty tables, once the
    /// coalescing window has passed since the first change.
    pub(crate) fn propose_changes(&mut self, now: Now, state: &State, out: &mut Vec<Action>) {
        let full_lease_passed = self.full_lease_passed(now);
        let Some(leader) = &mut self.leader else {
            return;
        };
        if self.dirty.is_empty() {
            return;
        }
        let since = *leader.dirty_since.get_or_insert(now.mono);
        if now.mono < since + COALESCE_WINDOW.duration() {
            return;
        }
        leader.dirty_since = None;
        let owners = self.address_owners();
        let mut changes = Vec::new();
        let mut still_dirty = BTreeSet::new();
        let mut remaining = MAX_CHANGED_MEMBERS;
        for id in std::mem::take(&mut self.dirty) {
            let Some(table) = state.table(id) else {
                continue;
            };
            let Some(entry) = state.services().find(|entry| entry.id == id) else {
                continue;
            };
            let desired = self.desired_members(&entry.body.name, &owners);
            let has_departed = |host: &HostName, incarnation: Incarnation| {
                self.departed.contains(&(id, host.clone(), incarnation))
            };
            let (mut change, unconfirmed) =
                table_change(table, desired, full_lease_passed, &owners, has_departed);
            change.put.truncate(remaining);
            change.gone.truncate(remaining - change.put.len());
            remaining -= change.put.len() + change.gone.len();
            if unconfirmed {
                still_dirty.insert(id);
            }
            if !change.put.is_empty() || !change.gone.is_empty() {
                changes.push(change);
                // Stays dirty until a later tick finds the change committed.
                still_dirty.insert(id);
            }
            if remaining == 0 {
                still_dirty.insert(id);
            }
        }
        self.dirty = still_dirty;
        self.departed.retain(|(id, host, incarnation)| {
            let table = state.table(*id).map(|table| table.members.iter());
            let matches = |m: &Member| m.host == *host && m.incarnation == *incarnation;
            table.is_some_and(|mut members| members.any(matches))
        });
        if !changes.is_empty() {
            out.push(Action::Propose(state::Action::Members(changes)));
        }
    }

    fn address_owners(&self) -> AddressOwners {
        let mut owners = AddressOwners::new();
        for ((_, _, incarnation), node) in &self.nodes {
            if let (Some(backend), Some(_)) = (&node.backend, node.effective_state) {
                let newest = owners.entry(backend.packets).or_default();
                *newest = (*newest).max(*incarnation);
            }
        }
        owners
    }

    /// Members that a service should have according to the leases.
    fn desired_members(
        &self,
        service: &ServiceName,
        owners: &AddressOwners,
    ) -> BTreeMap<(HostName, Incarnation), Member> {
        let mut desired: BTreeMap<_, Member> = BTreeMap::new();
        for (key, node) in self.nodes.iter().rev() {
            let Some(mut member) = self.member(key, node, service) else {
                continue;
            };
            if owners.get(&member.packets) > Some(&member.incarnation) {
                continue;
            }
            let has_successor = desired.values().any(|m| {
                m.host == member.host && m.incarnation > member.incarnation && m.state.takes_work()
            });
            if has_successor {
                member.state = MemberState::Draining;
            }
            desired.insert((member.host.clone(), member.incarnation), member);
        }
        desired
    }

    fn member(&self, key: &NodeKey, node: &Node, service: &ServiceName) -> Option<Member> {
        let (role, host, incarnation) = key;
        let backend = node.backend.as_ref().filter(|b| b.service == *service)?;
        let mut state = node.effective_state.filter(|_| *role == Role::Agent)?;
        if self.drained_hosts.contains(host) {
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

/// Change that turns a table into the desired members, and whether members without
/// a heartbeat were kept because the leader is new.
fn table_change(
    table: &Table,
    mut desired: BTreeMap<(HostName, Incarnation), Member>,
    full_lease_passed: bool,
    owners: &AddressOwners,
    has_departed: impl Fn(&HostName, Incarnation) -> bool,
) -> (TableChange, bool) {
    let mut change = TableChange {
        service: table.service,
        ..TableChange::default()
    };
    let mut unconfirmed = false;
    for member in &table.members {
        let key = (member.host.clone(), member.incarnation);
        match desired.remove(&key) {
            Some(desired) if desired == *member => {}
            Some(desired) => change.put.push(desired),
            None if full_lease_passed
                || has_departed(&member.host, member.incarnation)
                || owners.get(&member.packets) > Some(&member.incarnation) =>
            {
                change.gone.push(key);
            }
            None => unconfirmed = true,
        }
    }
    change.put.extend(desired.into_values());
    (change, unconfirmed)
}
