//! Writes the table of settings into the operators' page, so that the page
//! and the schema can't drift apart.

use std::fmt::Write as _;

use prost_types::FileDescriptorSet;

use crate::settings_table::{SettingField, fields};

const BEGIN: &str = "<!-- settings from schema/settings.proto: begin -->";
const END: &str = "<!-- settings: end -->";

/// The page with its table made anew; `None` when its marks are missing.
pub(crate) fn text(page: &str, descriptors: &FileDescriptorSet) -> Option<String> {
    let (before, rest) = page.split_once(BEGIN)?;
    let (_, after) = rest.split_once(END)?;
    let table = table(&fields(descriptors));
    Some(format!("{before}{BEGIN}\n{table}\n{END}{after}"))
}

fn table(fields: &[SettingField]) -> String {
    let mut table = String::new();
    let mut section = "";
    for field in fields {
        if field.section != section {
            section = &field.section;
            let _ = writeln!(table, "\n### [{section}]\n");
            table.push_str("| key | value | default | meaning |\n| --- | --- | --- | --- |\n");
        }
        let default = match (&field.default, field.required) {
            (Some(default), _) => format!("`{default}`"),
            (None, true) => "required".into(),
            (None, false) => String::new(),
        };
        let _ = writeln!(
            table,
            "| `{}` | {} | {default} | {} |",
            field.name,
            field.kind.shown(),
            field.doc
        );
    }
    table
}
