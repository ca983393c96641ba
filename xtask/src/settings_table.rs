//! Makes the table of settings from the schema's comments, so that the checks,
//! the help and the schema can't drift apart.

use std::fmt::Write as _;

use prost_types::field_descriptor_proto::{Label, Type};
use prost_types::{DescriptorProto, FieldDescriptorProto, FileDescriptorProto, FileDescriptorSet};

const SETTINGS_PACKAGE: &str = "savorywalk.settings";
const ROOT_MESSAGE: &str = "DaemonSettings";
/// End of the name of every key that holds a time in milliseconds.
const TIME_SUFFIX: &str = "_ms";
const MESSAGE_TAG: i32 = 4;
const FIELD_TAG: i32 = 2;

/// One key of one section, as the schema describes it.
#[derive(Debug)]
pub(crate) struct SettingField {
    pub(crate) section: String,
    pub(crate) name: String,
    pub(crate) kind: FieldKind,
    pub(crate) required: bool,
    pub(crate) default: Option<String>,
    pub(crate) doc: String,
}

/// What a value must look like.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FieldKind {
    Text,
    File,
    Folder,
    List,
    Number {
        min: u64,
        max: u64,
    },
    Time {
        min_ms: u64,
        max_ms: u64,
        safe: SafeSide,
    },
    Fraction {
        min: f64,
        max: f64,
        safe: SafeSide,
    },
    Flag,
}

/// To which side a figure may be moved; written as in `settings::SafeSide`.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SafeSide {
    Lower,
    Higher,
    Neither,
}

impl SafeSide {
    /// For the operators' page.
    fn shown(self) -> &'static str {
        match self {
            Self::Lower => "; more is taken as the most",
            Self::Higher => "; less is taken as the least",
            Self::Neither => "",
        }
    }
}

impl FieldKind {
    /// For the operators' page.
    pub(crate) fn shown(self) -> String {
        match self {
            Self::Text => "text".into(),
            Self::File => "file".into(),
            Self::Folder => "folder".into(),
            Self::List => "words, separated by commas".into(),
            Self::Number { min, max } => format!("{min} to {max}"),
            Self::Time {
                min_ms,
                max_ms,
                safe,
            } => format!("time, {min_ms} to {max_ms}{}", safe.shown()),
            Self::Fraction { min, max, safe } => {
                format!("number, {min} to {max}{}", safe.shown())
            }
            Self::Flag => "`true` or `false`".into(),
        }
    }
}

/// The text of `settings_table.rs`.
pub(crate) fn text(descriptors: &FileDescriptorSet) -> String {
    let mut text = String::from("use crate::settings::SafeSide::{Higher, Lower, Neither};\n");
    text.push_str("use crate::settings::{SettingKey, SettingKind};\n\n");
    text.push_str("/// Every key of every section, in the schema's order.\n");
    text.push_str("pub const SETTING_KEYS: &[SettingKey] = &[\n");
    for field in fields(descriptors) {
        let SettingField {
            section,
            name,
            kind,
            required,
            default,
            doc,
        } = field;
        let _ = writeln!(
            text,
            "    SettingKey {{ section: {section:?}, name: {name:?}, kind: SettingKind::{kind:?}, required: {required}, default: {default:?}, doc: {doc:?} }},",
        );
    }
    text.push_str("];\n");
    text
}

/// Every key of every section, in the schema's order.
pub(crate) fn fields(descriptors: &FileDescriptorSet) -> Vec<SettingField> {
    let mut files = descriptors.file.iter();
    let Some(file) = files.find(|file| file.package() == SETTINGS_PACKAGE) else {
        return Vec::new();
    };
    let Some((_, root)) = message(file, ROOT_MESSAGE) else {
        return Vec::new();
    };
    let mut fields = Vec::new();
    for section in &root.field {
        let type_name = section.type_name().rsplit('.').next().unwrap_or_default();
        let Some((index, message)) = message(file, type_name) else {
            continue;
        };
        for (number, field) in message.field.iter().enumerate() {
            let comment = comment(file, &[MESSAGE_TAG, index, FIELD_TAG, number as i32]);
            fields.push(setting_field(section.name(), field, &comment));
        }
    }
    fields
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

fn setting_field(section: &str, field: &FieldDescriptorProto, comment: &str) -> SettingField {
    let mut doc = Vec::new();
    let mut required = false;
    let mut text_kind = FieldKind::Text;
    let mut safe = SafeSide::Neither;
    let (mut default, mut min, mut max) = (None, 0_u64, u64::from(u32::MAX));
    for line in comment.lines().map(str::trim) {
        match line.split_once(' ') {
            Some(("@default", value)) => default = Some(value.to_string()),
            Some(("@min", value)) => min = value.parse().expect("@min is a number"),
            Some(("@max", value)) => max = value.parse().expect("@max is a number"),
            _ if line == "@safe lower" => safe = SafeSide::Lower,
            _ if line == "@safe higher" => safe = SafeSide::Higher,
            _ if line == "@required" => required = true,
            _ if line == "@file" => text_kind = FieldKind::File,
            _ if line == "@folder" => text_kind = FieldKind::Folder,
            _ => doc.push(line),
        }
    }
    let kind = match (field.label(), field.r#type()) {
        (Label::Repeated, _) => FieldKind::List,
        (_, Type::Uint32 | Type::Uint64) if field.name().ends_with(TIME_SUFFIX) => {
            FieldKind::Time {
                min_ms: min,
                max_ms: max,
                safe,
            }
        }
        (_, Type::Uint32 | Type::Uint64) => FieldKind::Number { min, max },
        (_, Type::Double) => FieldKind::Fraction {
            min: min as f64,
            max: max as f64,
            safe,
        },
        (_, Type::Bool) => FieldKind::Flag,
        _ => text_kind,
    };
    SettingField {
        section: section.to_string(),
        name: field.name().to_string(),
        kind,
        required,
        default,
        doc: doc.join(" ").trim().to_string(),
    }
}
