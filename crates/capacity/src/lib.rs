//! Slopes: what each role's state and work cost as their size grows.
//!
//! Each slope is measured at four or more sizes over a factor of 100 or more,
//! in this process and on one thread, with the product's own libraries. A
//! least-squares line gives the slope; the largest residual over the largest
//! value tells whether a line describes the points. `docs/CAPACITY.md` works
//! from these figures to the totals at the design size.

mod agent;
mod balancer;
mod control;
mod fit;
mod fixture;
mod key;
mod measure;
mod message;
mod node;

pub use fit::{Fit, Slope};
pub use measure::MeasureError;

/// Size of the measurement.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Largest sizes are divided by this; 1 is the full measurement, tests use more.
    pub divisor: usize,
    /// Bytes that the allocator of this process has handed out.
    pub allocated: fn() -> usize,
}

/// Measures every slope; `progress` is called with the name of each one before it starts.
///
/// # Errors
/// When the operating system gives no processor time.
pub fn measure(
    options: Options,
    progress: &mut dyn FnMut(&str),
) -> Result<Vec<Slope>, MeasureError> {
    let mut slopes = Vec::new();
    let parts: [(&str, Part); 6] = [
        ("messages", message::slopes),
        ("balancer", balancer::slopes),
        ("agent", agent::slopes),
        ("idempotency keys", key::slopes),
        ("tables at a node", node::slopes),
        ("control", control::slopes),
    ];
    for (name, part) in parts {
        progress(name);
        slopes.extend(part(options)?);
    }
    Ok(slopes)
}

type Part = fn(Options) -> Result<Vec<Slope>, MeasureError>;
