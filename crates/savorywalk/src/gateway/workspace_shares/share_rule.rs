use crate::gateway::TableError;

/// Units per unit of weight or share: [`crate::queueing::VirtualTime`] has integer weights.
const UNITS: f64 = 1_000.0;

/// Tolerance of a sum of floors, since decimal fractions such as 0.1 are rounded.
const SUM_TOLERANCE: f64 = 1e-9;

/// A workspace's share of pools that are short.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareRule {
    /// Weight relative to other workspaces, from [`Self::MIN_WEIGHT`] to [`Self::MAX_WEIGHT`].
    pub weight: f64,
    /// Least share of the begun endpoint time while the workspace waits, from 0 to 1.
    pub floor: f64,
}

impl Default for ShareRule {
    fn default() -> Self {
        Self {
            weight: 1.0,
            floor: 0.0,
        }
    }
}

impl ShareRule {
    /// Least weight: a thousandth, the precision of weights.
    pub const MIN_WEIGHT: f64 = 0.001;

    /// Largest weight. With a larger one a short stage would be charged no time at all.
    pub const MAX_WEIGHT: f64 = 1_000.0;

    /// Whole pools, in units of [`Self::floor_units`].
    pub(super) const WHOLE: u32 = UNITS as u32;

    /// Checks the rules of workspaces with their names.
    ///
    /// # Errors
    ///
    /// The first weight or floor that is out of range, or floors that add up to more than 1.
    pub(in crate::gateway) fn check_all<'a>(
        rules: impl Iterator<Item = (&'a str, Self)>,
    ) -> Result<(), TableError> {
        let mut sum = 0.0;
        for (workspace, rule) in rules {
            rule.check(workspace)?;
            sum += rule.floor;
        }
        match sum > 1.0 + SUM_TOLERANCE {
            true => Err(TableError::FloorSum(sum.to_string())),
            false => Ok(()),
        }
    }

    fn check(self, workspace: &str) -> Result<(), TableError> {
        let weights = Self::MIN_WEIGHT..=Self::MAX_WEIGHT;
        if !weights.contains(&self.weight) {
            return Err(TableError::ShareWeight {
                workspace: workspace.to_string(),
                weight: self.weight.to_string(),
            });
        }
        if !self.floor.is_finite() || self.floor < 0.0 {
            return Err(TableError::ShareFloor {
                workspace: workspace.to_string(),
                floor: self.floor.to_string(),
            });
        }
        Ok(())
    }

    /// Weight in thousandths, at least one.
    pub(super) fn weight_units(self) -> u32 {
        ((self.weight * UNITS).round() as u32).max(1)
    }

    /// Floor that is kept: in whole thousandths.
    pub(super) fn kept_floor(self) -> f64 {
        f64::from(self.floor_units().unwrap_or(0)) / UNITS
    }

    /// Floor in thousandths of the whole; `None` without one.
    pub(super) fn floor_units(self) -> Option<u32> {
        let units = (self.floor * UNITS).round() as u32;
        (units > 0).then_some(units)
    }
}
