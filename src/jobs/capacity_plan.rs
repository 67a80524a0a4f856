//! The division of a fleet among its pools, as a function from a snapshot to a plan. Needs are met
//! in the order of [`Need`]: a lower one gives way while a higher one of any pool is not met.

use indexmap::IndexMap;
use smol_str::SmolStr;

/// Why a pool gets instances; earlier reasons go first.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    strum::IntoStaticStr,
    strum::EnumIter,
    strum::EnumCount,
)]
#[strum(serialize_all = "snake_case")]
pub enum Need {
    /// They hold long-running tasks, or tasks that need several instances at once.
    Held,
    /// Work that can still meet its targets.
    InTime,
    /// A demand peak that is about to start.
    ExpectedPeak,
    /// Work that can no longer meet its targets.
    Late,
    /// A demand peak that may start in this pool or in another one.
    PossiblePeak,
}

/// Number of instances that a pool needs for each reason; each includes those before it.
pub type Needs = [usize; <Need as strum::EnumCount>::COUNT];

/// What a pool gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allotment {
    /// Number of instances.
    pub count: usize,
    /// First need that is not met in full, if there is one.
    pub unmet: Option<Need>,
}

/// Divides `fleet_count` instances among pools. A need that cannot be met for all pools is met in
/// proportion to what each lacks.
pub fn allot(pools: &IndexMap<SmolStr, Needs>, fleet_count: usize) -> IndexMap<SmolStr, Allotment> {
    let none = Allotment {
        count: 0,
        unmet: None,
    };
    let mut plan: IndexMap<SmolStr, Allotment> =
        pools.keys().map(|pool| (pool.clone(), none)).collect();
    let mut left_count = fleet_count;
    for (at, need) in <Need as strum::IntoEnumIterator>::iter().enumerate() {
        let lacks: Vec<usize> = pools
            .iter()
            .map(|(pool, needs)| needs[at].saturating_sub(plan[pool].count))
            .collect();
        let lack_count: usize = lacks.iter().sum();
        let granted_count = lack_count.min(left_count);
        for (allotment, lack) in plan.values_mut().zip(&lacks) {
            let part = lack * granted_count / lack_count.max(1);
            allotment.count += part;
            if part < *lack && allotment.unmet.is_none() {
                allotment.unmet = Some(need);
            }
        }
        left_count -= granted_count;
    }
    plan
}
