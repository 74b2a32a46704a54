//! Encoding of datagrams, and rejection of damaged, truncated and forged ones.

#![expect(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use std::net::{Ipv4Addr, SocketAddrV4};

use etherparse::PacketBuilder;
use quickcheck::quickcheck;
use rpc::Key;
use units::{Epoch, Flow, Incarnation, ServiceId};
use wire::{
    Candidate, Flags, Header, Hints, Load, MAX_INNER_BYTES, MAX_NOTICE_FLOWS, Message, Notice,
    PacketError, Sweep, WireError, decode, encode_notice, encode_packet, inspect, set_hop,
};

fn key(seed: u8) -> Key {
    Key::from([seed; 32])
}

fn candidate(n: u8) -> Candidate {
    Candidate {
        address: SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, n), 7000),
        incarnation: Incarnation(n.into()),
    }
}

fn header(count: u8) -> Header {
    Header {
        hop: 0,
        flags: Flags {
            lookup: true,
            accept: false,
        },
        service: ServiceId(0x0100_0007),
        epoch: Epoch(9),
        candidates: (1..=count).map(candidate).collect(),
        ..Header::default()
    }
}

fn packet(payload: &[u8]) -> Vec<u8> {
    let builder = PacketBuilder::ipv4([10, 0, 0, 1], [10, 9, 0, 1], 64)
        .tcp(4000, 80, 7, 1024)
        .ack(5);
    let mut out = Vec::new();
    builder.write(&mut out, payload).unwrap();
    out
}

#[test]
fn packet_round_trips_with_a_changed_hop() {
    let inner = packet(b"hello");
    let mut out = Vec::new();
    encode_packet(&key(1), &header(3), &inner, &mut out).unwrap();
    set_hop(&mut out, 2);
    let Message::Packet {
        header: decoded,
        inner: decoded_inner,
    } = decode(&key(1), &out).unwrap()
    else {
        panic!()
    };
    assert_eq!(
        decoded,
        Header {
            hop: 2,
            ..header(3)
        }
    );
    assert_eq!(decoded_inner, inner);
}

/// Guards against hints that are lost or altered by encoding, and against truncated hints that are
/// accepted.
#[test]
fn hints_round_trip() {
    let origin = SocketAddrV4::new(Ipv4Addr::new(10, 9, 9, 9), 7100);
    let hints = Hints {
        origin: Some(origin),
        owner_first: true,
        owner_uncertain: true,
        return_unheld: false,
        priority: 3,
        latency_target_ms: 250,
        least_loaded: Some((
            1,
            Load {
                busy: 3,
                slots: 2,
                open: 70_000,
            },
        )),
        sweep: None,
    };
    let sweep = Sweep::new(origin).visited(candidate(1).address);
    let swept = Hints {
        sweep: Some(sweep),
        ..hints
    };
    let several = |owner_uncertain| Hints {
        owner_uncertain,
        return_unheld: true,
        ..hints
    };
    for hints in [
        Hints::default(),
        hints,
        swept,
        several(false),
        several(true),
    ] {
        let header = Header { hints, ..header(3) };
        let mut out = Vec::new();
        encode_packet(&key(1), &header, &packet(b"hello"), &mut out).unwrap();
        let Message::Packet {
            header: decoded, ..
        } = decode(&key(1), &out).unwrap()
        else {
            panic!()
        };
        assert_eq!(decoded, header);
        for length in 0..out.len() - packet(b"hello").len() {
            assert!(decode(&key(1), &out[..length]).is_err(), "{length} bytes");
        }
    }
}

/// Guards against flows that an agent of an earlier version resets because it doesn't know that other
/// services may own them: such an agent has to read the packet as one with an uncertain owner.
#[test]
fn packet_for_several_services_looks_uncertain_to_earlier_versions() {
    const FLAGS_OFFSET: usize = 6;
    const FLAG_OWNER_UNCERTAIN: u8 = 16;
    for owner_uncertain in [false, true] {
        let hints = Hints {
            owner_uncertain,
            return_unheld: true,
            ..Hints::default()
        };
        let header = Header { hints, ..header(3) };
        let mut out = Vec::new();
        encode_packet(&key(1), &header, &packet(b""), &mut out).unwrap();
        assert_ne!(out[FLAGS_OFFSET] & FLAG_OWNER_UNCERTAIN, 0);
    }
}

/// Guards against a sweep that ends early or never: members are ordered from its start, and only
/// visits to exactly the given members cover them.
#[test]
fn sweep_orders_and_counts_members() {
    let address = |n| candidate(n).address;
    let sweep = Sweep::new(address(5));
    let mut order: Vec<u8> = (1..=9).collect();
    order.sort_by_key(|n| sweep.position(address(*n)));
    assert_eq!(order, [5, 6, 7, 8, 9, 1, 2, 3, 4]);
    let visited = [7, 2, 9]
        .into_iter()
        .fold(sweep, |s, n| s.visited(address(n)));
    assert_eq!(visited.visits, 3);
    assert!(visited.covers([2, 7, 9].into_iter().map(address)));
    assert!(!visited.covers([2, 7].into_iter().map(address)));
    assert!(!visited.covers([2, 7, 8].into_iter().map(address)));
}

