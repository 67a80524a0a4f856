//! The row-by-row difference between two versions of the lists. A change of one row puts only that
//! row into the log, however long the lists are.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::lists::{Entitlement, Lists, Maintenance, MeasureWeights, Plan, Pool, Queue, Team};

/// Changed rows of one section of a list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SectionPatch<T> {
    /// New and changed rows; a changed row replaces the row of the same name.
    #[serde(default = "Vec::new", skip_serializing_if = "Vec::is_empty")]
    pub set: Vec<T>,
    /// Names of removed rows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<SmolStr>,
}

impl<T> Default for SectionPatch<T> {
    fn default() -> Self {
        Self {
            set: Vec::new(),
            removed: Vec::new(),
        }
    }
}

impl<T: Clone + PartialEq> SectionPatch<T> {
    fn between(old: &[T], new: &[T], name_of: fn(&T) -> &SmolStr) -> Self {
        let has_row = |rows: &[T], name: &SmolStr| rows.iter().any(|row| name_of(row) == name);
        Self {
            set: new
                .iter()
                .filter(|row| !old.contains(row))
                .cloned()
                .collect(),
            removed: old
                .iter()
                .map(name_of)
                .filter(|name| !has_row(new, name))
                .cloned()
                .collect(),
        }
    }

    fn apply_to(&self, rows: &mut Vec<T>, name_of: fn(&T) -> &SmolStr) {
        rows.retain(|row| !self.removed.contains(name_of(row)));
        for new in &self.set {
            match rows.iter_mut().find(|row| name_of(row) == name_of(new)) {
                Some(row) => *row = new.clone(),
                None => rows.push(new.clone()),
            }
        }
    }

    fn is_empty(&self) -> bool {
        self.set.is_empty() && self.removed.is_empty()
    }
}

/// The rows of both lists that a publication changes or removes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ListsPatch {
    /// Changed plans.
    #[serde(skip_serializing_if = "SectionPatch::is_empty")]
    pub plans: SectionPatch<Plan>,
    /// Changed teams.
    #[serde(skip_serializing_if = "SectionPatch::is_empty")]
    pub teams: SectionPatch<Team>,
    /// Changed pools.
    #[serde(skip_serializing_if = "SectionPatch::is_empty")]
    pub pools: SectionPatch<Pool>,
    /// Changed queues.
    #[serde(skip_serializing_if = "SectionPatch::is_empty")]
    pub queues: SectionPatch<Queue>,
    /// Changed entitlements.
    #[serde(skip_serializing_if = "SectionPatch::is_empty")]
    pub entitlements: SectionPatch<Entitlement>,
    /// Changed weights of the measures.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub measure_weights: Option<MeasureWeights>,
    /// Changed maintenance times.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub maintenance: Option<Maintenance>,
}

impl ListsPatch {
    /// Returns the patch that turns `old` into `new`, except for the order of rows.
    pub fn between(old: &Lists, new: &Lists) -> Self {
        let (old_use, new_use) = (&old.entitlements, &new.entitlements);
        let weights = new.plans.measure_weights;
        Self {
            plans: SectionPatch::between(&old.plans.plans, &new.plans.plans, |row| &row.name),
            teams: SectionPatch::between(&old.plans.teams, &new.plans.teams, |row| &row.name),
            pools: SectionPatch::between(&old_use.pools, &new_use.pools, |row| &row.name),
            queues: SectionPatch::between(&old_use.queues, &new_use.queues, |row| &row.name),
            entitlements: SectionPatch::between(
                &old_use.entitlements,
                &new_use.entitlements,
                |row| &row.plan,
            ),
            measure_weights: (weights != old.plans.measure_weights).then_some(weights),
            maintenance: (new_use.maintenance != old_use.maintenance)
                .then_some(new_use.maintenance),
        }
    }

    /// Applies the patch to `lists`.
    pub fn apply_to(&self, lists: &mut Lists) {
        self.plans.apply_to(&mut lists.plans.plans, |row| &row.name);
        self.teams.apply_to(&mut lists.plans.teams, |row| &row.name);
        let entitlements = &mut lists.entitlements;
        self.pools
            .apply_to(&mut entitlements.pools, |row| &row.name);
        self.queues
            .apply_to(&mut entitlements.queues, |row| &row.name);
        self.entitlements
            .apply_to(&mut entitlements.entitlements, |row| &row.plan);
        if let Some(weights) = self.measure_weights {
            lists.plans.measure_weights = weights;
        }
        if let Some(maintenance) = self.maintenance {
            lists.entitlements.maintenance = maintenance;
        }
    }

    /// Returns whether the patch changes nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
