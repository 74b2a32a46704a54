//! Tests of the individual ownership rules.

mod common;
mod ownership;
mod resets;
