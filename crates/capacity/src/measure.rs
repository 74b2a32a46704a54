//! Processor time and memory of this process.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use thiserror::Error;

/// A figure that the operating system does not give.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// Processor time.
    #[error("cannot read the processor time of this process: {0}")]
    Time(#[from] nix::Error),
    /// A value that can't be encoded.
    #[error("cannot encode a message: {0}")]
    Encode(Box<str>),
}

/// Repetitions; the fastest one counts, since other work only adds time.
const ROUNDS: usize = 3;

/// Processor time of this thread so far.
fn processor() -> Result<Duration, MeasureError> {
    Ok(clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)?.into())
}

/// Processor time of one of `count` steps, in ns.
///
/// # Errors
/// When the operating system gives no processor time.
pub fn time_per(count: usize, mut run: impl FnMut(usize)) -> Result<f64, MeasureError> {
    let mut best = f64::INFINITY;
    for _ in 0..ROUNDS {
        let start = processor()?;
        for step in 0..count {
            run(step);
        }
        let spent = processor()? - start;
        best = best.min(spent.as_nanos() as f64 / count as f64);
    }
    Ok(best)
}

/// Memory that a value holds after it was built, in bytes.
pub fn memory_of<T>(allocated: fn() -> usize, build: impl FnOnce() -> T) -> f64 {
    let before = allocated();
    let value = build();
    let after = allocated();
    drop(std::hint::black_box(value));
    after.saturating_sub(before) as f64
}
