//! The system clocks as a [`Clock`] port.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::fleet::UnixMs;
use crate::ports::Clock;

const MS_PER_S: u64 = 1_000;
const NS_PER_MS: u64 = 1_000_000;

/// The system clocks. The monotonic one is `CLOCK_BOOTTIME`, which advances while the machine is
/// suspended, so that leases also expire for a holder that was suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn mono_ms(&self) -> u64 {
        let mut now = libc::timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        // SAFETY: `now` is valid for writes for the duration of the call.
        let status = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut now) };
        assert_eq!(
            status, 0,
            "CLOCK_BOOTTIME is available on Linux since 2.6.39"
        );
        let s = u64::try_from(now.tv_sec).unwrap_or(0);
        let ns = u64::try_from(now.tv_nsec).unwrap_or(0);
        s * MS_PER_S + ns / NS_PER_MS
    }

    fn unix_ms(&self) -> UnixMs {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| {
                u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
            })
    }
}
