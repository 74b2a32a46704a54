//! Measures the admission policy in virtual time, one mechanism at a time.
//!
//! `cargo run -p admission --example policy -- overload` and `-- stragglers`
//! drive the real decision library with open-loop arrivals and long-tailed
//! service times, over several seeds and for the deployments of the design
//! page. Each line is one policy: the whole one, the whole one without one
//! mechanism, and plain first-in-first-out.

mod load;
mod report;
mod world;

use admission::{Limits, Order};
use load::Deployment;
use report::{Overload, Stragglers};
use world::{Policy, Run};

const SEEDS: std::ops::Range<u64> = 1..9;

fn whole(deployment: &Deployment) -> Policy {
    Policy {
        limits: Limits {
            slots: deployment.slots,
            ..Limits::default()
        },
        relay: true,
        cancel: true,
    }
}

/// First-in-first-out without any mechanism.
fn plain(deployment: &Deployment) -> Policy {
    Policy {
        limits: Limits {
            slots: deployment.slots,
            reserved: 0,
            queue: usize::MAX,
            order: Order::Arrival,
            tiers: false,
            refuse_early: false,
            shed_waiting: false,
            drop_late: false,
            contain: false,
            ..Limits::default()
        },
        relay: false,
        cancel: false,
    }
}

type Change = fn(&mut Policy);

/// The whole policy, without one mechanism each, and the baseline.
fn policies(deployment: &Deployment) -> Vec<(&'static str, Policy)> {
    let without: [(&str, Change); 11] = [
        ("whole", |_| {}),
        ("no tiers", |p| p.limits.tiers = false),
        ("no early refusal", |p| p.limits.refuse_early = false),
        ("no displacement", |p| p.limits.shed_waiting = false),
        ("no late drop", |p| p.limits.drop_late = false),
        ("by deadline only", |p| p.limits.order = Order::Deadline),
        ("by arrival", |p| p.limits.order = Order::Arrival),
        ("no reserved slot", |p| p.limits.reserved = 0),
        ("no containment", |p| p.limits.contain = false),
        ("no relay", |p| p.relay = false),
        ("no cancellation", |p| p.cancel = false),
    ];
    let mut policies: Vec<_> = without
        .into_iter()
        .map(|(name, change)| {
            let mut policy = whole(deployment);
            change(&mut policy);
            (name, policy)
        })
        .collect();
    policies.push(("plain fifo", plain(deployment)));
    policies
}

fn overload() {
    for deployment in load::deployments() {
        println!(
            "\n{} at three times capacity for 10 s, {SEEDS:?}",
            deployment.name
        );
        println!("{}", Overload::HEADER);
        for (name, policy) in policies(&deployment) {
            let runs = SEEDS.map(|seed| Run::new(&deployment, &policy, seed).overload());
            println!("{name:18} {}", Overload::mean(runs.collect()));
        }
    }
}

fn stragglers() {
    for deployment in load::deployments() {
        for (share, hidden) in [(0.15, 0.0), (0.35, 0.0), (0.15, 1.0), (0.35, 0.5)] {
            println!(
                "\n{}, stragglers {share}, {hidden} of them hidden, {SEEDS:?}",
                deployment.name
            );
            println!("{}", Stragglers::HEADER);
            let mut base = None;
            let mut policies = policies(&deployment);
            policies.reverse();
            for (name, policy) in policies {
                let runs = SEEDS.map(|seed| {
                    let without = Run::new(&deployment, &policy, seed).mixed(0.0, 0.0);
                    let with = Run::new(&deployment, &policy, seed).mixed(share, hidden);
                    (without, with)
                });
                let result = Stragglers::mean(runs.collect());
                let long = *base.get_or_insert(result.long);
                println!("{name:18} {}", result.line(long));
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
