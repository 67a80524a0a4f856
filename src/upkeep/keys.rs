//! Small `Copy` keys into the arenas of the ledger's fold. A key is only meaningful together with
//! the arena that issued it.

use serde::{Deserialize, Serialize};

macro_rules! arena_key {
    ($(#[$doc:meta])* $name:ident($repr:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl $name {
            /// Returns the index into the arena.
            pub fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

arena_key!(
    /// Index of a pool.
    PoolKey(u16)
);
arena_key!(
    /// Index of an availability zone.
    ZoneKey(u16)
);
arena_key!(
    /// Index of a rack.
    RackKey(u32)
);
arena_key!(
    /// Index of an instance.
    InstanceKey(u32)
);
