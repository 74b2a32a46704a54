//! Names and numbers that operators write.

use quickcheck::quickcheck;
use units::{Flow, HostName, Millis, Percent, Region, ServiceId};

#[test]
fn refuses_names_that_break_paths_or_metrics() {
    for text in ["", "-a", ".a", "A", "a b", "a/b", "ä", &"a".repeat(64)] {
        assert!(text.parse::<HostName>().is_err(), "{text:?} was accepted");
    }
    for text in ["a", "storefront-1", "h.dc-2", &"a".repeat(63)] {
        assert_eq!(text.parse::<HostName>().unwrap().to_string(), text);
    }
}

#[test]
fn refuses_names_in_messages_too() {
    assert!(serde_json::from_str::<HostName>("\"No\"").is_err());
}

#[test]
fn refuses_shares_beyond_the_whole() {
    for text in ["-1", "100.1", "NaN", "x"] {
        assert!(text.parse::<Percent>().is_err(), "{text} was accepted");
    }
    assert_eq!("99.9%".parse::<Percent>().unwrap().value(), 99.9);
}

#[test]
fn keeps_the_region_in_a_service_id() {
    let id = ServiceId::new(Region(5), 70_000);
    assert_eq!(id.region(), Region(5));
    assert_ne!(id, ServiceId::new(Region(6), 70_000));
}

#[test]
fn measures_no_negative_time() {
    assert_eq!(Millis(3).since(Millis(5)), Millis(0));
}

quickcheck! {
    fn flow_survives_encoding(caller: (u32, u16), service: (u32, u16)) -> bool {
        let addr = |(ip, port): (u32, u16)| std::net::SocketAddrV4::new(ip.into(), port);
        let flow = Flow { caller: addr(caller), service: addr(service) };
        Flow::from_bytes(flow.to_bytes()) == flow && flow.to_string().parse() == Ok(flow)
    }
}
