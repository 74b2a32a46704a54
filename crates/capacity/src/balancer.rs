//! Packets at a balancer.

use std::hint::black_box;

use rpc::Key;
use steering::{CacheSettings, FlowCache, Steering};
use tokio::time::Instant;

use crate::fixture;
use crate::measure::{memory_of, time_per};
use crate::{MeasureError, Options, Slope};

/// Packets per point.
const PACKETS: usize = 200_000;

/// Flows among which the packets of a point are spread at most.
const SPREAD: usize = 4_096;

pub(crate) fn slopes(options: Options) -> Result<Vec<Slope>, MeasureError> {
    Ok(vec![
        packets_by_flows(options)?,
        ranking_by_hosts(options)?,
        build_by_hosts(options)?,
        cache_memory(options)?,
    ])
}

fn steering(hosts: usize) -> Steering {
    Steering::new(
        &fixture::table(0, 2, 0, hosts),
        [&fixture::table(0, 1, 0, hosts)],
        Instant::now(),
    )
}

/// Whole decision and encoding of a packet of an open flow, with the cache filled by all flows.
fn packets_by_flows(options: Options) -> Result<Slope, MeasureError> {
    let key = Key::from([1; 32]);
    let steering = steering(fixture::HOSTS_PER_SERVICE);
    let mut points = Vec::new();
    for flows in [1_000, 10_000, 100_000, 500_000].map(|flows| flows / options.divisor) {
        let mut cache = FlowCache::new(CacheSettings::default());
        for n in 0..flows {
            let hash = fixture::flow(n).hash();
            let slot = steering
                .pack(&steering.candidates(hash))
                .unwrap_or_default();
            cache.put(hash, 1, 0, false, slot);
        }
        let step = (flows / SPREAD).max(1);
        let packets: Vec<_> = (0..flows.min(SPREAD))
            .map(|n| fixture::packet(fixture::flow(n * step), false))
            .collect();
        let mut out = Vec::with_capacity(wire::MAX_DATAGRAM_BYTES);
        let now = Instant::now();
        let ns = time_per(PACKETS / options.divisor, |n| {
            let inner = &packets[n % packets.len()];
            let Ok(segment) = wire::inspect(inner) else {
                return;
            };
            let hash = segment.flow.hash();
            let candidates = match cache.get(hash, 1, 1, false) {
                Some(slot) => steering.unpack(&slot),
                None => steering.candidates(hash),
            };
            if let Some(header) = steering.header(candidates, now) {
                black_box(wire::encode_packet(&key, &header, inner, &mut out).is_ok());
            }
        })?;
        points.push((flows as f64, ns));
    }
    Ok(Slope::new(
        "balancer",
        "processor time per packet, without system calls",
        "flow held",
        "ns",
        points,
    ))
}

fn ranking_by_hosts(options: Options) -> Result<Slope, MeasureError> {
    let mut points = Vec::new();
    for hosts in [10, 64, 100, 1_000, 10_000, 28_000].map(|hosts| (hosts / options.divisor).max(3))
    {
        let steering = steering(hosts);
        let ns = time_per(PACKETS / options.divisor, |n| {
            black_box(steering.candidates(fixture::flow(n).hash()));
        })?;
        points.push((hosts as f64, ns));
    }
    points.dedup_by_key(|point| point.0);
    Ok(Slope::new(
        "balancer",
        "processor time per new flow (ranking, two tables)",
        "host of the service",
        "ns",
        points,
    ))
}

fn build_by_hosts(options: Options) -> Result<Slope, MeasureError> {
    let mut points = Vec::new();
    for hosts in [10, 64, 100, 1_000, 4_000].map(|hosts| (hosts / options.divisor).max(3)) {
        let before = fixture::table(0, 1, 0, hosts);
        let held = Steering::new(&before, [], Instant::now());
        let after = fixture::table(0, 2, 0, hosts + 1);
        let ns = time_per(2, |_| {
            black_box(held.updated(&after, [&before], Instant::now()));
        })?;
        points.push((hosts as f64, ns / 1e3));
    }
    points.dedup_by_key(|point| point.0);
    Ok(Slope::new(
        "balancer",
        "processor time per table change (ranker)",
        "host of the service",
        "us",
        points,
    ))
}

fn cache_memory(options: Options) -> Result<Slope, MeasureError> {
    let mut points = Vec::new();
    for entries in [1 << 13, 1 << 16, 1 << 18, 1 << 20].map(|entries| entries / options.divisor) {
        let bytes = memory_of(options.allocated, || {
            let mut cache = FlowCache::new(CacheSettings {
                entries,
                ..CacheSettings::default()
            });
            for n in 0..entries {
                cache.put(
                    fixture::flow(n).hash(),
                    1,
                    0,
                    false,
                    steering::PackedCandidates::default(),
                );
            }
            cache
        });
        points.push((entries as f64, bytes));
    }
    Ok(Slope::new(
        "balancer",
        "memory of the flow cache",
        "entry",
        "B",
        points,
    ))
}
