//! Records that the leader writes for operators to read.

use smol_str::{format_smolstr, SmolStr};

/// Returns the record that reports the state of a wave.
pub fn wave_record(wave: u64, is_complete: bool) -> (SmolStr, Option<Vec<u8>>) {
    let state = match is_complete {
        true => "complete",
        false => "active",
    };
    let value = serde_json::json!({ "state": state }).to_string();
    (format_smolstr!("wave/{wave}"), Some(value.into_bytes()))
}
