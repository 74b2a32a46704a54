//! load.

fn main() {}
