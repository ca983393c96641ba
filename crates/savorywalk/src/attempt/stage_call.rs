use serde_json::Value;
use tokio::sync::mpsc;

use super::stage_formats::{
    CompletionRequest, EmbeddingRequest, EmbeddingResponse, RerankRequest, RerankResponse,
    SearchRequest, SearchResponse, ServiceRequest,
};
use super::{AttemptError, Result};
use crate::configuration::{StageKind, StagePlan};
use crate::prelude::*;
use crate::routing::PromptPrefix;

/// Channel that receives generated text in parts, as it arrives.
pub type TokenSink = mpsc::Sender<String>;

/// Input of a request and the results of its stages so far.
#[derive(Clone, Debug, Default)]
pub struct StageState {
    /// The caller's text.
    pub input: String,
    /// Embedding of the input.
    pub embedding: Vec<f32>,
    /// Documents from the caller, the retriever or the reranker.
    pub documents: Vec<String>,
    /// Generated text.
    pub answer: String,
    /// Answers of plain services, by stage.
    pub services: BTreeMap<String, Value>,
}

impl StageState {
    /// Returns the size of the input and documents that a stage of `kind` reads,
    /// in bytes. The cost of the stage grows with it.
    pub fn input_bytes(&self, kind: StageKind) -> usize {
        let documents: usize = self.documents.iter().map(String::len).sum();
        match kind {
            StageKind::Encode | StageKind::Retrieve | StageKind::Unspecified => self.input.len(),
            StageKind::Rerank | StageKind::Generate | StageKind::Service => {
                self.input.len() + documents
            }
        }
    }

    /// Applies the result of `stage`.
    pub fn apply(&mut self, stage: &StagePlan, reply: StageReply) {
        match reply {
            StageReply::Embedding { embedding, .. } => self.embedding = embedding,
            StageReply::Documents { documents } => self.documents.extend(documents),
            StageReply::Ranking { order, .. } => {
                let chosen = order.iter().filter_map(|index| self.documents.get(*index));
                self.documents = chosen.cloned().collect();
            }
            StageReply::Text { text, .. } => self.answer = text,
            StageReply::Service { value } => {
                self.services.insert(stage.name.clone(), value);
            }
        }
    }
}

/// Call to an endpoint for one stage.
#[derive(Clone, Debug)]
pub struct StageCall {
    /// Kind of the stage, which determines the format of the answer.
    pub kind: StageKind,
    /// Path of the HTTP request.
    pub path: String,
    /// JSON body.
    pub body: Bytes,
    /// Prefix of the prompt, for routing. Empty for kinds other than generate.
    pub prefix: PromptPrefix,
}

/// Complete, parsed answer of a stage.
#[derive(Clone, Debug, PartialEq)]
pub enum StageReply {
    /// From an encoder.
    Embedding {
        /// Embedding vector of the input.
        embedding: Vec<f32>,
        /// Number of tokens read.
        tokens: u64,
    },
    /// From a retriever, best first.
    Documents {
        /// Texts of the documents found.
        documents: Vec<String>,
    },
    /// From a reranker, best first.
    Ranking {
        /// Indices into the documents that were sent.
        order: Vec<usize>,
        /// Number of tokens read.
        tokens: u64,
    },
    /// From a model engine.
    Text {
        /// Complete text.
        text: String,
        /// Number of tokens read and written.
        tokens: u64,
    },
    /// From a plain service.
    Service {
        /// JSON answer of the service.
        value: Value,
    },
}

impl StageReply {
    /// Number of tokens that the endpoint counted, or 0 if the kind has no count.
    pub fn tokens(&self) -> u64 {
        match self {
            Self::Embedding { tokens, .. }
            | Self::Ranking { tokens, .. }
            | Self::Text { tokens, .. } => *tokens,
            Self::Documents { .. } | Self::Service { .. } => 0,
        }
    }
}

