use ini::{Ini, Properties};

use super::deployment_size::DeploymentSize;
use super::{Result, SlopeError};

const SLOPE_PREFIX: &str = "per_";

/// All recorded slopes, in the order of their file.
#[derive(Debug)]
pub(crate) struct SlopeBook {
    pub(crate) slopes: Vec<MeasuredSlope>,
}

/// How one quantity of one role grows, as a run measured it.
#[derive(Debug)]
pub(crate) struct MeasuredSlope {
    pub(crate) role: String,
    pub(crate) quantity: String,
    pub(crate) unit: String,
    pub(crate) budget: Option<f64>,
    pub(crate) mechanism: String,
    pub(crate) command: String,
    base: f64,
    terms: Vec<SlopeTerm>,
}

/// Growth with one count of the deployment.
#[derive(Debug)]
struct SlopeTerm {
    count: String,
    factor: f64,
}

impl SlopeBook {
    /// Reads the file of slopes.
    pub(crate) fn parse(text: &str) -> Result<Self> {
        let ini =
            Ini::load_from_str(text).map_err(|error| SlopeError::Syntax(error.to_string()))?;
        let mut slopes = Vec::new();
        for (section, properties) in ini.iter() {
            if let Some(section) = section {
                slopes.push(MeasuredSlope::read(section, properties)?);
            }
        }
        Ok(Self { slopes })
    }
}

impl MeasuredSlope {
    fn read(section: &str, properties: &Properties) -> Result<Self> {
        let text = |key: &str| -> Result<String> {
            let value = properties.get(key).map(str::to_string);
            value.ok_or_else(|| bad_key(section, key))
        };
        let mut terms = Vec::new();
        for (key, value) in properties.iter() {
            if let Some(count) = key.strip_prefix(SLOPE_PREFIX) {
                terms.push(SlopeTerm {
                    count: count.to_string(),
                    factor: number(section, key, value)?,
                });
            }
        }
        let budget = properties.get("budget");
        let budget = budget
            .map(|budget| number(section, "budget", budget))
            .transpose()?;
        let slope = Self {
            role: text("role")?,
            quantity: text("quantity")?,
            unit: text("unit")?,
            budget,
            mechanism: text("mechanism")?,
            command: text("command")?,
            base: number(section, "base", &text("base")?)?,
            terms,
        };
        let unknown = slope
            .terms
            .iter()
            .find(|term| super::deployment_size::TODAY.count(&term.count).is_none());
        match unknown {
            Some(term) => Err(bad_key(section, &format!("{SLOPE_PREFIX}{}", term.count))),
            None => Ok(slope),
        }
    }

    /// The quantity at a size.
    pub(crate) fn at(&self, size: &DeploymentSize) -> f64 {
        let growth = self.terms.iter().map(|term| {
            let count = size.count(&term.count).unwrap_or_default();
            term.factor * count
        });
        self.base + growth.sum::<f64>()
    }

    /// The formula, for the reader.
    pub(crate) fn formula(&self) -> String {
        let base = (self.base != 0.0 || self.terms.is_empty()).then(|| shown(self.base));
        let terms = self.terms.iter().map(|term| {
            let label = DeploymentSize::label(&term.count);
            format!("{} × {label}", shown(term.factor))
        });
        let parts: Vec<String> = base.into_iter().chain(terms).collect();
        parts.join(" + ")
    }
}

/// A number with as many digits as its size deserves.
pub(crate) fn shown(number: f64) -> String {
    let size = number.abs();
    if size == 0.0 {
        return "0".into();
    }
    if size >= 100.0 {
        return format!("{number:.0}");
    }
    if size >= 1.0 {
        return format!("{number:.2}");
    }
    if size >= 0.01 {
        return format!("{number:.3}");
    }
    format!("{number:.6}")
}

fn number(section: &str, key: &str, text: &str) -> Result<f64> {
    text.replace('_', "")
        .parse()
        .map_err(|_| bad_key(section, key))
}

fn bad_key(section: &str, key: &str) -> SlopeError {
    SlopeError::BadKey {
        section: section.into(),
        key: key.into(),
    }
}

#[cfg(test)]
#[path = "slope_book_tests.rs"]
mod tests;
