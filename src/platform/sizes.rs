//! Wire format of requested and available capacity.

use serde::{Deserialize, Serialize};

use crate::jobs::Size;

/// Requested or available capacity; `cpu` is in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct SizeWire {
    cpu: u64,
    memory_request_mb: u64,
    gpu: u64,
}

impl From<SizeWire> for Size {
    fn from(wire: SizeWire) -> Self {
        Self {
            cpu_millis: wire.cpu,
            memory_mb: wire.memory_request_mb,
            gpu_count: wire.gpu,
        }
    }
}
