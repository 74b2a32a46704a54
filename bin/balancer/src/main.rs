//! balancer.

fn main() {}
