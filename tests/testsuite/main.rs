//! The integration tests, one module per topic.

mod upkeep_budget;