impl StageCall {
    /// Creates the call for `stage` from the results of earlier stages.
    pub fn new(stage: &StagePlan, state: &StageState) -> Result<Self> {
        let model = stage.model.as_str();
        let mut prefix = PromptPrefix::default();
        let (path, body) = match stage.kind {
            StageKind::Encode => {
                let input = &state.input;
                (
                    "/v1/embeddings",
                    to_json(&EmbeddingRequest { model, input })?,
                )
            }
            StageKind::Retrieve => {
                let request = SearchRequest {
                    query: &state.input,
                    embedding: &state.embedding,
                    max_num_results: stage.top_documents,
                };
                ("/v1/search", to_json(&request)?)
            }
            StageKind::Rerank => {
                let request = RerankRequest {
                    model,
                    query: &state.input,
                    documents: &state.documents,
                    top_n: stage.top_documents,
                };
                ("/v1/rerank", to_json(&request)?)
            }
            StageKind::Generate => {
                let prompt = prompt(state);
                prefix = PromptPrefix::new(&prompt);
                let request = CompletionRequest {
                    model,
                    prompt: &prompt,
                    max_tokens: stage.max_tokens,
                    stream: true,
                    priority: 0,
                };
                ("/v1/completions", to_json(&request)?)
            }
            StageKind::Service | StageKind::Unspecified => {
                let request = ServiceRequest {
                    input: &state.input,
                    documents: &state.documents,
                    answer: &state.answer,
                };
                (stage.path.as_str(), to_json(&request)?)
            }
        };
        Ok(Self {
            kind: stage.kind,
            path: path.to_string(),
            body,
            prefix,
        })
    }

    /// Whether the answer comes as a stream of token events.
    pub fn is_streamed(&self) -> bool {
        self.kind == StageKind::Generate
    }

    /// Parses the complete body of an answer that is not streamed.
    pub fn read(&self, body: &[u8]) -> Result<StageReply> {
        match self.kind {
            StageKind::Encode => read_embedding(body),
            StageKind::Retrieve => read_documents(body),
            StageKind::Rerank => read_ranking(body),
            StageKind::Service => Ok(StageReply::Service {
                value: parse_json(body)?,
            }),
            StageKind::Generate | StageKind::Unspecified => {
                Err(AttemptError::Unreadable("a stream was expected".into()))
            }
        }
    }
}

fn prompt(state: &StageState) -> String {
    let mut prompt = String::new();
    for document in &state.documents {
        prompt.push_str(document);
        prompt.push_str("\n\n");
    }
    prompt.push_str(&state.input);
    prompt
}

fn to_json<T: Serialize>(value: &T) -> Result<Bytes> {
    match serde_json::to_vec(value) {
        Ok(json) => Ok(json.into()),
        Err(error) => Err(AttemptError::Unreadable(error.to_string())),
    }
}

fn parse_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| AttemptError::Unreadable(error.to_string()))
}

fn read_embedding(body: &[u8]) -> Result<StageReply> {
    let response: EmbeddingResponse = parse_json(body)?;
    let tokens = response.usage.total_tokens;
    match response.data.into_iter().next() {
        Some(item) => Ok(StageReply::Embedding {
            embedding: item.embedding,
            tokens,
        }),
        None => Err(AttemptError::Unreadable("no embedding is in it".into())),
    }
}

fn read_documents(body: &[u8]) -> Result<StageReply> {
    let response: SearchResponse = parse_json(body)?;
    let texts = response.data.into_iter().map(|item| {
        let texts: Vec<String> = item
            .content
            .into_iter()
            .map(|content| content.text)
            .collect();
        texts.join("\n")
    });
    Ok(StageReply::Documents {
        documents: texts.collect(),
    })
}

fn read_ranking(body: &[u8]) -> Result<StageReply> {
    let response: RerankResponse = parse_json(body)?;
    Ok(StageReply::Ranking {
        order: response.results.iter().map(|item| item.index).collect(),
        tokens: response.usage.total_tokens,
    })
}
