//! Tests the dispatcher.

#![expect(clippy::unwrap_used, reason = "a failed setup ends the test")]

mod common;
mod link;
mod packets;
mod reads;
mod refusals;
mod several;
