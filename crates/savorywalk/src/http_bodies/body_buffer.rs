use std::io;

use memmap2::MmapMut;

/// Size beyond which a body has pages of its own, which go back to the system with it. The allocator
/// keeps large blocks of all sizes in each of its arenas, several times what is used at a time.
const MAP_BYTES: usize = 64 << 10;

/// The bytes of one body while it is read, and afterwards.
#[derive(Debug)]
pub(super) enum BodyBuffer {
    Block(Vec<u8>),
    Pages {
        /// As large as the body may become; only what is written takes memory.
        pages: MmapMut,
        len: usize,
    },
}

impl BodyBuffer {
    /// A buffer for a body that announces `announced` bytes, 0 if it announces none.
    pub(super) fn new(announced: usize) -> Self {
        Self::Block(Vec::with_capacity(announced.min(MAP_BYTES)))
    }

    pub(super) fn len(&self) -> usize {
        match self {
            Self::Block(block) => block.len(),
            Self::Pages { len, .. } => *len,
        }
    }

    /// Adds bytes to a body that has at most `limit` bytes with them.
    ///
    /// # Errors
    ///
    /// That of the system when it has no pages.
    pub(super) fn push(&mut self, data: &[u8], limit: usize) -> io::Result<()> {
        if let Self::Block(block) = self
            && block.len() + data.len() > MAP_BYTES
        {
            let mut pages = MmapMut::map_anon(limit)?;
            let len = block.len();
            pages[..len].copy_from_slice(block);
            *self = Self::Pages { pages, len };
        }
        match self {
            Self::Block(block) => block.extend_from_slice(data),
            Self::Pages { pages, len } => {
                pages[*len..*len + data.len()].copy_from_slice(data);
                *len += data.len();
            }
        }
        Ok(())
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        match self {
            Self::Block(block) => block,
            Self::Pages { pages, len } => &pages[..*len],
        }
    }
}

#[cfg(test)]
#[path = "body_buffer_tests.rs"]
mod tests;
