//! Reads the bodies of requests and answers into one buffer. The library hands a body over in parts
//! that each keep the whole buffer alive in which they were received, so that parts that are only
//! collected can take many times the memory of their bytes.

use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};

/// Size of a block of a buffer, in bytes.
const BLOCK_BYTES: usize = 4 << 10;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than allowed.
    TooLarge,
    /// The process has too little memory for it now.
    NoMemory,
    /// It ended early or is malformed.
    Broken,
}

/// Reads a body of at most `max_bytes`. `reserve` is called before the buffer grows by a number of
/// bytes, and returns whether it may.
pub(crate) async fn collect(
    incoming: &mut Incoming,
    max_bytes: usize,
    reserve: impl Fn(usize) -> bool,
) -> Result<Bytes, BodyError> {
    let declared_bytes = incoming.size_hint().exact();
    let is_declared_too_large = declared_bytes
        .is_some_and(|bytes| usize::try_from(bytes).map_or(true, |bytes| bytes > max_bytes));
    if is_declared_too_large {
        return Err(BodyError::TooLarge);
    }
    let mut buffer = BlockBuffer::default();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(part) = frame.into_data() else {
            continue;
        };
        if buffer.length_bytes + part.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        if !buffer.append(&part, &reserve) {
            return Err(BodyError::NoMemory);
        }
    }
    Ok(buffer.into_bytes())
}

/// Bytes in blocks of one size. A single buffer would have to move as it grows, and the allocator would
/// keep the smaller ones that it leaves behind.
#[derive(Default)]
struct BlockBuffer {
    blocks: Vec<Vec<u8>>,
    length_bytes: usize,
}

impl BlockBuffer {
    /// Appends a part of a body. Returns whether `reserve` has allowed all blocks that it needs.
    fn append(&mut self, mut part: &[u8], reserve: &impl Fn(usize) -> bool) -> bool {
        self.length_bytes += part.len();
        while !part.is_empty() {
            let space_bytes = self
                .blocks
                .last()
                .map_or(0, |block| BLOCK_BYTES - block.len());
            match self.blocks.last_mut() {
                Some(block) if space_bytes > 0 => {
                    let (fitting, rest) = part.split_at(space_bytes.min(part.len()));
                    block.extend_from_slice(fitting);
                    part = rest;
                }
                _ if reserve(BLOCK_BYTES) => self.blocks.push(Vec::with_capacity(BLOCK_BYTES)),
                _ => return false,
            }
        }
        true
    }

    fn into_bytes(self) -> Bytes {
        match <[Vec<u8>; 1]>::try_from(self.blocks) {
            Ok([block]) => Bytes::from(block),
            Err(blocks) => Bytes::from(blocks.concat()),
        }
    }
}