#[test]
fn rejects_a_datagram_of_another_deployment() {
    let mut out = Vec::new();
    encode_packet(&key(1), &header(2), &packet(b""), &mut out).unwrap();
    assert_eq!(decode(&key(2), &out), Err(WireError::Tag));
}

#[test]
fn rejects_lists_and_packets_beyond_the_limits() {
    let mut out = Vec::new();
    let encode =
        |h: &Header, inner: &[u8], out: &mut Vec<u8>| encode_packet(&key(1), h, inner, out);
    assert_eq!(
        encode(&header(0), b"x", &mut out),
        Err(WireError::Candidates)
    );
    assert_eq!(
        encode(
            &Header {
                hop: 3,
                ..header(3)
            },
            b"x",
            &mut out
        ),
        Err(WireError::Candidates)
    );
    let long = vec![0; MAX_INNER_BYTES + 1];
    assert_eq!(
        encode(&header(1), &long, &mut out),
        Err(WireError::TooLong(MAX_INNER_BYTES + 1))
    );
    encode(&header(6), &long[..MAX_INNER_BYTES], &mut out).unwrap();
    assert!(decode(&key(1), &out).is_ok());
}

#[test]
fn notice_round_trips_up_to_its_limit() {
    let flow = |n: u32| Flow {
        caller: SocketAddrV4::new(n.into(), 1),
        service: SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), 80),
    };
    let mut out = Vec::new();
    for count in [0, 1, MAX_NOTICE_FLOWS] {
        let flows = (1..=count as u32).map(flow).collect();
        let notice = Notice {
            service: ServiceId(3),
            flows,
            owner: candidate(4),
            load: Load {
                open: 17,
                ..Load::default()
            },
            leaving: count == 1,
        };
        encode_notice(&key(1), &notice, &mut out).unwrap();
        assert_eq!(decode(&key(1), &out), Ok(Message::Notice(notice)));
    }
    let flows = vec![flow(1); MAX_NOTICE_FLOWS + 1];
    let notice = Notice {
        service: ServiceId(3),
        flows,
        owner: candidate(4),
        load: Load {
            open: 17,
            ..Load::default()
        },
        leaving: false,
    };
    assert!(encode_notice(&key(1), &notice, &mut out).is_err());
}

#[test]
fn inspects_a_segment_of_a_caller() {
    let segment = inspect(&packet(b"hello")).unwrap();
    assert_eq!(segment.flow.to_string(), "10.0.0.1:4000>10.9.0.1:80");
    assert_eq!(
        (segment.seq, segment.ack_number, segment.payload),
        (7, 5, 5)
    );
    assert!(!segment.opens());
}

#[test]
fn drops_each_kind_of_unusable_packet() {
    let inspect_changed = |offset: usize, value: u8| {
        let mut bytes = packet(b"hello");
        bytes[offset] = value;
        inspect(&bytes)
    };
    assert_eq!(inspect_changed(0, 0x65), Err(PacketError::Version));
    assert_eq!(inspect_changed(6, 0x20), Err(PacketError::Fragment));
    assert_eq!(inspect_changed(8, 1), Err(PacketError::Ttl));
    assert_eq!(inspect_changed(9, 17), Err(PacketError::Protocol));
    assert_eq!(inspect_changed(12, 11), Err(PacketError::HeaderChecksum));
    assert_eq!(inspect_changed(44, 0), Err(PacketError::TcpChecksum));
    assert_eq!(
        inspect(&packet(b"hello")[..40]),
        Err(PacketError::Truncated)
    );
    assert_eq!(
        inspect(&packet(&[0; MAX_INNER_BYTES])),
        Err(PacketError::TooLong)
    );
    assert_eq!(inspect(&[]), Err(PacketError::Truncated));
    let mut spoofed = Vec::new();
    let builder = PacketBuilder::ipv4([127, 0, 0, 1], [10, 9, 0, 1], 64)
        .tcp(4000, 80, 7, 1024)
        .ack(5);
    builder.write(&mut spoofed, &[]).unwrap();
    assert_eq!(inspect(&spoofed), Err(PacketError::Source));
    let mut contradictory = Vec::new();
    let builder = PacketBuilder::ipv4([10, 0, 0, 1], [10, 9, 0, 1], 64)
        .tcp(4000, 80, 7, 1024)
        .syn()
        .rst();
    builder.write(&mut contradictory, &[]).unwrap();
    assert_eq!(inspect(&contradictory), Err(PacketError::Flags));
}

quickcheck! {
    /// A changed byte must fail decoding, except in the hop, which the tag does not cover.
    fn rejects_changed_bytes(offset: usize, flip: u8) -> bool {
        let mut out = Vec::new();
        encode_packet(&key(1), &header(4), &packet(b"hello"), &mut out).unwrap();
        let offset = offset % out.len();
        if flip == 0 || offset == 4 {
            return true;
        }
        out[offset] ^= flip;
        decode(&key(1), &out).is_err()
    }

    fn never_panics_on_any_bytes(bytes: Vec<u8>, length: usize) -> bool {
        let mut out = Vec::new();
        encode_packet(&key(1), &header(4), &packet(b"hello"), &mut out).unwrap();
        let truncated = &out[..length % out.len()];
        let _ = (decode(&key(1), &bytes), inspect(&bytes));
        decode(&key(1), truncated).is_err() || truncated.len() > 92
    }
}
