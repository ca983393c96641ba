use crate::hashing::stable_hash;

/// Thousandths in a core.
const MILLICORES: f64 = 1_000.0;

/// Processor time that an entry reports to have, in thousandths of a core; 0 if unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryCapacity(pub u32);

impl EntryCapacity {
    /// The capacity of an entry with `cores`; 0 if unknown. A known one is at least 1.
    pub fn from_cores(cores: f64) -> Self {
        match cores > 0.0 {
            true => Self((cores * MILLICORES).round().max(1.0) as u32),
            false => Self::default(),
        }
    }

    /// The capacity in cores; 0 if unknown.
    pub fn cores(self) -> f64 {
        f64::from(self.0) / MILLICORES
    }

    /// Returns this capacity after `steps` of a factor of two down; a known one is at least 1.
    pub fn halved(self, steps: u32) -> Self {
        let least = u32::from(self.is_known());
        Self(self.0.checked_shr(steps).unwrap_or(0).max(least))
    }

    /// Whether the entry has reported its capacity.
    pub fn is_known(self) -> bool {
        self.0 > 0
    }

    /// Contribution of an entry to the digest of capacities, which is the XOR of all of them;
    /// 0 for an unknown capacity.
    pub fn digest(self, name: &str) -> u64 {
        match self.is_known() {
            true => stable_hash(&[name.as_bytes(), &self.0.to_le_bytes()]),
            false => 0,
        }
    }

    /// Capacities as they are sent beside a list of names; empty if all are unknown.
    pub fn to_list(capacities: impl Iterator<Item = Self> + Clone) -> Vec<u32> {
        match capacities.clone().any(Self::is_known) {
            true => capacities.map(|capacity| capacity.0).collect(),
            false => Vec::new(),
        }
    }

    /// Returns each name with the capacity that was sent beside it; those that are missing are
    /// unknown.
    pub fn beside<'a>(
        names: &'a [String],
        capacities: &'a [u32],
    ) -> impl Iterator<Item = (&'a str, Self)> {
        let capacities = capacities.iter().copied().chain(std::iter::repeat(0));
        let names = names.iter().map(String::as_str);
        names.zip(capacities.map(Self))
    }
}
