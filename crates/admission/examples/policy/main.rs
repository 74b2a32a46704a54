//! Measures the admission policy in virtual time, one mechanism at a time.
//!
//! `cargo run -p admission --example policy -- overload` and `-- stragglers`
//! run the real admission library with open-loop arrivals and long-tailed
//! service times, with several seeds and for the deployments of the design
//! document. Each line of the output is one policy: the full one, the full one
//! without one mechanism, and plain first in, first out.

mod report;
mod simulation;
mod workload;

use admission::{Limits, QueueOrder};
use report::{Overload, StragglerRuns, Stragglers};
use simulation::{Policy, Simulation};
use workload::Deployment;

const SEEDS: std::ops::Range<u64> = 1..9;

fn full_policy(deployment: &Deployment) -> Policy {
    Policy {
        limits: Limits {
            slots: deployment.slots,
            ..Limits::default()
        },
        relay: true,
        cancel: true,
    }
}

/// First in, first out without any other mechanism.
fn fifo_baseline(deployment: &Deployment) -> Policy {
    Policy {
        limits: Limits {
            slots: deployment.slots,
            reserved: 0,
            queue: usize::MAX,
            order: QueueOrder::Fifo,
            tiers: false,
            refuse_early: false,
            displace_waiting: false,
            drop_late: false,
            reclassify_long: false,
            ..Limits::default()
        },
        relay: false,
        cancel: false,
    }
}

type Change = fn(&mut Policy);

/// The full policy, the full policy without each mechanism, and the baseline.
fn policies(deployment: &Deployment) -> Vec<(&'static str, Policy)> {
    let variants: [(&str, Change); 11] = [
        ("whole", |_| {}),
        ("no tiers", |p| p.limits.tiers = false),
        ("no early refusal", |p| p.limits.refuse_early = false),
        ("no displacement", |p| p.limits.displace_waiting = false),
        ("no late drop", |p| p.limits.drop_late = false),
        ("by deadline only", |p| {
            p.limits.order = QueueOrder::EarliestDeadline
        }),
        ("by arrival", |p| p.limits.order = QueueOrder::Fifo),
        ("no reserved slot", |p| p.limits.reserved = 0),
        ("no containment", |p| p.limits.reclassify_long = false),
        ("no relay", |p| p.relay = false),
        ("no cancellation", |p| p.cancel = false),
    ];
    let mut policies: Vec<_> = variants
        .into_iter()
        .map(|(name, change)| {
            let mut policy = full_policy(deployment);
            change(&mut policy);
            (name, policy)
        })
        .collect();
    policies.push(("plain fifo", fifo_baseline(deployment)));
    policies
}

fn overload() {
    for deployment in workload::deployments() {
        println!(
            "\n{} at three times capacity for 10 s, {SEEDS:?}",
            deployment.name
        );
        println!("{}", Overload::HEADER);
        for (name, policy) in policies(&deployment) {
            let runs = SEEDS.map(|seed| Simulation::new(&deployment, &policy, seed).overload());
            println!("{name:18} {}", Overload::mean(runs.collect()));
        }
    }
}

fn stragglers() {
    for deployment in workload::deployments() {
        for (share, hidden) in [(0.15, 0.0), (0.35, 0.0), (0.15, 1.0), (0.35, 0.5)] {
            println!(
                "\n{}, stragglers {share}, {hidden} of them hidden, {SEEDS:?}",
                deployment.name
            );
            println!("{}", Stragglers::HEADER);
            let mut baseline_long = None;
            let mut policies = policies(&deployment);
            policies.reverse();
            for (name, policy) in policies {
                let runs = SEEDS.map(|seed| {
                    let without = Simulation::new(&deployment, &policy, seed).mixed(0.0, 0.0);
                    let with = Simulation::new(&deployment, &policy, seed).mixed(share, hidden);
                    StragglerRuns { without, with }
                });
                let result = Stragglers::mean(&runs.collect::<Vec<_>>());
                let baseline = *baseline_long.get_or_insert(result.long);
                println!("{name:18} {}", result.line(baseline));
            }
        }
    }
}

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("overload") => overload(),
        Some("stragglers") => stragglers(),
        _ => eprintln!("usage: policy overload | stragglers"),
    }
}
