/// One key that a settings file may hold, as the schema describes it.
#[derive(Clone, Copy, Debug)]
pub struct SettingKey {
    /// Section of the INI file.
    pub section: &'static str,
    /// Name of the key.
    pub name: &'static str,
    /// What its value must look like.
    pub kind: SettingKind,
    /// True when a section that is there must hold it.
    pub required: bool,
    /// Value taken when the key is missing.
    pub default: Option<&'static str>,
    /// What it does, with its unit.
    pub doc: &'static str,
}

/// What a value must look like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SettingKind {
    /// Any text.
    Text,
    /// Path of a file that must be there.
    File,
    /// Path of a folder, made at the first start when it isn't there.
    Folder,
    /// Words separated by commas.
    List,
    /// A whole number between two bounds, both included.
    Number {
        /// Least value.
        min: u64,
        /// Greatest value.
        max: u64,
    },
    /// A time, kept in whole milliseconds; the value may have a fraction and
    /// one of the units `ms`, `s`, `min` and `h`.
    Time {
        /// Least value, in milliseconds.
        min_ms: u64,
        /// Greatest value, in milliseconds.
        max_ms: u64,
        /// Where a figure between or beyond goes.
        safe: SafeSide,
    },
    /// A number that may have a fraction, between two bounds, both included.
    Fraction {
        /// Least value.
        min: f64,
        /// Greatest value.
        max: f64,
        /// Where a figure beyond the bounds goes.
        safe: SafeSide,
    },
    /// `true` or `false`.
    Flag,
}

/// To which side a figure may be moved without breaking what it promises.
///
/// A platform's figures come from elsewhere, and refusing one stops every
/// daemon that gets it. One that can't be kept exactly is kept more strictly
/// instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SafeSide {
    /// A smaller figure keeps the promise too.
    Lower,
    /// A greater figure keeps the promise too.
    Higher,
    /// Neither does; a figure beyond the bounds is an error.
    Neither,
}
