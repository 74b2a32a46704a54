//! Defines the simulated deployments and their request classes.

use std::time::Duration;

use admission::ClassLimits;
use profile::Tier;
use rand::rngs::SmallRng;
use rand::{Rng, RngExt};

/// Request class of a workload.
#[derive(Debug, Clone, Copy)]
pub struct RequestClass {
    pub limits: ClassLimits,
    pub deadline: Duration,
    /// Mean service time in seconds.
    pub mean_s: f64,
    /// Share of arrivals.
    pub share: f64,
}

/// Standard deviation of the logarithm of service times; the 99th percentile is
/// about six times the mean.
const SIGMA: f64 = 1.0;

/// Service of one of the deployments in the design document.
#[derive(Debug, Clone)]
pub struct Deployment {
    pub name: &'static str,
    pub hosts: usize,
    pub slots: u16,
    /// One-way network delay between agents.
    pub delay: Duration,
    /// Classes of the overload measurement: critical, normal, bulk.
    pub classes: [RequestClass; 3],
    /// Class of the long requests in the straggler measurement.
    pub long: RequestClass,
}

fn class(tier: Tier, short: bool, deadline_ms: u64, mean_s: f64, share: f64) -> RequestClass {
    RequestClass {
        limits: ClassLimits { tier, short },
        deadline: Duration::from_millis(deadline_ms),
        mean_s,
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
        classes: [
            class(Tier::Critical, true, 2_000, 0.060, 0.1),
            class(Tier::Normal, true, 1_000, 0.040, 0.7),
            class(Tier::Bulk, false, 5_000, 0.100, 0.2),
        ],
        long: class(Tier::Normal, false, 30_000, 1.2, 0.005),
    };
    let kalahari = |name, hosts| Deployment {
        name,
        hosts,
        slots: 4,
        delay: Duration::from_millis(5),
        classes: [
            class(Tier::Critical, true, 2_000, 0.050, 0.2),
            class(Tier::Normal, true, 1_000, 0.050, 0.6),
            class(Tier::Bulk, false, 5_000, 0.100, 0.2),
        ],
        long: class(Tier::Normal, false, 30_000, 1.5, 0.005),
    };
    vec![
        masa("Masa Viva storefront (7 hosts, 2 slots)", 7),
        masa("Masa Viva photos (3 hosts, 2 slots)", 3),
        kalahari("Kalahari rounds (7 hosts, 4 slots)", 7),
        kalahari("Kalahari proofs (3 hosts, 4 slots)", 3),
    ]
}

impl Deployment {
    /// Requests per second that keep all slots busy, for a mean service time in seconds.
    pub fn capacity(&self, mean_s: f64) -> f64 {
        self.hosts as f64 * f64::from(self.slots) / mean_s
    }
}

/// Random time to the next arrival of a Poisson process.
pub fn interarrival_time(rate: f64, rng: &mut SmallRng) -> Duration {
    let uniform = rng.random::<f64>().max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(-uniform.ln() / rate)
}

/// Random log-normal service time.
pub fn service_time(mean_s: f64, rng: &mut impl Rng) -> Duration {
    let (a, b): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * a.max(f64::MIN_POSITIVE).ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    Duration::from_secs_f64(mean_s * (SIGMA * normal - SIGMA * SIGMA / 2.0).exp())
}
