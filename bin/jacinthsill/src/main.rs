//! jacinthsill.

fn main() {}
