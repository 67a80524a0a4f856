//! Maintenance of the instances: availability budgets, moves between pools, buffers and roll-outs.
//! All decisions are pure functions of a view of the fleet.

pub mod budget;
pub mod buffers;
pub mod counts;
pub mod demand;
pub mod drain;
pub mod drive;
pub mod evidence;
pub mod keys;
pub mod maintenance;
pub mod moves;
mod progress;
pub mod rollout;
mod wave;

pub use budget::{
    can_assign, can_release, check_stop, strictest_budget, BudgetBreach, BudgetBreachKind,
    BudgetView, PoolBudget,
};
pub use counts::{FleetCounts, Member};
pub use keys::{InstanceKey, PoolKey, RackKey, ZoneKey};
