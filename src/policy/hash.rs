//! Hash tables for the small keys of the policies. They use a multiplicative hash (Knuth, "The Art
//! of Computer Programming", volume 3, 6.4). This is safe because this process numbers the keys, so
//! that callers cannot choose keys that collide.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

/// Hash table for small keys on the request path.
pub(crate) type KeyMap<K, V> = HashMap<K, V, BuildHasherDefault<KeyHasher>>;

/// 2^64 divided by the golden ratio, rounded to an odd number.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hasher of small integers and tuples of them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KeyHasher(u64);

impl KeyHasher {
    fn add(&mut self, value: u64) {
        self.0 = (self.0.rotate_left(26) ^ value).wrapping_mul(MULTIPLIER);
    }
}

impl Hasher for KeyHasher {
    fn finish(&self) -> u64 {
        // The table takes its index from the low bits, which the multiplication mixes poorly.
        self.0 ^ (self.0 >> 32)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.add(u64::from(*byte));
        }
    }

    fn write_u8(&mut self, value: u8) {
        self.add(u64::from(value));
    }

    fn write_u16(&mut self, value: u16) {
        self.add(u64::from(value));
    }

    fn write_u32(&mut self, value: u32) {
        self.add(u64::from(value));
    }

    fn write_u64(&mut self, value: u64) {
        self.add(value);
    }

    fn write_usize(&mut self, value: usize) {
        self.add(value as u64);
    }

    fn write_isize(&mut self, value: isize) {
        self.add(value as u64);
    }
}
