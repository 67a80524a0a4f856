//! The evacuations of zones that operators have requested, as this node knows them from their
//! records. Every node follows the records, so that a new leader knows them from its first step.

use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;

use crate::logging::Event;

/// Evacuations in force, by zone.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    zones: IndexMap<SmolStr, Requested>,
    /// Offset of the newest removal that was applied; older requests have no effect.
    withdrawn_offset: Option<u64>,
}

/// The record that requests an evacuation.
#[derive(Clone, Copy, Debug)]
struct Requested {
    offset: u64,
    /// Time at which this node read the record.
    seen_ms: u64,
}

impl Evacuations {
    /// Applies a record that requests the evacuation of a zone; returns whether it is a new one.
    pub fn request(&mut self, zone: &SmolStr, offset: u64, now_ms: u64) -> bool {
        if let Some(known) = self.zones.get_mut(zone) {
            known.offset = known.offset.max(offset);
            return false;
        }
        if self.withdrawn_offset.is_some_and(|newest| offset <= newest) {
            return false;
        }
        let requested = Requested {
            offset,
            seen_ms: now_ms,
        };
        self.zones.insert(zone.clone(), requested);
        Event::new("evacuation_requested")
            .with("zone", zone)
            .with("offset", offset)
            .with("zones_count", self.zones.len())
            .info();
        true
    }

    /// Applies the removal of a zone's record; returns whether the zone was evacuated. A removal
    /// that is older than the newest request has no effect.
    pub fn withdraw(&mut self, zone: &SmolStr, offset: u64, now_ms: u64) -> bool {
        let is_newer = |known: &Requested| known.offset <= offset;
        if !self.zones.get(zone).is_some_and(is_newer) {
            return false;
        }
        self.withdrawn_offset = self.withdrawn_offset.max(Some(offset));
        let Some(requested) = self.zones.shift_remove(zone) else {
            return false;
        };
        Event::new("evacuation_withdrawn")
            .with("zone", zone)
            .with("offset", offset)
            .with("requested_at_offset", requested.offset)
            .with("age_ms", now_ms.saturating_sub(requested.seen_ms))
            .info();
        true
    }

    /// Withdraws the evacuation of each zone without a record among the newest of all keys, which
    /// were read from `offset` on; returns whether there was any.
    pub fn withdraw_all_but(
        &mut self,
        requested: &IndexSet<SmolStr>,
        offset: u64,
        now_ms: u64,
    ) -> bool {
        let gone: Vec<SmolStr> = self
            .zones
            .keys()
            .filter(|zone| !requested.contains(*zone))
            .cloned()
            .collect();
        let mut is_any = false;
        for zone in gone {
            is_any |= self.withdraw(&zone, offset, now_ms);
        }
        is_any
    }

    /// Returns the evacuated zones.
    pub fn zones(&self) -> IndexSet<SmolStr> {
        self.zones.keys().cloned().collect()
    }

    /// Returns the time since this node learned of the oldest evacuation, in milliseconds; 0 if
    /// there is none.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        let ages = self.zones.values();
        let ages = ages.map(|requested| now_ms.saturating_sub(requested.seen_ms));
        ages.max().unwrap_or(0)
    }
}
