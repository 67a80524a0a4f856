//! What operators read in the store.

use smol_str::{format_smolstr, SmolStr};

/// Returns the record that tells how a wave stands.
pub fn wave_record(wave: u64, is_complete: bool) -> (SmolStr, Option<Vec<u8>>) {
    let state = match is_complete {
        true => "complete",
        false => "active",
    };
    let value = serde_json::json!({ "state": state }).to_string();
    (format_smolstr!("wave/{wave}"), Some(value.into_bytes()))
}
