//! A small specification of the core protocol, explored exhaustively: the real fold of the ledger
//! under an abstract environment that pauses, loses, delays and repeats. `docs/model.md` says what is
//! covered. Each property also runs once with one guard broken, to show that the checker finds it.

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
