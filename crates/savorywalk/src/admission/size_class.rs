use crate::prelude::*;

/// Unit of the class bounds; the first class ends below twice this size.
const UNIT_BYTES: usize = 64;

/// A range of input sizes. Each class begins at twice the size of the one before, because the
/// cost of an input depends on its order of magnitude rather than on single bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct SizeClass(u8);

impl SizeClass {
    /// Number of classes; the last one has no upper bound.
    pub const COUNT: usize = 16;

    /// The class of an input of `bytes`.
    pub fn from_bytes(bytes: usize) -> Self {
        let class = (bytes.max(UNIT_BYTES) / UNIT_BYTES).ilog2();
        Self(class.min(Self::COUNT as u32 - 1) as u8)
    }

    /// Index of the class; 0 is the smallest.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Smallest input size of the class, in bytes.
    pub fn lower_bytes(self) -> usize {
        if self.0 == 0 { 0 } else { UNIT_BYTES << self.0 }
    }

    /// All classes in ascending order.
    pub fn all() -> impl DoubleEndedIterator<Item = Self> {
        (0..Self::COUNT as u8).map(Self)
    }
}
