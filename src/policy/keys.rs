//! Small `Copy` keys for teams, pools, queues, workers and requests. With them no name is compared
//! or cloned on the request path.

pub use crate::upkeep::{PoolKey, ZoneKey};

/// A team, numbered by the process that calls the policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TeamKey(pub u32);

/// A queue of the entitlements list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueueKey(pub u16);

/// One incarnation of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerKey(pub u32);

/// A request within one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey(pub u64);

/// A peer entry whose reports are merged into the usage view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PeerKey(pub u32);
