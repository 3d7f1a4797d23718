//! The program `zinnia-lab`.

fn main() {}
