//! Records that the leader writes for operators to read.

use smol_str::{format_smolstr, SmolStr};

use super::store::{Store, Topic};
use crate::node::{StoreFailure, WaveReport};

/// Timeout of a report, in milliseconds.
const TIMEOUT_MS: u64 = 1_500;

/// Returns the record of a report on a wave.
pub fn wave_record(report: WaveReport) -> (SmolStr, Option<Vec<u8>>) {
    let WaveReport { wave, is_complete } = report;
    let state = match is_complete {
        true => "complete",
        false => "active",
    };
    let value = serde_json::json!({ "state": state }).to_string();
    (format_smolstr!("wave/{wave}"), Some(value.into_bytes()))
}

/// Writes a report on a wave if the topic ends at `end_offset`, or else where the store says that it does, and
/// returns the offset after it. The store may carry out an append late that had no answer; a report then
/// replaces no newer one.
pub async fn report_wave(
    store: &Store,
    report: WaveReport,
    end_offset: u64,
    may_send: impl Fn() -> bool,
) -> Result<u64, StoreFailure> {
    let records = [wave_record(report)];
    let append = async |at_offset| {
        let condition = (Some(at_offset), None);
        store
            .append_if(Topic::Status, &records, condition, TIMEOUT_MS, &may_send)
            .await
    };
    match append(end_offset).await {
        Err(StoreFailure::Moved { end_offset }) => append(end_offset).await,
        reported => reported,
    }
}
