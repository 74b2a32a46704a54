//! Deployments and their requests.

use std::time::Duration;

use admission::ClassLimits;
use profile::Tier;
use rand::rngs::SmallRng;
use rand::{Rng, RngExt};

/// One class of requests.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub limits: ClassLimits,
    pub deadline: Duration,
    /// Mean service time in seconds.
    pub mean: f64,
    /// Share of arrivals.
    pub share: f64,
}

/// Spread of the logarithm of service times; the 99th percentile is about six
/// times the mean.
const SIGMA: f64 = 1.0;

/// Service of the design page.
#[derive(Debug, Clone)]
pub struct Deployment {
    pub name: &'static str,
    pub hosts: usize,
    pub slots: u16,
    /// Time between agents, one way.
    pub delay: Duration,
    /// Classes of the overload: critical, normal, bulk.
    pub kinds: [Kind; 3],
    /// Long class of the straggler measurement.
    pub long: Kind,
}

fn kind(tier: Tier, short: bool, deadline_ms: u64, mean: f64, share: f64) -> Kind {
    Kind {
        limits: ClassLimits { tier, short },
        deadline: Duration::from_millis(deadline_ms),
        mean,
        share,
    }
}

/// Both deployments, each with its larger and its smaller service.
pub fn deployments() -> Vec<Deployment> {
    let masa = |name, hosts| Deployment {
        name,
        hosts,
        slots: 2,
        delay: Duration::from_millis(3),
        kinds: [
            kind(Tier::Critical, true, 2_000, 0.060, 0.1),
            kind(Tier::Normal, true, 1_000, 0.040, 0.7),
            kind(Tier::Bulk, false, 5_000, 0.100, 0.2),
        ],
        long: kind(Tier::Normal, false, 30_000, 1.2, 0.005),
    };
    let kalahari = |name, hosts| Deployment {
        name,
        hosts,
        slots: 4,
        delay: Duration::from_millis(5),
        kinds: [
            kind(Tier::Critical, true, 2_000, 0.050, 0.2),
            kind(Tier::Normal, true, 1_000, 0.050, 0.6),
            kind(Tier::Bulk, false, 5_000, 0.100, 0.2),
        ],
        long: kind(Tier::Normal, false, 30_000, 1.5, 0.005),
    };
    vec![
        masa("Masa Viva storefront (7 hosts, 2 slots)", 7),
        masa("Masa Viva photos (3 hosts, 2 slots)", 3),
        kalahari("Kalahari rounds (7 hosts, 4 slots)", 7),
        kalahari("Kalahari proofs (3 hosts, 4 slots)", 3),
    ]
}

impl Deployment {
    /// Requests per second that fill all slots, for a mean service time.
    pub fn capacity(&self, mean: f64) -> f64 {
        self.hosts as f64 * f64::from(self.slots) / mean
    }
}

/// Time to the next arrival.
pub fn gap(rate: f64, rng: &mut SmallRng) -> Duration {
    let uniform = rng.random::<f64>().max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(-uniform.ln() / rate)
}

/// Log-normal service time.
pub fn service(mean: f64, rng: &mut impl Rng) -> Duration {
    let (a, b): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * a.max(f64::MIN_POSITIVE).ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    Duration::from_secs_f64(mean * (SIGMA * normal - SIGMA * SIGMA / 2.0).exp())
}
