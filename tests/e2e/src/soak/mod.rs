//! Randomized soak: a deployment under load and faults, with every promise checked.
//!
//! A seed gives the whole course of a round: which processes are killed,
//! suspended or stopped, which links are cut, lose or delay, which backend
//! servers leave and which changes operators make, in series and overlapping.
//! Callers keep using their connections until the end.

mod play;
mod schedule;

pub use play::{Report, play};
pub use schedule::{Fault, ROUND_MS, Step, schedule};
