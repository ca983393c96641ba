use savorywalk::prelude::*;

/// Breaches that a report shows one by one.
const MAX_SHOWN: usize = 8;

/// What a soak has shown.
#[derive(Clone, Debug, Default)]
pub struct CrowdSoakReport {
    /// Crowds that came.
    pub crowds: usize,
    /// Ordinary requests by status; 0 stands for no answer.
    pub statuses: BTreeMap<u16, usize>,
    /// Largest memory of a process, in bytes.
    pub peak_memory: u64,
    /// Most open descriptors of a process.
    pub peak_descriptors: usize,
    /// What broke a promise or a bound.
    pub breaches: Vec<String>,
}

impl CrowdSoakReport {
    /// Whether crowds came, ordinary requests were served and no promise or bound was broken.
    pub fn is_sound(&self) -> bool {
        let served = self.statuses.get(&200).copied().unwrap_or_default();
        self.breaches.is_empty() && self.crowds > 0 && served > 0
    }
}

impl fmt::Display for CrowdSoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} crowds; at most {} MB and {} descriptors; requests",
            self.crowds,
            self.peak_memory >> 20,
            self.peak_descriptors
        )?;
        for (status, count) in &self.statuses {
            write!(formatter, " {status}: {count}")?;
        }
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
