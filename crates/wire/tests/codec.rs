//! Damaged, truncated and forged datagrams.

#![expect(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use std::net::{Ipv4Addr, SocketAddrV4};

use etherparse::PacketBuilder;
use quickcheck::quickcheck;
use rpc::Key;
use units::{Epoch, Flow, Incarnation, ServiceId};
use wire::{
    Candidate, Flags, Header, Hints, Load, MAX_INNER, MAX_NOTICE_FLOWS, Message, Notice,
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
fn packet_survives_encoding_and_a_changed_hop() {
    let inner = packet(b"hello");
    let mut out = Vec::new();
    encode_packet(&key(1), &header(3), &inner, &mut out).unwrap();
    set_hop(&mut out, 2);
    let Message::Packet {
        header: got,
        inner: rest,
    } = decode(&key(1), &out).unwrap()
    else {
        panic!()
    };
    assert_eq!(
        got,
        Header {
            hop: 2,
            ..header(3)
        }
    );
    assert_eq!(rest, inner);
}

/// Guards against hints that get lost or change on the way, and against truncated ones that are read.
#[test]
fn hints_survive_encoding() {
    let origin = SocketAddrV4::new(Ipv4Addr::new(10, 9, 9, 9), 7100);
    let hints = Hints {
        origin: Some(origin),
        owned: true,
        doubtful: true,
        priority: 3,
        wanted_ms: 250,
        lightest: Some((
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
    for hints in [Hints::default(), hints, swept] {
        let header = Header { hints, ..header(3) };
        let mut out = Vec::new();
        encode_packet(&key(1), &header, &packet(b"hello"), &mut out).unwrap();
        let Message::Packet { header: got, .. } = decode(&key(1), &out).unwrap() else {
            panic!()
        };
        assert_eq!(got, header);
        for length in 0..out.len() - packet(b"hello").len() {
            assert!(decode(&key(1), &out[..length]).is_err(), "{length} bytes");
        }
    }
}

/// Guards against a sweep that ends early or never: members come in one order from its start, and
/// only the sum over exactly these members covers them.
#[test]
fn a_sweep_orders_and_counts_members() {
    let at = |n| candidate(n).address;
    let sweep = Sweep::new(at(5));
    let mut order: Vec<u8> = (1..=9).collect();
    order.sort_by_key(|n| sweep.place(at(*n)));
    assert_eq!(order, [5, 6, 7, 8, 9, 1, 2, 3, 4]);
    let visited = [7, 2, 9].into_iter().fold(sweep, |s, n| s.visited(at(n)));
    assert_eq!(visited.visits, 3);
    assert!(visited.covers([2, 7, 9].into_iter().map(at)));
    assert!(!visited.covers([2, 7].into_iter().map(at)));
    assert!(!visited.covers([2, 7, 8].into_iter().map(at)));
}

#[test]
fn refuses_a_datagram_of_another_deployment() {
    let mut out = Vec::new();
    encode_packet(&key(1), &header(2), &packet(b""), &mut out).unwrap();
    assert_eq!(decode(&key(2), &out), Err(WireError::Tag));
}

#[test]
fn refuses_lists_and_packets_beyond_the_limits() {
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
    let long = vec![0; MAX_INNER + 1];
    assert_eq!(
        encode(&header(1), &long, &mut out),
        Err(WireError::TooLong(MAX_INNER + 1))
    );
    encode(&header(6), &long[..MAX_INNER], &mut out).unwrap();
    assert!(decode(&key(1), &out).is_ok());
}

#[test]
fn notice_survives_encoding_up_to_its_limit() {
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
fn inspects_what_a_caller_sends() {
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
    let change = |at: usize, value: u8| {
        let mut bytes = packet(b"hello");
        bytes[at] = value;
        inspect(&bytes)
    };
    assert_eq!(change(0, 0x65), Err(PacketError::Version));
    assert_eq!(change(6, 0x20), Err(PacketError::Fragment));
    assert_eq!(change(8, 1), Err(PacketError::Ttl));
    assert_eq!(change(9, 17), Err(PacketError::Protocol));
    assert_eq!(change(12, 11), Err(PacketError::HeaderChecksum));
    assert_eq!(change(44, 0), Err(PacketError::TcpChecksum));
    assert_eq!(
        inspect(&packet(b"hello")[..40]),
        Err(PacketError::Truncated)
    );
    assert_eq!(inspect(&packet(&[0; MAX_INNER])), Err(PacketError::TooLong));
    assert_eq!(inspect(&[]), Err(PacketError::Truncated));
    let mut spoofed = Vec::new();
    let builder = PacketBuilder::ipv4([127, 0, 0, 1], [10, 9, 0, 1], 64)
        .tcp(4000, 80, 7, 1024)
        .ack(5);
    builder.write(&mut spoofed, &[]).unwrap();
    assert_eq!(inspect(&spoofed), Err(PacketError::Source));
    let mut odd = Vec::new();
    let builder = PacketBuilder::ipv4([10, 0, 0, 1], [10, 9, 0, 1], 64)
        .tcp(4000, 80, 7, 1024)
        .syn()
        .rst();
    builder.write(&mut odd, &[]).unwrap();
    assert_eq!(inspect(&odd), Err(PacketError::Flags));
}

quickcheck! {
    /// A changed byte in the header or the tagged part must not pass.
    fn refuses_changed_bytes(at: usize, flip: u8) -> bool {
        let mut out = Vec::new();
        encode_packet(&key(1), &header(4), &packet(b"hello"), &mut out).unwrap();
        let at = at % out.len();
        if flip == 0 || at == 4 {
            return true;
        }
        out[at] ^= flip;
        decode(&key(1), &out).is_err()
    }

    fn never_panics_on_any_bytes(bytes: Vec<u8>, cut: usize) -> bool {
        let mut out = Vec::new();
        encode_packet(&key(1), &header(4), &packet(b"hello"), &mut out).unwrap();
        let short = &out[..cut % out.len()];
        let _ = (decode(&key(1), &bytes), inspect(&bytes));
        decode(&key(1), short).is_err() || short.len() > 92
    }
}
