//! The fields of the endpoints' published formats that are read or written here.
//! See docs/ENDPOINTS.md for each call.

use crate::prelude::*;

#[derive(Serialize)]
pub(super) struct EmbeddingRequest<'a> {
    pub model: &'a str,
    pub input: &'a str,
}

#[derive(Deserialize)]
pub(super) struct EmbeddingResponse {
    pub data: Vec<EmbeddingItem>,
    #[serde(default)]
    pub usage: TokenUsage,
}

#[derive(Deserialize)]
pub(super) struct EmbeddingItem {
    pub embedding: Vec<f32>,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(default)]
pub(super) struct TokenUsage {
    pub total_tokens: u64,
}

#[derive(Serialize)]
pub(super) struct SearchRequest<'a> {
    pub query: &'a str,
    pub embedding: &'a [f32],
    pub max_num_results: u32,
}

#[derive(Deserialize)]
pub(super) struct SearchResponse {
    pub data: Vec<SearchItem>,
}

#[derive(Deserialize)]
pub(super) struct SearchItem {
    pub content: Vec<SearchContent>,
}

#[derive(Deserialize)]
pub(super) struct SearchContent {
    pub text: String,
}

#[derive(Serialize)]
pub(super) struct RerankRequest<'a> {
    pub model: &'a str,
    pub query: &'a str,
    pub documents: &'a [String],
    pub top_n: u32,
}

#[derive(Deserialize)]
pub(super) struct RerankResponse {
    pub results: Vec<RerankItem>,
    #[serde(default)]
    pub usage: TokenUsage,
}

#[derive(Deserialize)]
pub(super) struct RerankItem {
    pub index: usize,
}

#[derive(Serialize)]
pub(super) struct CompletionRequest<'a> {
    pub model: &'a str,
    pub prompt: &'a str,
    pub max_tokens: u32,
    pub stream: bool,
    pub priority: i32,
}

#[derive(Deserialize)]
pub(super) struct CompletionChunk {
    pub choices: Vec<CompletionChoice>,
    #[serde(default)]
    pub usage: Option<TokenUsage>,
    /// Number of token events before this one. Only sent by engines that can
    /// resume streams.
    #[serde(default)]
    pub offset: Option<u64>,
}

#[derive(Deserialize)]
pub(super) struct CompletionChoice {
    pub text: String,
    #[serde(default)]
    pub finish_reason: Option<String>,
}

#[derive(Serialize)]
pub(super) struct ServiceRequest<'a> {
    pub input: &'a str,
    pub documents: &'a [String],
    pub answer: &'a str,
}
