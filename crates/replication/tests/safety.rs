//! Safety under random faults: messages are lost, delayed, duplicated and reordered;
//! replicas crash with unsynced writes, restart, and take snapshots.

mod cluster;

use cluster::{Cluster, Faults, id};
use rand::RngExt;
use replication::Event;

/// Number of fault rounds per seed; each lasts 200 ms.
const FAULT_ROUNDS: u64 = 60;

fn random_run(seed: u64, voters: u64) {
    let faults = Faults {
        loss_percent: 8,
        duplicate_percent: 8,
        max_delay_ms: 40,
        max_sync_ms: 0,
    };
    // A slow disk makes it likely that a crash loses writes that other replicas rely on.
    let max_sync_ms = [5, 40, 250][seed as usize % 3];
    let faults = Faults {
        max_sync_ms,
        ..faults
    };
    let mut cluster = Cluster::new(seed, voters, faults);
    let mut token = 0;
    for _ in 0..FAULT_ROUNDS {
        let node = id(cluster.rng.random_range(1..=voters));
        match cluster.rng.random_range(0..10) {
            0 | 1 => {
                cluster.crash(node);
                cluster.run(50);
                cluster.restart(node);
            }
            2..=4 => cluster.restart(node),
            5 => {
                let other = id(cluster.rng.random_range(1..=voters));
                cluster.blocked.insert((node, other));
            }
            6 => cluster.blocked.clear(),
            7 => cluster.compact(node, 350),
            8 => {
                let leader = cluster.leader().unwrap_or(node);
                cluster.handle(leader, Event::Transfer { token: 0 });
            }
            _ => {}
        }
        for _ in 0..10 {
            let targets: Vec<_> = cluster.nodes.keys().copied().collect();
            for target in targets {
                token += 1;
                cluster.propose(target, token);
                cluster.handle(target, Event::Read { token });
            }
            cluster.run(20);
        }
    }
    cluster.faults = Faults::default();
    cluster.blocked.clear();
    for n in 1..=voters {
        cluster.restart(id(n));
    }
    cluster.run(2000);
    let leader = cluster.run_until_leader();
    cluster.propose(leader, u64::MAX);
    let last_index = cluster.nodes[&leader].state.last_index();
    assert!(
        cluster.run_until_committed(last_index, 5000),
        "seed {seed}: not all replicas reached entry {last_index}"
    );
    assert!(
        cluster.reads_served > 0,
        "seed {seed}: no read was answered"
    );
    let first = &cluster.nodes[&leader].state;
    for node in cluster.nodes.values() {
        for index in 1..=last_index {
            if let (Some(a), Some(b)) = (first.entry(index), node.state.entry(index)) {
                assert_eq!(a, b, "seed {seed}: logs differ at {index}");
            }
        }
    }
}

/// Guards against two leaders in a term, lost or changed committed entries, and stale reads.
#[test]
fn three_replicas_stay_consistent() {
    for seed in 0..40 {
        random_run(seed, 3);
    }
}

/// Guards against wrong quorums in larger groups.
#[test]
fn five_replicas_stay_consistent() {
    for seed in 100..120 {
        random_run(seed, 5);
    }
}
