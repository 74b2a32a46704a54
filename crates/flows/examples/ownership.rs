//! Measures the cost of the ownership rules; run it in release mode as `ownership [FLOWS]...`.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Instant as Clock;

use flows::{Event, Flows, FlowsSettings};
use tokio::time::Instant;
use units::{Epoch, Flow, Incarnation, ServiceId};
use wire::{Candidate, Flags, Header, Segment};

/// Packets per measurement.
const PACKETS: usize = 2_000_000;

fn segment(number: usize, syn: bool) -> Segment {
    let caller = Ipv4Addr::from(0x0A00_0000 + number as u32 / 50_000);
    let flow = Flow {
        caller: SocketAddrV4::new(caller, (number % 50_000) as u16 + 1024),
        service: SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), 80),
    };
    let (fin, rst) = (false, false);
    Segment {
        flow,
        syn,
        ack: !syn,
        fin,
        rst,
        seq: 1,
        ack_number: 1,
        payload: 0,
        ttl: 9,
    }
}

fn measure(count: usize) {
    let now = Instant::now();
    let candidate = |port| Candidate {
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
        incarnation: Incarnation(1),
    };
    let mut flows = Flows::new(FlowsSettings::default(), candidate(1), now);
    let mut out = Vec::new();
    let address = segment(0, true).flow.service;
    let (id, limit) = (ServiceId(1), usize::MAX);
    flows.handle(
        now,
        Event::Service {
            id,
            address: Some(address),
            limit,
        },
        &mut out,
    );
    flows.handle(now, Event::Accepting(true), &mut out);
    let header = Header {
        hop: 0,
        flags: Flags::default(),
        service: id,
        epoch: Epoch(1),
        candidates: [candidate(1), candidate(2)].into_iter().collect(),
        ..Header::default()
    };
    let mut handle = |segment: &Segment| {
        let header = &header;
        flows.handle(now, Event::Packet { header, segment }, &mut out);
        black_box(&out);
        out.clear();
    };
    let start = Clock::now();
    for number in 0..count {
        handle(&segment(number, true));
    }
    let open_time = start.elapsed() / count as u32;
    let start = Clock::now();
    for number in 0..PACKETS {
        handle(&segment(number * 7919 % count, true));
    }
    let owned_time = start.elapsed() / PACKETS as u32;
    let start = Clock::now();
    for number in 0..PACKETS {
        handle(&segment(count + number % 1000, false));
    }
    let forwarded_time = start.elapsed() / PACKETS as u32;
    println!(
        "{count:>7} flows: {open_time:.0?} per new flow, {owned_time:.0?} per packet of an owned flow, \
         {forwarded_time:.0?} per forwarded packet"
    );
}

fn main() {
    let counts: Vec<usize> = std::env::args().skip(1).flat_map(|a| a.parse()).collect();
    let counts = if counts.is_empty() {
        vec![100, 1_000, 10_000, 100_000]
    } else {
        counts
    };
    counts.into_iter().for_each(measure);
}
