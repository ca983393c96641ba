//! Figures of a settings file: whole numbers, times with units, fractions.
//! What can't be kept exactly goes to the safe side; see docs/operators/settings.md.

use super::{AdjustmentReason, SafeSide};

/// Greatest whole number that a fraction holds exactly; far beyond every bound.
const MOST_EXACT: f64 = 9_007_199_254_740_992.0;

/// A figure as it is used, and why it differs from what was written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ReadFigure<T> {
    pub(super) value: T,
    pub(super) reason: Option<AdjustmentReason>,
}

/// Reads a whole number.
pub(super) fn whole(text: &str, min: u64, max: u64) -> Option<u64> {
    let number = text.replace('_', "").parse::<u64>().ok()?;
    (min..=max).contains(&number).then_some(number)
}

/// Reads a time in milliseconds; without a unit the figure counts milliseconds.
pub(super) fn time_ms(text: &str, min: u64, max: u64, safe: SafeSide) -> Option<ReadFigure<u64>> {
    let (digits, unit_ms) = split_unit(text)?;
    let exact_ms = number(digits)? * unit_ms;
    let rounded_ms = match safe {
        SafeSide::Lower => exact_ms.floor(),
        SafeSide::Higher => exact_ms.ceil(),
        SafeSide::Neither => exact_ms.round(),
    };
    let limited_ms = limit(rounded_ms, min as f64, max as f64, safe)?;
    let reason = match (limited_ms == rounded_ms, rounded_ms == exact_ms) {
        (false, _) => Some(AdjustmentReason::Limited),
        (true, false) => Some(AdjustmentReason::Rounded),
        (true, true) => None,
    };
    let value = limited_ms as u64;
    Some(ReadFigure { value, reason })
}

/// Reads a number that may have a fraction.
pub(super) fn fraction(text: &str, min: f64, max: f64, safe: SafeSide) -> Option<ReadFigure<f64>> {
    let exact = number(text)?;
    let value = limit(exact, min, max, safe)?;
    let reason = (value != exact).then_some(AdjustmentReason::Limited);
    Some(ReadFigure { value, reason })
}

/// Whether `text` holds no figure at all: nothing, or a unit alone, as a
/// template leaves it where the platform has no such figure.
pub(super) fn is_empty(text: &str) -> bool {
    matches!(text, "" | "ms" | "s" | "min" | "h")
}

fn split_unit(text: &str) -> Option<(&str, f64)> {
    let is_unit = |letter: char| letter.is_ascii_alphabetic();
    let digits = text.trim_end_matches(is_unit);
    let unit_ms = match &text[digits.len()..] {
        "" | "ms" => 1.0,
        "s" => 1_000.0,
        "min" => 60_000.0,
        "h" => 3_600_000.0,
        _ => return None,
    };
    Some((digits.trim_end(), unit_ms))
}

/// Reads a number that is not negative. Words such as `inf` and `nan`, which
/// the standard library takes, are none.
fn number(text: &str) -> Option<f64> {
    if !text.starts_with(|first: char| first.is_ascii_digit() || first == '.') {
        return None;
    }
    let number = text.replace('_', "").parse::<f64>().ok()?;
    Some(number.min(MOST_EXACT))
}

fn limit(value: f64, min: f64, max: f64, safe: SafeSide) -> Option<f64> {
    match safe {
        SafeSide::Lower => (value >= min).then(|| value.min(max)),
        SafeSide::Higher => (value <= max).then(|| value.max(min)),
        SafeSide::Neither => (min..=max).contains(&value).then_some(value),
    }
}

#[cfg(test)]
#[path = "figure_reader_tests.rs"]
mod tests;
