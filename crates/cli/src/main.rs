//! Entry point of the `agatetrack` binary.

fn main() {}
