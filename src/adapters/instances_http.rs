//! [`InstancePort`] over HTTP.

use attohttpc::Method;
use smol_str::SmolStr;

use crate::adapters::http_client::{percent_encode, HttpCall};
use crate::adapters::log_http::{decode, require_ok, service_call, ServiceTimeouts};
use crate::ports::{InstancePage, InstancePort, PortError};

/// Longest answer, in bytes: 14,000 rows of about 400 bytes, with room for growth.
const LIST_MAX_BYTES: u64 = 16 * 1_024 * 1_024;

/// Adapter to the instance list at one address.
#[derive(Clone, Debug)]
pub struct HttpInstances {
    address: SmolStr,
    timeouts: ServiceTimeouts,
}

impl HttpInstances {
    /// Returns an adapter to the instance list at `address`. Each call opens a new connection.
    pub fn open(address: &str, timeouts: ServiceTimeouts) -> Self {
        Self {
            address: address.into(),
            timeouts,
        }
    }
}

impl InstancePort for HttpInstances {
    fn list(&self, known_version: u64, wait_ms: u64) -> Result<InstancePage, PortError> {
        let path = format!("/instances?known={known_version}&wait_ms={wait_ms}");
        let answer = HttpCall {
            timeout_ms: self.timeouts.call_ms.saturating_add(wait_ms),
            answer_max_bytes: LIST_MAX_BYTES,
            ..service_call(&self.address, self.timeouts, Method::GET, path)
        }
        .send()?;
        decode(&require_ok(answer)?)
    }

    fn reboot(&self, name: &str, incarnation: &str) -> Result<(), PortError> {
        let path = format!(
            "/instances/{}/reboot?incarnation={}",
            percent_encode(name),
            percent_encode(incarnation),
        );
        let answer = service_call(&self.address, self.timeouts, Method::POST, path).send()?;
        require_ok(answer).map(drop)
    }
}
