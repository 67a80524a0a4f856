//! A small specification of the core protocol, explored exhaustively: the real fold of the ledger
//! in an abstract environment that pauses processes, and loses, delays and repeats records.
//! `docs/model.md` lists what is covered. Each property also runs with one guard disabled, to show
//! that the checker detects it.

mod budgets;
mod calls;
mod checker;
mod configuration;
mod folds;
mod limits;
mod moves;
mod rules;
mod single_runs;
mod world;
