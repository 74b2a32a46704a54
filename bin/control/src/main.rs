//! control.

fn main() {}
