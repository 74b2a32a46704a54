//! Registers flows with their home agents, so that others find the owner there.
//!
//! Only established flows are registered: copies of a SYN may open a flow at
//! two backend servers, and the caller selects one with its first
//! acknowledgement. Notices may be lost, so each registration is sent several
//! times.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::Instant;
use units::{DataCentre, Flow};
use wire::{Candidate, MAX_NOTICE_FLOWS};

use crate::{Action, Forwarder};

/// Interval after which a registration is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Number of times that a registration is sent again.
const RETRIES: u8 = 2;

impl Forwarder {
    /// Returns the data centre of a member; `None` if the current table doesn't contain it.
    pub(crate) fn centre_of(&self, member: Candidate) -> Option<DataCentre> {
        let mut members = self.centres.as_ref()?.members();
        let found = members.find(|(_, known)| known.address == member.address);
        found.map(|(centre, _)| centre.clone())
    }

    /// Home agent of a flow according to the current table.
    fn home_of(&self, flow: &Flow, centre: Option<&DataCentre>) -> Option<Candidate> {
        let own = self.service.as_ref().map(|service| &service.centre);
        let centres = self.centres.as_ref()?;
        centres.home(flow.hash(), centre.or(own)?)
    }

    /// Registers a flow with its home agent.
    pub(crate) fn register(&mut self, now: Instant, flow: &Flow, out: &mut Vec<Action>) {
        let Some(home) = self.flows.get(flow).and_then(|state| state.home) else {
            return;
        };
        if home.address == self.local.address {
            return;
        }
        let (to, flows) = (home.address, vec![*flow]);
        out.push(Action::Notify { to, flows });
        if let Some(state) = self.flows.get_mut(flow) {
            state.retries_left = RETRIES;
            self.registration_retries
                .insert((now + RETRY_INTERVAL, *flow));
        }
    }

    /// Registers a flow that was learned from the backend server's packets. Its data centre of
    /// entry is unknown; the local one is assumed, as most flows stay within one.
    pub(crate) fn register_learned(&mut self, now: Instant, flow: &Flow, out: &mut Vec<Action>) {
        let home = self.home_of(flow, None);
        if let Some(state) = self.flows.get_mut(flow) {
            state.home = home;
        }
        self.register(now, flow, out);
    }

    /// Registers every flow whose home agent changed.
    pub(crate) fn register_moved(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut moved: Vec<(Flow, Candidate)> = self
            .flows
            .iter()
            .filter(|(_, state)| state.established && state.ended.is_none())
            .filter_map(|(flow, state)| {
                let home = self.home_of(flow, state.centre.as_ref())?;
                (Some(home) != state.home).then_some((*flow, home))
            })
            .collect();
        // Sorted because the iteration order of the map is random.
        moved.sort_unstable_by_key(|(flow, _)| *flow);
        let mut by_home: BTreeMap<SocketAddrV4, Vec<Flow>> = BTreeMap::new();
        for (flow, home) in moved {
            let Some(state) = self.flows.get_mut(&flow) else {
                continue;
            };
            state.home = Some(home);
            state.retries_left = RETRIES;
            if home.address != self.local.address {
                self.registration_retries
                    .insert((now + RETRY_INTERVAL, flow));
                by_home.entry(home.address).or_default().push(flow);
            }
        }
        push_notices(by_home, out);
    }

    /// Sends the registrations again that are due.
    pub(crate) fn retry_registrations(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut by_home: BTreeMap<SocketAddrV4, Vec<Flow>> = BTreeMap::new();
        while let Some((due, flow)) = self.registration_retries.first().copied()
            && due <= now
        {
            self.registration_retries.pop_first();
            let Some(state) = self.flows.get_mut(&flow) else {
                continue;
            };
            let due = state.retries_left > 0 && state.ended.is_none();
            let Some(home) = state.home.filter(|_| due) else {
                continue;
            };
            state.retries_left -= 1;
            by_home.entry(home.address).or_default().push(flow);
            if state.retries_left > 0 {
                self.registration_retries
                    .insert((now + RETRY_INTERVAL, flow));
            }
        }
        push_notices(by_home, out);
    }
}

fn push_notices(by_home: BTreeMap<SocketAddrV4, Vec<Flow>>, out: &mut Vec<Action>) {
    for (to, flows) in by_home {
        for part in flows.chunks(MAX_NOTICE_FLOWS) {
            let flows = part.to_vec();
            out.push(Action::Notify { to, flows });
        }
    }
}
