//! Reads the body of an answer up to a limit.

use std::io::{self, Read};

/// The body of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerBody {
    /// The first bytes, up to the limit.
    pub bytes: Vec<u8>,
    /// Number of bytes beyond the limit, which were discarded.
    pub excess_bytes: u64,
}

/// Reads `reader` to its end, but at most `read_max_bytes`. Keeps the first `kept_max_bytes`, and
/// counts and discards the rest.
///
/// Does not read again after the end. `attohttpc` ends its timer thread at the first read that
/// returns nothing, and reports a later one as a timeout if the thread is gone by then.
pub fn read_body(
    reader: impl Read,
    kept_max_bytes: u64,
    read_max_bytes: u64,
) -> io::Result<AnswerBody> {
    let mut reader = reader.take(read_max_bytes);
    let mut bytes = Vec::new();
    reader
        .by_ref()
        .take(kept_max_bytes)
        .read_to_end(&mut bytes)?;
    let is_at_end = (bytes.len() as u64) < kept_max_bytes;
    let excess_bytes = match is_at_end {
        true => 0,
        false => io::copy(&mut reader, &mut io::sink())?,
    };
    Ok(AnswerBody {
        bytes,
        excess_bytes,
    })
}
