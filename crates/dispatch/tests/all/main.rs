//! Decisions of one balancer.

#![expect(clippy::unwrap_used, reason = "a failed set-up ends the test")]

mod common;
mod link;
mod packets;
