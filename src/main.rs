//! The `hawthornladder` program.

mod cmd;

fn main() {}
