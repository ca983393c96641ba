use savorywalk::prelude::*;

use super::{StreamEnd, StreamExcuse};

/// Broken streams that a report shows one by one.
const MAX_SHOWN: usize = 8;

/// Streams by how they ended.
pub type StreamCounts = BTreeMap<StreamEnd, usize>;

/// What a run has shown.
#[derive(Clone, Debug, Default)]
pub struct SilenceReport {
    /// Streams by how they ended.
    pub counts: StreamCounts,
    /// Those that were not whole and are not counted, by reason.
    pub excused: BTreeMap<StreamExcuse, usize>,
    /// Those that were not whole although nothing excuses it, with what happened to them.
    pub breaches: Vec<String>,
    /// Streams that another engine took up, and the longest waits of their callers for an event.
    pub resumed_gaps: Vec<Duration>,
    /// Longest time for which two engines worked on one stream.
    pub longest_overlap: Duration,
}

impl SilenceReport {
    /// Whether streams ran, and nothing sound was broken off.
    pub fn is_sound(&self) -> bool {
        self.breaches.is_empty() && self.whole() > 0
    }

    /// Streams that were whole.
    pub fn whole(&self) -> usize {
        self.counts
            .get(&StreamEnd::Whole)
            .copied()
            .unwrap_or_default()
    }
}

impl fmt::Display for SilenceReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "streams")?;
        for (end, count) in &self.counts {
            write!(formatter, " {end:?} {count}")?;
        }
        write!(formatter, "; not counted")?;
        for (excuse, count) in &self.excused {
            write!(formatter, " {excuse:?} {count}")?;
        }
        let mut gaps = self.resumed_gaps.clone();
        gaps.sort_unstable();
        if let (Some(median), Some(longest)) = (gaps.get(gaps.len() / 2), gaps.last()) {
            write!(
                formatter,
                "; {} resumed, longest wait for an event {} ms at the median and {} ms at most",
                gaps.len(),
                median.as_millis(),
                longest.as_millis()
            )?;
        }
        let overlap = self.longest_overlap.as_millis();
        write!(formatter, "; two engines at once for {overlap} ms at most")?;
        for breach in self.breaches.iter().take(MAX_SHOWN) {
            write!(formatter, "\nbroken off: {breach}")?;
        }
        let hidden = self.breaches.len().saturating_sub(MAX_SHOWN);
        if hidden > 0 {
            write!(formatter, "\nbroken off: {hidden} more")?;
        }
        Ok(())
    }
}
