//! Course of a round.

use faults::Plan;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Time of a round in which faults begin and end, in ms.
pub const ROUND_MS: u64 = 9_000;

/// Earliest begin of a fault, in ms.
const FIRST_MS: u64 = 300;

/// Faults in a round.
const FAULTS: std::ops::RangeInclusive<usize> = 5..=10;

/// What happens to a part of the deployment; numbers count parts of a kind from 0.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Killed; another one takes its place at the end.
    BalancerKilled(usize),
    /// Suspended.
    BalancerFrozen(usize),
    /// Stopped as planned.
    BalancerStopped(usize),
    /// Killed, and started again at the end.
    ControlKilled(usize),
    /// Suspended.
    ControlFrozen(usize),
    /// Cut off from the other replicas.
    ControlCut(usize),
    /// A balancer's connections to control: cut, cut one way, or held.
    BalancerLinks(usize, Plan),
    /// An agent's connections to control, likewise.
    AgentLinks(usize, Plan),
    /// Packets between fabric and balancers are lost, copied, reordered or late.
    Packets(Plan),
    /// Suspended.
    AgentFrozen(usize),
    /// An agent of the HTTP service is killed for good.
    AgentKilled,
    /// An agent of the TCP service is replaced as planned.
    AgentReplaced,
    /// A backend server of the HTTP service leaves.
    Drain,
    /// A backend server joins.
    Join,
    /// An operator changes a profile.
    Change,
}

/// Begin or end of a fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    /// Time since the start of the round, in ms.
    pub at_ms: u64,
    /// What begins or ends.
    pub fault: Fault,
    /// Whether it begins.
    pub begins: bool,
}

/// Course of the round of a seed, in the order of time; each fault that begins ends.
#[must_use]
pub fn schedule(seed: u64) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    // These happen once: a second one could leave a service without backend servers.
    let (mut killed, mut drained) = (false, false);
    for _ in 0..random.random_range(FAULTS) {
        let begin = random.random_range(FIRST_MS..ROUND_MS - 2_000);
        let longest = ROUND_MS - begin;
        let lasts = random.random_range(200..=longest.min(4_000));
        let (fault, lasts) = match random.random_range(0..15) {
            0 => (Fault::BalancerKilled(random.random_range(0..3)), lasts),
            1 => (Fault::BalancerFrozen(random.random_range(0..3)), lasts),
            2 => (Fault::BalancerStopped(random.random_range(0..3)), lasts),
            3 => (Fault::ControlKilled(random.random_range(0..3)), lasts),
            4 => (Fault::ControlFrozen(random.random_range(0..3)), lasts),
            5 => (Fault::ControlCut(random.random_range(0..3)), lasts),
            6 => {
                let link = link(&mut random);
                (Fault::BalancerLinks(random.random_range(0..3), link), lasts)
            }
            7 => {
                let link = link(&mut random);
                (Fault::AgentLinks(random.random_range(0..5), link), lasts)
            }
            8 => (Fault::Packets(packets(&mut random)), lasts),
            9 => {
                let agent = random.random_range(0..5);
                (Fault::AgentFrozen(agent), lasts.min(800))
            }
            10 if !std::mem::replace(&mut killed, true) => (Fault::AgentKilled, lasts),
            11 => (Fault::AgentReplaced, lasts),
            12 if !std::mem::replace(&mut drained, true) => (Fault::Drain, lasts),
            13 => (Fault::Join, lasts),
            _ => (Fault::Change, lasts),
        };
        for (at_ms, begins) in [(begin, true), (begin + lasts, false)] {
            steps.push(Step {
                at_ms,
                fault,
                begins,
            });
        }
    }
    steps.sort_by_key(|step| step.at_ms);
    steps
}

fn link(random: &mut StdRng) -> Plan {
    let plain = Plan::default();
    match random.random_range(0..4) {
        0 => Plan::partition(),
        1 => Plan {
            cut: (true, false),
            ..plain
        },
        2 => Plan {
            cut: (false, true),
            ..plain
        },
        _ => Plan {
            freeze: true,
            ..plain
        },
    }
}

fn packets(random: &mut StdRng) -> Plan {
    Plan {
        loss: random.random_range(0.0..0.02),
        duplicate: random.random_range(0.0..0.05),
        reorder: random.random_range(0.0..0.05),
        delay_ms: random.random_range(0..5),
        jitter_ms: random.random_range(0..10),
        ..Plan::default()
    }
}
