//! Tells the homes of held flows who owns them.
//!
//! Only established flows are registered: copies of a SYN may open a flow at
//! two backend servers, and the caller chooses one with its first
//! acknowledgement. Notices get lost, so each registration is repeated.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::Instant;
use units::{DataCentre, Flow};
use wire::{Candidate, MAX_NOTICE_FLOWS};

use crate::{Action, Forwarder};

/// Wait before a registration is repeated.
const REPEAT_WAIT: Duration = Duration::from_millis(300);

/// Repeats of a registration.
const REPEATS: u8 = 2;

impl Forwarder {
    /// Data centre of a member.
    pub(crate) fn centre_of(&self, member: Candidate) -> Option<DataCentre> {
        let mut members = self.centres.as_ref()?.members();
        let found = members.find(|(_, known)| known.address == member.address);
        found.map(|(centre, _)| centre.clone())
    }

    /// Home of a flow by the current table.
    fn home(&self, flow: &Flow, centre: Option<&DataCentre>) -> Option<Candidate> {
        let own = self.service.as_ref().map(|service| &service.centre);
        let centres = self.centres.as_ref()?;
        centres.home(flow.hash(), centre.or(own)?)
    }

    /// Tells the home of a flow that it is held here.
    pub(crate) fn register(&mut self, now: Instant, flow: &Flow, out: &mut Vec<Action>) {
        let Some(home) = self.held.get(flow).and_then(|held| held.home) else {
            return;
        };
        if home.address == self.me.address {
            return;
        }
        let (to, flows) = (home.address, vec![*flow]);
        out.push(Action::Notify { to, flows });
        if let Some(held) = self.held.get_mut(flow) {
            held.repeats = REPEATS;
            self.repeats.insert((now + REPEAT_WAIT, *flow));
        }
    }

    /// Tells the home of a flow that was learned from the backend server; where it entered is not
    /// known, and most flows stay in their data centre.
    pub(crate) fn register_learned(&mut self, now: Instant, flow: &Flow, out: &mut Vec<Action>) {
        let home = self.home(flow, None);
        if let Some(held) = self.held.get_mut(flow) {
            held.home = home;
        }
        self.register(now, flow, out);
    }

    /// Registers every flow whose home moved.
    pub(crate) fn register_moved(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut moved: Vec<(Flow, Candidate)> = self
            .held
            .iter()
            .filter(|(_, held)| held.established && held.ended.is_none())
            .filter_map(|(flow, held)| {
                let home = self.home(flow, held.centre.as_ref())?;
                (Some(home) != held.home).then_some((*flow, home))
            })
            .collect();
        // The map's order is random.
        moved.sort_unstable_by_key(|(flow, _)| *flow);
        let mut lists: BTreeMap<SocketAddrV4, Vec<Flow>> = BTreeMap::new();
        for (flow, home) in moved {
            let Some(held) = self.held.get_mut(&flow) else {
                continue;
            };
            held.home = Some(home);
            held.repeats = REPEATS;
            if home.address != self.me.address {
                self.repeats.insert((now + REPEAT_WAIT, flow));
                lists.entry(home.address).or_default().push(flow);
            }
        }
        notify(lists, out);
    }

    /// Repeats the registrations that are due.
    pub(crate) fn repeat(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut lists: BTreeMap<SocketAddrV4, Vec<Flow>> = BTreeMap::new();
        while let Some((due, flow)) = self.repeats.first().copied()
            && due <= now
        {
            self.repeats.pop_first();
            let Some(held) = self.held.get_mut(&flow) else {
                continue;
            };
            let due = held.repeats > 0 && held.ended.is_none();
            let Some(home) = held.home.filter(|_| due) else {
                continue;
            };
            held.repeats -= 1;
            lists.entry(home.address).or_default().push(flow);
            if held.repeats > 0 {
                self.repeats.insert((now + REPEAT_WAIT, flow));
            }
        }
        notify(lists, out);
    }
}

fn notify(lists: BTreeMap<SocketAddrV4, Vec<Flow>>, out: &mut Vec<Action>) {
    for (to, flows) in lists {
        for part in flows.chunks(MAX_NOTICE_FLOWS) {
            let flows = part.to_vec();
            out.push(Action::Notify { to, flows });
        }
    }
}
