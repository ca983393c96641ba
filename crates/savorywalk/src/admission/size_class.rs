use crate::prelude::*;

/// Inputs up to this size share the first class.
const SMALLEST_BYTES: usize = 64;

/// A range of input sizes, each twice as wide as the one before, since cost
/// grows with the order of magnitude rather than with single bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct SizeClass(u8);

impl SizeClass {
    /// How many classes there are; the last one has no upper bound.
    pub const COUNT: usize = 16;

    /// The class of an input of `bytes`.
    pub fn of(bytes: usize) -> Self {
        let class = (bytes.max(SMALLEST_BYTES) / SMALLEST_BYTES).ilog2();
        Self(class.min(Self::COUNT as u32 - 1) as u8)
    }

    /// Place of the class, from the smallest.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// The smallest input of the class, in bytes.
    pub fn lower_bytes(self) -> usize {
        if self.0 == 0 {
            0
        } else {
            SMALLEST_BYTES << self.0
        }
    }

    /// All classes, the smallest first.
    pub fn all() -> impl DoubleEndedIterator<Item = Self> {
        (0..Self::COUNT as u8).map(Self)
    }
}
