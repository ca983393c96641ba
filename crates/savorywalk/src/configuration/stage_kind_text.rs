//! Writes a stage kind as a word in JSON, where the schema's number would
//! mean nothing to an operator.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};

use super::StageKind;

const WORDS: [(StageKind, &str); 5] = [
    (StageKind::Encode, "encode"),
    (StageKind::Retrieve, "retrieve"),
    (StageKind::Rerank, "rerank"),
    (StageKind::Generate, "generate"),
    (StageKind::Service, "service"),
];

const KIND_WORDS: [&str; 5] = ["encode", "retrieve", "rerank", "generate", "service"];

pub(crate) fn word(kind: StageKind) -> &'static str {
    let found = WORDS.iter().find(|(candidate, _)| *candidate == kind);
    found.map_or("unspecified", |(_, word)| word)
}

pub(crate) fn serialize<S: Serializer>(kind: &i32, serializer: S) -> Result<S::Ok, S::Error> {
    let kind = StageKind::try_from(*kind).unwrap_or_default();
    serializer.serialize_str(word(kind))
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i32, D::Error> {
    let text = String::deserialize(deserializer)?;
    let found = WORDS.iter().find(|(_, word)| *word == text);
    match found {
        Some((kind, _)) => Ok(*kind as i32),
        None => Err(D::Error::unknown_variant(&text, &KIND_WORDS)),
    }
}
