//! The subcommands of the program, one module each: a maker of its `clap` command beside its
//! `execute`.
pub(crate) mod experiment;
