//! Hash tables for small keys that are looked up often. Their hash function is fast and seeded at
//! random.

use foldhash::fast::RandomState;

/// A hash map.
pub(crate) type HashMap<K, V> = std::collections::HashMap<K, V, RandomState>;
/// A hash map in the order of insertion.
pub(crate) type IndexMap<K, V> = indexmap::IndexMap<K, V, RandomState>;
/// A set in the order of insertion.
pub(crate) type IndexSet<K> = indexmap::IndexSet<K, RandomState>;
