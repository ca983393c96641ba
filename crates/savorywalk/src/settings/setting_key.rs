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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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
    /// `true` or `false`.
    Flag,
}
