//! The two lists that operators edit: `plans` (what customers bought) and `entitlements` (what each
//! plan may use).

mod types;

pub use types::{
    AvailabilityBudget, Entitlement, Entitlements, Lists, MeasureWeights, Plan, Plans, Pool, Queue,
    Team,
};
