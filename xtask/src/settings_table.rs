//! Makes the table of settings from the schema's comments, so that the checks,
//! the help and the schema can't drift apart.

use std::fmt::Write as _;

use prost_types::field_descriptor_proto::{Label, Type};
use prost_types::{DescriptorProto, FieldDescriptorProto, FileDescriptorProto, FileDescriptorSet};

const SETTINGS_PACKAGE: &str = "savorywalk.settings";
const ROOT_MESSAGE: &str = "DaemonSettings";
const MESSAGE_TAG: i32 = 4;
const FIELD_TAG: i32 = 2;

/// The text of `settings_table.rs`.
pub(crate) fn text(descriptors: &FileDescriptorSet) -> String {
    let mut text = String::from("use crate::settings::{SettingKey, SettingKind};\n\n");
    text.push_str("/// Every key of every section, in the schema's order.\n");
    text.push_str("pub const SETTING_KEYS: &[SettingKey] = &[\n");
    let file = descriptors
        .file
        .iter()
        .find(|file| file.package() == SETTINGS_PACKAGE);
    if let Some(file) = file {
        push_sections(&mut text, file);
    }
    text.push_str("];\n");
    text
}

fn push_sections(text: &mut String, file: &FileDescriptorProto) {
    let Some(root) = message(file, ROOT_MESSAGE) else {
        return;
    };
    for section in &root.1.field {
        let type_name = section.type_name().rsplit('.').next().unwrap_or_default();
        let Some((index, message)) = message(file, type_name) else {
            continue;
        };
        for (number, field) in message.field.iter().enumerate() {
            let comment = comment(file, &[MESSAGE_TAG, index, FIELD_TAG, number as i32]);
            push_key(text, section.name(), field, &comment);
        }
    }
}

fn message<'a>(file: &'a FileDescriptorProto, name: &str) -> Option<(i32, &'a DescriptorProto)> {
    let index = file
        .message_type
        .iter()
        .position(|message| message.name() == name)?;
    Some((index as i32, &file.message_type[index]))
}

fn comment(file: &FileDescriptorProto, path: &[i32]) -> String {
    let locations = file
        .source_code_info
        .as_ref()
        .map(|info| info.location.as_slice());
    let location = locations
        .unwrap_or_default()
        .iter()
        .find(|location| location.path == path);
    location
        .map(|location| location.leading_comments().to_string())
        .unwrap_or_default()
}

fn push_key(text: &mut String, section: &str, field: &FieldDescriptorProto, comment: &str) {
    let mut doc = Vec::new();
    let mut required = false;
    let mut path = None;
    let (mut default, mut min, mut max) = (None, 0_u64, u64::from(u32::MAX));
    for line in comment.lines().map(str::trim) {
        match line.split_once(' ') {
            Some(("@default", value)) => default = Some(value.to_string()),
            Some(("@min", value)) => min = value.parse().expect("@min is a number"),
            Some(("@max", value)) => max = value.parse().expect("@max is a number"),
            _ if line == "@required" => required = true,
            _ if line == "@file" => path = Some("File"),
            _ if line == "@folder" => path = Some("Folder"),
            _ => doc.push(line),
        }
    }
    let kind = match (field.label(), field.r#type()) {
        (Label::Repeated, _) => "List".to_string(),
        (_, Type::Uint32 | Type::Uint64) => format!("Number {{ min: {min}, max: {max} }}"),
        (_, Type::Bool) => "Flag".to_string(),
        _ => path.unwrap_or("Text").to_string(),
    };
    let doc = doc.join(" ");
    let _ = writeln!(
        text,
        "    SettingKey {{ section: {section:?}, name: {:?}, kind: SettingKind::{kind}, required: {required}, default: {default:?}, doc: {:?} }},",
        field.name(),
        doc.trim(),
    );
}
