//! Choice of the entry that drives a background task, for example the roll-out. Every entry
//! computes it locally from the live seats by highest random weight, also known as rendezvous
//! hashing (Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996). After the
//! loss of a driver, other entries take over its tasks without any agreement. Entries with
//! different views may both drive a task for a while; this is safe because their claims are checked
//! at their offset in the log.
//!
//! The simulated entries of [`crate::load::upkeep_model`] use this function. A running entry
//! applies the same method to the seats of the ledger.

/// Returns the seat that drives `task`, or `None` if there is no seat.
pub fn driver<'a>(seats: impl IntoIterator<Item = &'a str>, task: &str) -> Option<&'a str> {
    seats
        .into_iter()
        .max_by_key(|seat| (weight(seat, task), *seat))
}

fn weight(seat: &str, task: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seat.len().to_le_bytes());
    hasher.update(seat.as_bytes());
    hasher.update(task.as_bytes());
    *hasher.finalize().as_bytes()
}
