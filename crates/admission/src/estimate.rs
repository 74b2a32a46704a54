//! Service times as measured.

use std::time::Duration;

/// Weight of a new sample; about 16 samples make up the mean.
const GAIN: f64 = 1.0 / 16.0;

/// Moving mean of one class.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Estimate {
    mean: Option<f64>,
}

impl Estimate {
    pub(crate) fn add(&mut self, time: Duration) {
        let sample = time.as_secs_f64();
        self.mean = Some(match self.mean {
            None => sample,
            Some(mean) => mean + GAIN * (sample - mean),
        });
    }

    /// Mean in seconds; zero before the first sample, so that nothing is
    /// refused on a guess.
    pub(crate) fn mean(&self) -> f64 {
        self.mean.unwrap_or(0.0)
    }
}
