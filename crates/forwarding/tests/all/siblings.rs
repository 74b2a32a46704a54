//! Loads that agents tell each other.

use forwarding::{Action, Event};
use quickcheck::quickcheck;
use wire::Load;

use crate::common::{ME, Rig, flow, header, load, member, syn, table};

/// Guards against control traffic that grows with the square of the service's size: an agent tells
/// 16 siblings at a time, all of them in turn.
#[test]
fn load_notices_are_bounded() {
    let mut rig = Rig::bare();
    let members = (1..=41).map(|n| member(n, "a")).collect();
    rig.event(Event::Table(&table(2, members)));
    let receivers = |actions: Vec<Action>| -> Vec<_> {
        let to = |action| match action {
            Action::Notify { to, flows } if flows.is_empty() => Some(to),
            _ => None,
        };
        actions.into_iter().filter_map(to).collect()
    };
    rig.after(1);
    let mut all = Vec::new();
    for _ in 0..5 {
        let round = receivers(rig.after(250));
        assert_eq!(round.len(), 16);
        all.extend(round);
    }
    all.sort_unstable();
    all.dedup();
    assert_eq!(all.len(), 40);
}

/// Guards against a load of an earlier start that counts for the agent that replaced it.
#[test]
fn a_new_start_has_no_known_load() {
    let mut rig = Rig::new();
    for port in 1..=6 {
        rig.open(flow(port));
        rig.serve(flow(port));
    }
    rig.notice(2, vec![], load(0, 2, 0));
    let mut members = vec![member(ME, "a"), member(2, "a")];
    members[1].incarnation = units::Incarnation(77);
    rig.event(Event::Table(&table(3, members)));
    let action = rig.first(&header(&[ME]), &syn(flow(9)));
    assert!(matches!(action, Action::Deliver(_)), "{action:?}");
}

quickcheck! {
    /// Guards against a lightest candidate that depends on the order of the visits: loads have one
    /// order, whatever their numbers, and those that take no work come last.
    fn loads_have_one_order(a: (u16, u16, u32), b: (u16, u16, u32), c: (u16, u16, u32)) -> bool {
        let [a, b, c] = [a, b, c].map(|(busy, slots, open)| Load { busy, slots, open });
        let antisymmetric = a.cmp(&b) == b.cmp(&a).reverse();
        let equal = (a.cmp(&b) == std::cmp::Ordering::Equal) == (a == b);
        let transitive = !(a <= b && b <= c) || a <= c;
        let last = a.takes_work() || !b.takes_work() || b < a;
        antisymmetric && equal && transitive && last
    }
}
