//! Parsing and encoding of names, quantities and ids.

use quickcheck::quickcheck;
use units::{Flow, HostName, Millis, Percent, Region, ServiceId};

#[test]
fn rejects_names_invalid_in_paths_or_metrics() {
    for text in ["", "-a", ".a", "A", "a b", "a/b", "ä", &"a".repeat(64)] {
        assert!(text.parse::<HostName>().is_err(), "{text:?} was accepted");
    }
    for text in ["a", "storefront-1", "h.dc-2", &"a".repeat(63)] {
        assert_eq!(text.parse::<HostName>().unwrap().to_string(), text);
    }
}

#[test]
fn rejects_invalid_names_in_messages() {
    assert!(serde_json::from_str::<HostName>("\"No\"").is_err());
}

#[test]
fn rejects_percentages_out_of_range() {
    for text in ["-1", "100.1", "NaN", "x"] {
        assert!(text.parse::<Percent>().is_err(), "{text} was accepted");
    }
    assert_eq!("99.9%".parse::<Percent>().unwrap().value(), 99.9);
}

#[test]
fn service_id_contains_region() {
    let id = ServiceId::new(Region(5), 70_000);
    assert_eq!(id.region(), Region(5));
    assert_ne!(id, ServiceId::new(Region(6), 70_000));
}

#[test]
fn time_since_later_time_is_zero() {
    assert_eq!(Millis(3).since(Millis(5)), Millis(0));
}

quickcheck! {
    fn flow_round_trips(caller: (u32, u16), service: (u32, u16)) -> bool {
        let addr = |(ip, port): (u32, u16)| std::net::SocketAddrV4::new(ip.into(), port);
        let flow = Flow { caller: addr(caller), service: addr(service) };
        Flow::from_bytes(flow.to_bytes()) == flow && flow.to_string().parse() == Ok(flow)
    }
}
