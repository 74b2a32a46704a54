//! Tables at balancers and agents.

use api::{TableDelta, TableUpdate, WatchReply};
use tokio::time::Instant;
use units::{Epoch, Millis, Version};
use watcher::View;

use crate::fixture::{self, HOSTS_PER_SERVICE};
use crate::measure::{memory_of, time_per};
use crate::{MeasureError, Options, Slope};

fn reply(services: usize) -> WatchReply {
    WatchReply {
        config: Version(1),
        services: (0..services).map(fixture::view).collect(),
        tables: (0..services)
            .map(|n| fixture::table(n, 1, n * HOSTS_PER_SERVICE, HOSTS_PER_SERVICE))
            .map(TableUpdate::Snapshot)
            .collect(),
        ..WatchReply::default()
    }
}

fn view(services: usize) -> View {
    View::default()
        .updated(&reply(services), Instant::now())
        .unwrap_or_default()
}

/// A member that changes its weight.
fn delta(epoch: u64) -> WatchReply {
    let mut member = fixture::member(0);
    member.weight = units::Weight(50 + epoch as u16 % 2);
    let delta = TableDelta {
        service: fixture::view(0).id,
        from: Epoch(epoch),
        to: Epoch(epoch + 1),
        changed: Millis(epoch),
        put: vec![member],
        gone: Vec::new(),
    };
    WatchReply {
        config: Version(1),
        tables: vec![TableUpdate::Delta(delta)],
        ..WatchReply::default()
    }
}

pub(crate) fn slopes(options: Options) -> Result<Vec<Slope>, MeasureError> {
    let sizes = [21, 210, 1_050, 2_100].map(|services| (services / options.divisor).max(2));
    let (mut memory, mut change, mut resync) = (Vec::new(), Vec::new(), Vec::new());
    for services in sizes {
        let hosts = (services * HOSTS_PER_SERVICE) as f64;
        memory.push((hosts, memory_of(options.allocated, || view(services))));
        let mut held = view(services);
        let mut epoch = 0;
        let ns = time_per(50, |_| {
            epoch += 1;
            held = held
                .updated(&delta(epoch), Instant::now())
                .unwrap_or_default();
        })?;
        change.push((hosts, ns / 1e3));
        let whole = reply(services);
        let ns = time_per(3, |_| {
            std::hint::black_box(View::default().updated(&whole, Instant::now()));
        })?;
        resync.push((hosts, ns / 1e3));
    }
    for points in [&mut memory, &mut change, &mut resync] {
        points.dedup_by_key(|point| point.0);
    }
    Ok(vec![
        Slope::new(
            "balancer",
            "memory of tables and profiles",
            "host",
            "B",
            memory,
        ),
        Slope::new(
            "balancer",
            "processor time per table change",
            "host watched",
            "us",
            change,
        ),
        Slope::new(
            "balancer",
            "processor time of a full resync",
            "host watched",
            "us",
            resync,
        ),
    ])
}
