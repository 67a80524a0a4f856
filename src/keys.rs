//! Keys that callers present: `<id>.<secret>`. The id is public; of the secret, only the BLAKE3
//! digest is stored.

use rand::RngExt;
use smol_str::{format_smolstr, SmolStr};

use crate::ledger::KeyId;

/// Length of a secret.
const SECRET_BYTES: usize = 32;

/// Length of an id.
const ID_BYTES: usize = 8;

/// A new key, shown once to the operator who grants it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewKey {
    /// Public id.
    pub key_id: KeyId,
    /// The full key that callers present.
    pub text: SmolStr,
    /// Digest of the secret, in hexadecimal.
    pub digest: SmolStr,
}

/// Generates a key from a random number generator that the operating system seeds.
pub fn generate() -> NewKey {
    let mut rng = rand::rng();
    let id: [u8; ID_BYTES] = rng.random();
    let secret: [u8; SECRET_BYTES] = rng.random();
    let key_id = hex(&id);
    let secret = hex(&secret);
    NewKey {
        text: format_smolstr!("{key_id}.{secret}"),
        digest: digest(&secret),
        key_id,
    }
}

/// Splits a presented key into its id and the digest of its secret. Returns `None` if it has no
/// dot.
pub fn split(text: &str) -> Option<(&str, SmolStr)> {
    let (key_id, secret) = text.split_once('.')?;
    Some((key_id, digest(secret)))
}

fn digest(secret: &str) -> SmolStr {
    SmolStr::new(blake3::hash(secret.as_bytes()).to_hex())
}

fn hex(bytes: &[u8]) -> SmolStr {
    bytes
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect::<String>()
        .into()
}
