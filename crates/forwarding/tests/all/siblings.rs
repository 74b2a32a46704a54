//! Tests that siblings exchange their loads.

use forwarding::{Action, Event};
use quickcheck::quickcheck;
use wire::Load;

use crate::common::{Fixture, LOCAL, flow, header, load, member, syn, table};

/// Guards against control traffic that grows quadratically with the size of the service: per
/// interval, an agent notifies 16 siblings, in round-robin order.
#[test]
fn load_notices_are_bounded() {
    let mut fixture = Fixture::without_backend();
    let members = (1..=41).map(|n| member(n, "a")).collect();
    fixture.event(Event::Table(&table(2, members)));
    let receivers = |actions: Vec<Action>| -> Vec<_> {
        let to = |action| match action {
            Action::Notify { to, flows } if flows.is_empty() => Some(to),
            _ => None,
        };
        actions.into_iter().filter_map(to).collect()
    };
    fixture.advance(1);
    let mut all = Vec::new();
    for _ in 0..5 {
        let round = receivers(fixture.advance(250));
        assert_eq!(round.len(), 16);
        all.extend(round);
    }
    all.sort_unstable();
    all.dedup();
    assert_eq!(all.len(), 40);
}

/// Guards against a load of a previous process that is used for the process that replaced it.
#[test]
fn restarted_sibling_has_no_known_load() {
    let mut fixture = Fixture::new();
    for port in 1..=6 {
        fixture.open_flow(flow(port));
        fixture.answer_request(flow(port));
    }
    fixture.notice(2, vec![], load(0, 2, 0));
    let mut members = vec![member(LOCAL, "a"), member(2, "a")];
    members[1].incarnation = units::Incarnation(77);
    fixture.event(Event::Table(&table(3, members)));
    let action = fixture.packet_action(&header(&[LOCAL]), &syn(flow(9)));
    assert!(matches!(action, Action::Deliver(_)), "{action:?}");
}

quickcheck! {
    /// Guards against a lowest load that depends on the order of the visits: loads have a total
    /// order, in which those that accept no flows come last.
    fn load_order_is_total(a: (u16, u16, u32), b: (u16, u16, u32), c: (u16, u16, u32)) -> bool {
        let [a, b, c] = [a, b, c].map(|(busy, slots, open)| Load { busy, slots, open });
        let antisymmetric = a.cmp(&b) == b.cmp(&a).reverse();
        let equal = (a.cmp(&b) == std::cmp::Ordering::Equal) == (a == b);
        let transitive = !(a <= b && b <= c) || a <= c;
        let last = a.takes_work() || !b.takes_work() || b < a;
        antisymmetric && equal && transitive && last
    }
}
