use savorywalk::prelude::*;

use crate::GuaranteeViolation;

/// What a run showed.
#[derive(Debug, Default)]
pub struct ProofReport {
    /// Requests, each counted once however often it was resent.
    pub requests: usize,
    /// Requests that were answered whole in the end.
    pub answered: usize,
    /// Calls that ended with an error, by kind; `cut` is a broken connection.
    pub errors: BTreeMap<String, usize>,
    /// Endpoint time that gave a result, by stage, in seconds.
    pub endpoint_seconds: BTreeMap<String, f64>,
    /// Endpoint time that gave none, by stage, in seconds.
    pub wasted_seconds: BTreeMap<String, f64>,
    /// Whether every planned stop ended well.
    pub stops_ended_well: bool,
    /// Promises that the run broke.
    pub breaches: Vec<GuaranteeViolation>,
}

impl ProofReport {
    /// Share of requests that were answered whole and in time.
    pub fn attainment(&self) -> f64 {
        self.answered as f64 / self.requests.max(1) as f64
    }

    /// Whether every promise held.
    pub fn is_sound(&self) -> bool {
        self.breaches.is_empty() && self.stops_ended_well
    }
}

impl fmt::Display for ProofReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "requests    {}", self.requests)?;
        writeln!(
            formatter,
            "answered    {} ({:.2}%)",
            self.answered,
            self.attainment() * 100.0
        )?;
        for (kind, count) in &self.errors {
            writeln!(formatter, "  {kind:<20} {count}")?;
        }
        for (stage, seconds) in &self.endpoint_seconds {
            let wasted = self.wasted_seconds.get(stage).copied().unwrap_or_default();
            writeln!(
                formatter,
                "stage {stage:<12} {seconds:.2} endpoint-seconds, {wasted:.2} wasted"
            )?;
        }
        for breach in &self.breaches {
            writeln!(formatter, "BREACH {breach}")?;
        }
        write!(
            formatter,
            "{}",
            if self.is_sound() {
                "every promise held"
            } else {
                "a promise was broken"
            }
        )
    }
}
