//! A buffer for bytes that arrive in parts.

use std::sync::Arc;

use hyper::body::Bytes;

/// Size of a block, in bytes.
const BLOCK_BYTES: usize = 4 << 10;

/// Bytes in blocks of one size. A single buffer would have to move as it grows, and the allocator would
/// keep the smaller ones that it leaves behind.
#[derive(Debug, Default)]
pub(crate) struct BlockBuffer {
    blocks: Vec<Vec<u8>>,
    length_bytes: usize,
}

impl BlockBuffer {
    /// Returns the number of bytes.
    pub(crate) fn len(&self) -> usize {
        self.length_bytes
    }

    /// Returns by how many bytes the memory of the buffer grows when a part is appended.
    pub(crate) fn missing_bytes(&self, part_bytes: usize) -> usize {
        let length_bytes = self.length_bytes + part_bytes;
        let blocks_count = length_bytes.div_ceil(BLOCK_BYTES);
        (blocks_count - self.blocks.len()) * BLOCK_BYTES
    }

    /// Appends a part.
    pub(crate) fn append(&mut self, mut part: &[u8]) {
        self.length_bytes += part.len();
        while !part.is_empty() {
            let block = self.block_with_space();
            let space_bytes = BLOCK_BYTES - block.len();
            let (fitting, rest) = part.split_at(space_bytes.min(part.len()));
            block.extend_from_slice(fitting);
            part = rest;
        }
    }

    fn block_with_space(&mut self) -> &mut Vec<u8> {
        let is_full = |block: &Vec<u8>| block.len() == BLOCK_BYTES;
        if self.blocks.last().is_none_or(is_full) {
            self.blocks.push(Vec::with_capacity(BLOCK_BYTES));
        }
        let last = self.blocks.len() - 1;
        &mut self.blocks[last]
    }

    /// Returns the bytes in one piece.
    pub(crate) fn into_bytes(self) -> Bytes {
        match <[Vec<u8>; 1]>::try_from(self.blocks) {
            Ok([block]) => Bytes::from(block),
            Err(blocks) => Bytes::from(blocks.concat()),
        }
    }

    /// Returns the bytes in one shared piece.
    pub(crate) fn into_shared(self) -> Arc<[u8]> {
        let zeros = std::iter::repeat_n(0, self.length_bytes);
        let mut bytes: Arc<[u8]> = zeros.collect();
        if let Some(mut rest) = Arc::get_mut(&mut bytes) {
            for block in self.blocks {
                let (start, after) = rest.split_at_mut(block.len());
                start.copy_from_slice(&block);
                rest = after;
            }
        }
        bytes
    }
}
