//! The `hawthornladder` program.

fn main() {}
