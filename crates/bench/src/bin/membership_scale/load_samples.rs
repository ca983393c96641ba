use savorywalk::prelude::*;

/// Ages of load and gaps in listings, as entries saw them.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadSamples {
    ages_ms: Vec<u32>,
    pub(crate) pairs: usize,
    pub(crate) missing: usize,
}

impl LoadSamples {
    pub(crate) fn add(&mut self, age: Duration) {
        self.ages_ms.push(age.as_millis() as u32);
    }

    pub(crate) fn percentile(&mut self, percent: usize) -> u32 {
        self.ages_ms.sort_unstable();
        let last = self.ages_ms.len().saturating_sub(1);
        let index = last * percent / 100;
        self.ages_ms.get(index).copied().unwrap_or(0)
    }
}
