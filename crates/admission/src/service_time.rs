//! Measures service times.

use std::time::Duration;

/// Smoothing factor of the moving average; about 16 samples make up the mean.
const SMOOTHING: f64 = 1.0 / 16.0;

/// Exponential moving average of the service times of one class.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServiceTime {
    mean: Option<f64>,
}

impl ServiceTime {
    pub(crate) fn add(&mut self, time: Duration) {
        let sample = time.as_secs_f64();
        self.mean = Some(match self.mean {
            None => sample,
            Some(mean) => mean + SMOOTHING * (sample - mean),
        });
    }

    /// Mean in seconds; zero before the first sample, so that no request is
    /// refused without a measurement.
    pub(crate) fn mean(&self) -> f64 {
        self.mean.unwrap_or(0.0)
    }
}
