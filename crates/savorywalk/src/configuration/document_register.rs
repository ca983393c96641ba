use crate::control::{
    DocumentCommand, DocumentOutcome, DocumentRegisterSnapshot, EndpointIncarnation,
};
use crate::prelude::*;

/// Retired endpoints remembered. A daemon that has missed more than this takes
/// the remembered ones; by then the older ones have long exited.
const MAX_RETIRED: usize = 4_096;

/// Whole configuration documents under the operator's own numbers, and the
/// endpoints that have said that they leave.
///
/// The highest number is in force; an older one, or the same one again, changes
/// nothing. See docs/design/platform.md.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DocumentRegister {
    number: u64,
    content: Bytes,
    retired: VecDeque<EndpointIncarnation>,
    retired_total: u64,
}

impl DocumentRegister {
    /// Number in force; 0 for none.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The document in force, as the operator sent it.
    pub fn content(&self) -> &Bytes {
        &self.content
    }

    /// Takes a document unless one with its number or a higher one is there.
    pub fn publish(&mut self, command: DocumentCommand) -> DocumentOutcome {
        let accepted = command.number > self.number;
        let conflict = command.number == self.number && command.content != self.content;
        if accepted {
            self.number = command.number;
            self.content = command.content;
        }
        DocumentOutcome {
            number: self.number,
            accepted,
            conflict,
        }
    }

    /// Notes that an endpoint takes no new work any more.
    pub fn retire(&mut self, incarnation: EndpointIncarnation) {
        if self.is_retired(&incarnation) {
            return;
        }
        self.retired.push_back(incarnation);
        self.retired_total += 1;
        if self.retired.len() > MAX_RETIRED {
            self.retired.pop_front();
        }
    }

    /// Whether an incarnation has been retired lately, or a later one of the
    /// same endpoint: the earlier ones have ended by then.
    pub fn is_retired(&self, incarnation: &EndpointIncarnation) -> bool {
        self.retired.iter().any(|retired| {
            retired.endpoint == incarnation.endpoint && retired.born_ms >= incarnation.born_ms
        })
    }

    /// How many endpoints were retired in all.
    pub fn retired_total(&self) -> u64 {
        self.retired_total
    }

    /// The endpoints retired after the first `known`, oldest first.
    pub fn retired_after(&self, known: u64) -> impl Iterator<Item = &EndpointIncarnation> {
        let forgotten = self.retired_total - self.retired.len() as u64;
        let skipped = known.saturating_sub(forgotten) as usize;
        self.retired.iter().skip(skipped)
    }

    /// The form that a snapshot of the log carries.
    pub fn snapshot(&self) -> DocumentRegisterSnapshot {
        DocumentRegisterSnapshot {
            number: self.number,
            content: self.content.clone(),
            retired: self.retired.iter().cloned().collect(),
            retired_total: self.retired_total,
        }
    }

    /// Reads the form that a snapshot of the log carries.
    pub fn restore(snapshot: DocumentRegisterSnapshot) -> Self {
        Self {
            number: snapshot.number,
            content: snapshot.content,
            retired: snapshot.retired.into(),
            retired_total: snapshot.retired_total,
        }
    }
}

#[cfg(test)]
#[path = "document_register_tests.rs"]
mod tests;
