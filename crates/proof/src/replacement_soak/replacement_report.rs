use savorywalk::prelude::*;

/// Breaches that a report shows one by one.
const MAX_SHOWN: usize = 8;

/// What a run has shown.
#[derive(Clone, Debug, Default)]
pub struct ReplacementReport {
    /// Control VMs that were replaced.
    pub replaced: usize,
    /// Documents that were accepted.
    pub documents: u64,
    /// Longest time until a document was accepted.
    pub slowest_document: Duration,
    /// Requests by status; 0 stands for no answer.
    pub statuses: BTreeMap<u16, usize>,
    /// Requests that endpoints answered without end.
    pub endless_answers: usize,
    /// Largest memory of a gateway, in bytes.
    pub peak_memory: u64,
    /// What broke a promise.
    pub breaches: Vec<String>,
}

impl ReplacementReport {
    /// Whether control VMs were replaced, requests were served and no promise was broken.
    pub fn is_sound(&self) -> bool {
        let served = self.statuses.get(&200).copied().unwrap_or_default();
        self.breaches.is_empty() && self.replaced > 0 && served > 0
    }
}

impl fmt::Display for ReplacementReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} replaced; {} documents, the slowest after {} ms; requests",
            self.replaced,
            self.documents,
            self.slowest_document.as_millis()
        )?;
        for (status, count) in &self.statuses {
            write!(formatter, " {status}: {count}")?;
        }
        write!(
            formatter,
            "; {} answers without end; gateways had {} MB at most",
            self.endless_answers,
            self.peak_memory >> 20
        )?;
        for breach in self.breaches.iter().take(MAX_SHOWN) {
            write!(formatter, "\nbroken: {breach}")?;
        }
        let hidden = self.breaches.len().saturating_sub(MAX_SHOWN);
        if hidden > 0 {
            write!(formatter, "\nbroken: {hidden} more")?;
        }
        Ok(())
    }
}
