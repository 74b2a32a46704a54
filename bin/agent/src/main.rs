//! agent.

fn main() {}
