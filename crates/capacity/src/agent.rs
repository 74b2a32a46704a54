//! Flows at an agent.

use std::hint::black_box;
use std::sync::Arc;

use flows::{Action, Event, Flows, FlowsSettings};
use netstack::{Connection, StackSettings};
use tokio::time::Instant;
use units::{Epoch, Flow};
use wire::{Candidate, Candidates, Flags, Header};

use crate::fixture;
use crate::measure::{memory_of, time_per};
use crate::{MeasureError, Options, Slope};

/// Packets per point.
const PACKETS: usize = 100_000;

pub(crate) fn slopes(options: Options) -> Result<Vec<Slope>, MeasureError> {
    Ok(vec![
        connection_memory(options)?,
        connection_time(options)?,
        ownership_memory(options)?,
        ownership_time(options)?,
        table_change(options)?,
    ])
}

/// A connection after its handshake, with the caller's side dropped.
fn established(settings: &StackSettings, flow: Flow, now: Instant) -> Connection {
    let mut caller = Connection::connect(settings, flow, now, 1);
    let mut service = None;
    let (mut forth, mut back) = (Vec::new(), Vec::new());
    for _ in 0..3 {
        caller.poll(now, &mut forth);
        for packet in forth.drain(..) {
            let service = service.get_or_insert_with(|| Connection::accept(settings, flow, now, 2));
            service.receive(now, &packet);
            service.poll(now, &mut back);
        }
        for packet in back.drain(..) {
            caller.receive(now, &packet);
        }
    }
    service.unwrap_or(caller)
}

fn connection_memory(options: Options) -> Result<Slope, MeasureError> {
    let settings = StackSettings::default();
    let now = Instant::now();
    let mut points = Vec::new();
    for flows in [100, 1_000, 4_000, 10_000].map(|flows| (flows / options.divisor).max(10)) {
        let bytes = memory_of(options.allocated, || {
            (0..flows)
                .map(|n| established(&settings, fixture::flow(n), now))
                .collect::<Vec<_>>()
        });
        points.push((flows as f64, bytes));
    }
    points.dedup_by_key(|point| point.0);
    Ok(Slope::new(
        "agent",
        "memory of open connections without data",
        "flow",
        "B",
        points,
    ))
}

fn connection_time(options: Options) -> Result<Slope, MeasureError> {
    let settings = StackSettings::default();
    let now = Instant::now();
    let mut points = Vec::new();
    for flows in [10, 100, 1_000, 10_000].map(|flows| (flows / options.divisor).max(2)) {
        let ns = time_per(flows, |n| {
            black_box(established(&settings, fixture::flow(n), now));
        })?;
        points.push((flows as f64, ns * flows as f64 / 1e3));
    }
    points.dedup_by_key(|point| point.0);
    Ok(Slope::new(
        "agent",
        "processor time of handshakes, both sides",
        "new flow",
        "us",
        points,
    ))
}

fn me() -> Candidate {
    let member = fixture::member(0);
    Candidate {
        address: member.packets,
        incarnation: member.incarnation,
    }
}

fn header(opens: bool) -> Header {
    let candidates: Candidates = [me()].into_iter().collect();
    Header {
        hop: 0,
        flags: Flags {
            lookup: false,
            accept: opens,
        },
        service: fixture::view(0).id,
        epoch: Epoch(1),
        candidates,
        ..Header::default()
    }
}

/// Ownership state of an agent with this many open flows in a service of 13 hosts.
fn owner(flows: usize, now: Instant) -> Flows {
    let mut owner = Flows::new(FlowsSettings::default(), me(), now);
    let mut out: Vec<Action> = Vec::new();
    let service = fixture::view(0);
    let event = Event::Service {
        id: service.id,
        address: service.service.address,
        limit: usize::MAX,
    };
    owner.handle(now, event, &mut out);
    let table = Arc::new(fixture::table(0, 1, 0, fixture::HOSTS_PER_SERVICE));
    owner.handle(
        now,
        Event::Table {
            table: &table,
            received_at: now,
        },
        &mut out,
    );
    owner.handle(now, Event::Accepting(true), &mut out);
    let header = header(true);
    for n in 0..flows {
        let flow = fixture::flow(n);
        if let Ok(segment) = wire::inspect(&fixture::packet(flow, true)) {
            owner.handle(
                now,
                Event::Packet {
                    header: &header,
                    segment: &segment,
                },
                &mut out,
            );
            owner.handle(
                now,
                Event::Opened {
                    flow,
                    initial_seq: 7,
                },
                &mut out,
            );
        }
        if let Ok(segment) = wire::inspect(&fixture::packet(flow, false)) {
            owner.handle(
                now,
                Event::Packet {
                    header: &header,
                    segment: &segment,
                },
                &mut out,
            );
        }
        out.clear();
    }
    owner
}

fn ownership_memory(options: Options) -> Result<Slope, MeasureError> {
    let mut points = Vec::new();
    for flows in [1_000, 10_000, 100_000, 400_000].map(|flows| flows / options.divisor) {
        let bytes = memory_of(options.allocated, || owner(flows, Instant::now()));
        points.push((flows as f64, bytes));
    }
    Ok(Slope::new(
        "agent",
        "memory of the ownership state",
        "flow",
        "B",
        points,
    ))
}

fn ownership_time(options: Options) -> Result<Slope, MeasureError> {
    let mut points = Vec::new();
    for flows in [1_000, 10_000, 100_000, 400_000].map(|flows| flows / options.divisor) {
        let now = Instant::now();
        let mut owner = owner(flows, now);
        let header = header(false);
        let mut out = Vec::new();
        let segments: Vec<_> = (0..flows.min(4_096))
            .filter_map(|n| {
                wire::inspect(&fixture::packet(
                    fixture::flow(n * (flows / 4_096).max(1)),
                    false,
                ))
                .ok()
            })
            .collect();
        let ns = time_per(PACKETS / options.divisor, |n| {
            let segment = &segments[n % segments.len()];
            owner.handle(
                now,
                Event::Packet {
                    header: &header,
                    segment,
                },
                &mut out,
            );
            out.clear();
        })?;
        points.push((flows as f64, ns));
    }
    Ok(Slope::new(
        "agent",
        "processor time of the ownership rules per packet",
        "flow held",
        "ns",
        points,
    ))
}

fn table_change(options: Options) -> Result<Slope, MeasureError> {
    let mut points = Vec::new();
    for flows in [100, 1_000, 10_000, 100_000].map(|flows| flows / options.divisor) {
        let now = Instant::now();
        let mut owner = owner(flows, now);
        let mut out = Vec::new();
        let mut epoch = 1;
        let ns = time_per(3, |_| {
            epoch += 1;
            let hosts = fixture::HOSTS_PER_SERVICE + epoch as usize % 2;
            let table = Arc::new(fixture::table(0, epoch, 0, hosts));
            owner.handle(
                now,
                Event::Table {
                    table: &table,
                    received_at: now,
                },
                &mut out,
            );
            out.clear();
        })?;
        points.push((flows as f64, ns / 1e3));
    }
    Ok(Slope::new(
        "agent",
        "processor time per table change (registration)",
        "flow held",
        "us",
        points,
    ))
}
