use std::iter::Sum;

/// Parts into which a token is divided.
const PARTS: u64 = 1_000_000;

/// An amount of retry tokens, in millionths, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::gateway) struct TokenAmount(u64);

impl TokenAmount {
    /// Whole tokens.
    pub(in crate::gateway) fn whole(count: u32) -> Self {
        Self(u64::from(count) * PARTS)
    }

    /// A number of tokens, rounded down; none if it is negative.
    pub(in crate::gateway) fn rounded_down(count: f64) -> Self {
        Self((count * PARTS as f64) as u64)
    }

    pub(in crate::gateway) fn from_millionths(millionths: u64) -> Self {
        Self(millionths)
    }

    pub(in crate::gateway) fn millionths(self) -> u64 {
        self.0
    }

    /// Number of whole tokens in it.
    pub(in crate::gateway) fn count_whole(self) -> u32 {
        u32::try_from(self.0 / PARTS).unwrap_or(u32::MAX)
    }

    pub(super) fn is_zero(self) -> bool {
        self.0 == 0
    }

    pub(super) fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    pub(super) fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Sum for TokenAmount {
    fn sum<I: Iterator<Item = Self>>(amounts: I) -> Self {
        amounts.fold(Self::default(), Self::plus)
    }
}
