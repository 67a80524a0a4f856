//! API keys: only the digests of their secrets are stored, and a withdrawal is permanent.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use subtle::ConstantTimeEq;

use crate::fleet::TeamName;

/// Public id of a key: the part before the dot in the key that a caller presents.
pub type KeyId = SmolStr;

/// The stored data of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRow {
    /// Team that the key authenticates.
    pub team: TeamName,
    /// BLAKE3 digest of the secret, in hexadecimal.
    pub digest: SmolStr,
    /// Whether the key has been withdrawn.
    #[serde(default)]
    pub is_withdrawn: bool,
}

/// All keys ever granted, including withdrawn ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keys {
    rows: IndexMap<KeyId, KeyRow>,
}

impl Keys {
    /// Grants a key; returns whether that had an effect. Each id can be granted only once.
    pub(crate) fn grant(&mut self, key_id: &KeyId, row: &KeyRow) -> bool {
        if self.rows.contains_key(key_id) {
            return false;
        }
        let row = KeyRow {
            is_withdrawn: false,
            ..row.clone()
        };
        self.rows.insert(key_id.clone(), row);
        true
    }

    /// Withdraws a key; returns whether that had an effect.
    ///
    /// An unknown id is stored as withdrawn, so that a grant that is appended after its own
    /// withdrawal has no effect.
    pub(crate) fn withdraw(&mut self, key_id: &KeyId) -> bool {
        let row = self.rows.entry(key_id.clone()).or_insert_with(|| KeyRow {
            team: TeamName::default(),
            digest: SmolStr::default(),
            is_withdrawn: false,
        });
        !std::mem::replace(&mut row.is_withdrawn, true)
    }

    /// Returns the row of a key.
    pub fn get(&self, key_id: &str) -> Option<&KeyRow> {
        self.rows.get(key_id)
    }

    /// Returns all keys in the order in which they were first recorded.
    pub fn iter(&self) -> impl Iterator<Item = (&KeyId, &KeyRow)> {
        self.rows.iter()
    }
}

impl KeyRow {
    /// Compares `digest` with the digest of the key, in time that does not depend on where they
    /// differ.
    pub fn has_digest(&self, digest: &str) -> bool {
        self.digest.as_bytes().ct_eq(digest.as_bytes()).into()
    }
}
