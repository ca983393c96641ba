use crate::prelude::*;

/// Why an engine reads a shared part of a prompt that was placed there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadReason {
    /// It does not: it has the part cached.
    Cached,
    /// No engine had the part.
    FirstHome,
    /// The part is asked for more often than its homes can answer.
    AnotherHome,
    /// Waiting at a home would have taken longer than reading the part again costs.
    HomeOverloaded,
    /// The engines that had the part have evicted it.
    Evicted,
    /// The engines that had the part are gone or may not be used.
    EngineLost,
    /// The coordinator is new and does not know who has the part.
    ModelNew,
}

impl ReadReason {
    /// All reasons, in the order of [`PlacementCounts`].
    pub const ALL: [Self; 7] = [
        Self::Cached,
        Self::FirstHome,
        Self::AnotherHome,
        Self::HomeOverloaded,
        Self::Evicted,
        Self::EngineLost,
        Self::ModelNew,
    ];

    /// Name in metrics and log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Cached => "cached",
            Self::FirstHome => "first_home",
            Self::AnotherHome => "another_home",
            Self::HomeOverloaded => "home_overloaded",
            Self::Evicted => "evicted",
            Self::EngineLost => "engine_lost",
            Self::ModelNew => "model_new",
        }
    }
}

/// Tokens of shared parts in placed prompts, by the reason for reading them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementCounts {
    tokens: [u64; ReadReason::ALL.len()],
}

impl PlacementCounts {
    /// Adds the tokens of one part.
    pub fn add(&mut self, reason: ReadReason, tokens: u64) {
        self.tokens[reason as usize] += tokens;
    }

    /// Tokens that were read for a reason, or not at all if cached.
    pub fn tokens_of(&self, reason: ReadReason) -> u64 {
        self.tokens[reason as usize]
    }

    /// Adds all tokens of other placements.
    pub fn merge(&mut self, other: &Self) {
        for (reason, tokens) in other.by_reason() {
            self.add(reason, tokens);
        }
    }

    /// Tokens by reason; reasons without tokens are left out.
    pub fn by_reason(&self) -> impl Iterator<Item = (ReadReason, u64)> {
        let tokens = ReadReason::ALL.map(|reason| (reason, self.tokens[reason as usize]));
        tokens.into_iter().filter(|(_, tokens)| *tokens > 0)
    }
}

impl fmt::Display for PlacementCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (reason, tokens)) in self.by_reason().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(formatter, "{separator}{}:{tokens}", reason.name())?;
        }
        Ok(())
    }
}
