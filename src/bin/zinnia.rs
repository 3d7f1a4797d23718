//! The program `zinnia`.

fn main() {}
