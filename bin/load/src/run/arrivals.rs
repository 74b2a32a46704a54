//! Open-loop arrivals by seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::Experiment;

/// One request that arrives whether or not earlier ones are answered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// Time since the start.
    pub at: Duration,
    /// Index of its class.
    pub class: usize,
    /// Service time in ms.
    pub service_ms: u64,
}

/// All arrivals of an experiment in order of time; the same for the same seed.
#[must_use]
pub fn arrivals(experiment: &Experiment) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(experiment.seed);
    let shares: f64 = experiment.classes.iter().map(|class| class.share).sum();
    let mut out = Vec::new();
    let mut now = 0.0;
    loop {
        // Exponential gaps make a Poisson process at the rate of the moment.
        let rate = experiment.rate * experiment.factor(now);
        let draw: f64 = random.random();
        now += -(1.0 - draw).ln() / rate;
        if now >= experiment.seconds as f64 {
            return out;
        }
        let mut pick = random.random::<f64>() * shares;
        let class = experiment.classes.iter().position(|class| {
            pick -= class.share;
            pick < 0.0
        });
        let class = class.unwrap_or(0);
        let straggles = random.random::<f64>() < experiment.stragglers.share;
        let factor = if straggles {
            experiment.stragglers.factor
        } else {
            1.0
        };
        let service = experiment.classes[class].service_ms as f64 * factor;
        out.push(Arrival {
            at: Duration::from_secs_f64(now),
            class,
            service_ms: service as u64,
        });
    }
}
