//! Processor time and memory of this process.

use std::time::Duration;

use nix::sys::resource::{UsageWho, getrusage};
use thiserror::Error;

/// A figure that the operating system does not give.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// Processor time.
    #[error("cannot read the processor time of this process: {0}")]
    Time(#[from] nix::Error),
    /// Memory.
    #[error("cannot read the memory size from /proc/self/statm: {0}")]
    Memory(std::io::Error),
    /// A value that can't be encoded.
    #[error("cannot encode a message: {0}")]
    Encode(Box<str>),
}

/// Page size of the platforms that this runs on.
const PAGE: u64 = 4096;

/// Repetitions; the fastest one counts, since other work only adds time.
const ROUNDS: usize = 3;

/// Processor time of this thread so far.
fn processor() -> Result<Duration, MeasureError> {
    let usage = getrusage(UsageWho::RUSAGE_THREAD)?;
    let span = |t: nix::sys::time::TimeVal| {
        let micros = t.tv_sec() * 1_000_000 + t.tv_usec();
        Duration::from_micros(u64::try_from(micros).unwrap_or(0))
    };
    Ok(span(usage.user_time()) + span(usage.system_time()))
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

fn resident() -> Result<u64, MeasureError> {
    let text = std::fs::read_to_string("/proc/self/statm").map_err(MeasureError::Memory)?;
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse::<u64>().ok());
    Ok(pages.unwrap_or(0) * PAGE)
}

/// Resident memory that building a value adds, in bytes.
///
/// # Errors
/// When the operating system gives no memory size.
pub fn memory_of<T>(build: impl FnOnce() -> T) -> Result<f64, MeasureError> {
    let before = resident()?;
    let value = build();
    let after = resident()?;
    drop(std::hint::black_box(value));
    Ok(after.saturating_sub(before) as f64)
}
