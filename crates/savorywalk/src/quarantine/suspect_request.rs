use super::{PartId, RequestDigest, SuspectPrompt};
use crate::prelude::*;

/// Largest number of shared parts of one prompt that count. Usual prompts have one or two.
pub const MAX_PROMPT_PARTS: usize = 16;

/// A request that an endpoint was working on, as evidence of what crashes endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectRequest {
    /// Parts of its prompt that other requests may share.
    pub parts: BTreeSet<PartId>,
    /// Revision of the part lists that its entry had when it sent the request.
    pub part_revision: u64,
    /// Whether its answer had begun.
    pub begun: bool,
}

impl SuspectRequest {
    /// Reads a request of a report; `None` if its digest is malformed.
    pub fn read(prompt: &SuspectPrompt) -> Option<(RequestDigest, Self)> {
        let digest = RequestDigest::from_bytes(&prompt.digest)?;
        let parts = prompt.parts.iter().take(MAX_PROMPT_PARTS);
        let request = Self {
            parts: parts.copied().map(PartId).collect(),
            part_revision: prompt.part_revision,
            begun: prompt.begun,
        };
        Some((digest, request))
    }

    /// Converts the request for a report or a snapshot.
    pub fn to_prompt(&self, digest: RequestDigest) -> SuspectPrompt {
        SuspectPrompt {
            digest: digest.to_bytes(),
            parts: self.parts.iter().map(|part| part.0).collect(),
            part_revision: self.part_revision,
            begun: self.begun,
        }
    }

    /// Adds what another entry, or another attempt, has reported of the same request.
    pub fn merge(&mut self, other: Self) {
        self.parts.extend(other.parts);
        self.part_revision = self.part_revision.max(other.part_revision);
        self.begun |= other.begun;
    }
}
