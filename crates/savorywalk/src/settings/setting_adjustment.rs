use crate::prelude::*;

/// A value that was taken otherwise than it was written, and why.
///
/// Settings that a platform fills in hold its figures. Those that are sound
/// but can't be kept exactly are kept more strictly, and told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingAdjustment {
    /// Section of the INI file.
    pub section: &'static str,
    /// Key in the section.
    pub key: &'static str,
    /// What the file holds.
    pub given: String,
    /// What is used, in the key's own unit.
    pub taken: String,
    /// Why they differ.
    pub reason: AdjustmentReason,
}

/// Why a value was taken otherwise than it was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdjustmentReason {
    /// No figure stood there, perhaps a unit alone.
    LeftEmpty,
    /// It was not whole.
    Rounded,
    /// It was beyond what the product can hold.
    Limited,
}

impl fmt::Display for AdjustmentReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::LeftEmpty => "left empty, so the default holds",
            Self::Rounded => "rounded to a whole number, to the safe side",
            Self::Limited => "beyond the limit, so the limit holds",
        })
    }
}

impl fmt::Display for SettingAdjustment {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            section,
            key,
            given,
            taken,
            reason,
        } = self;
        write!(
            formatter,
            "[{section}] {key}: {given:?} taken as {taken}: {reason}"
        )
    }
}
