//! The two lists that operators edit: `plans` (what each customer bought) and `entitlements` (what
//! each plan may use).

mod check;
pub(crate) mod checks;
pub(crate) mod cross;
pub(crate) mod decode;
mod diff;
mod types;

pub use check::check_texts;
pub use diff::{diff, Change, ChangeKind};
pub use types::{
    AvailabilityBudget, Entitlement, Entitlements, Lists, Maintenance, MeasureWeights, Plan, Plans,
    Pool, Queue, Team,
};
