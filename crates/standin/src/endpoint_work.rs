use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use serde_json::{Value, json};

use crate::{StandinKind, StandinOptions};

pub(crate) const BYTES_PER_TOKEN: usize = 4;
const EMBEDDING_SIZE: usize = 8;
const BYTES_PER_KILOBYTE: f64 = 1024.0;
/// How much longer a token takes for each further request in the batch.
const BATCH_SLOWDOWN: f64 = 0.1;

/// What a stand-in has done, for tests to compare with what callers were told.
#[derive(Debug, Default)]
pub struct EndpointCounts {
    /// Requests that arrived.
    pub seen: AtomicU64,
    /// Requests whose work was done to its end.
    pub ran: AtomicU64,
}

impl EndpointCounts {
    /// Requests whose work was done to its end.
    pub fn ran(&self) -> u64 {
        self.ran.load(Ordering::SeqCst)
    }

    /// Requests that arrived.
    pub fn seen(&self) -> u64 {
        self.seen.load(Ordering::SeqCst)
    }
}

/// Time before the first byte of an answer.
pub(crate) fn start_time(options: &StandinOptions, body_bytes: usize) -> Duration {
    let kilobytes = body_bytes as f64 / BYTES_PER_KILOBYTE;
    options.base_time + options.time_per_kilobyte.mul_f64(kilobytes)
}

/// Time for one token while `running` requests share the engine.
pub(crate) fn token_time(options: &StandinOptions, running: usize) -> Duration {
    let others = running.saturating_sub(1) as f64;
    options
        .time_per_token
        .mul_f64(1.0 + BATCH_SLOWDOWN * others)
}

/// The answer of a stage that is not streamed.
pub(crate) fn answer(options: &StandinOptions, request: &Value) -> Value {
    match options.kind {
        StandinKind::Encoder => embedding(request),
        StandinKind::Retriever => documents(request),
        StandinKind::Reranker => ranking(request),
        StandinKind::Service => json!({"service": options.pool, "done_by": options.name}),
        StandinKind::Engine => Value::Null,
    }
}

/// The events of a completion, numbered from 0, without its end marker.
pub(crate) fn completion_events(request: &Value) -> Vec<Bytes> {
    let words = words(request);
    let prompt = request["prompt"].as_str().unwrap_or_default();
    let total = words.len();
    let total_tokens = token_count(prompt) + total as u64;
    let events = words.into_iter().enumerate().map(|(offset, word)| {
        let last = offset + 1 == total;
        let reason = if last { json!("stop") } else { Value::Null };
        let choice = json!({"index": 0, "text": word, "finish_reason": reason});
        let mut chunk = json!({"offset": offset, "choices": [choice]});
        if last {
            chunk["usage"] = json!({"total_tokens": total_tokens});
        }
        Bytes::from(format!("data: {chunk}\n\n"))
    });
    events.collect()
}

/// The words that an engine generates for a request; always at least one.
fn words(request: &Value) -> Vec<String> {
    let max_tokens = request["max_tokens"].as_u64().unwrap_or(16).max(1) as usize;
    let prompt = request["prompt"].as_str().unwrap_or_default();
    let last = prompt.rsplit("\n\n").next().unwrap_or_default();
    let opening = ["In", "short:"].into_iter().map(String::from);
    let echo = last.split_whitespace().map(String::from);
    opening
        .chain(echo)
        .take(max_tokens)
        .map(|word| word + " ")
        .collect()
}

/// Tokens in a text, counted roughly.
pub(crate) fn token_count(text: &str) -> u64 {
    text.len().div_ceil(BYTES_PER_TOKEN) as u64
}

fn embedding(request: &Value) -> Value {
    let input = request["input"].as_str().unwrap_or_default();
    let mut vector = [0.0_f32; EMBEDDING_SIZE];
    for (index, byte) in input.bytes().enumerate() {
        vector[index % EMBEDDING_SIZE] += f32::from(byte) / f32::from(u8::MAX);
    }
    json!({
        "data": [{"index": 0, "embedding": vector}],
        "usage": {"total_tokens": token_count(input)},
    })
}

fn documents(request: &Value) -> Value {
    let query = request["query"].as_str().unwrap_or_default();
    let count = request["max_num_results"].as_u64().unwrap_or(4);
    let items: Vec<Value> = (0..count)
        .map(|index| {
            let text = format!("Record {index} about {query}");
            json!({"file_id": format!("record-{index}"), "score": 1.0, "content": [{"type": "text", "text": text}]})
        })
        .collect();
    json!({"data": items})
}

fn ranking(request: &Value) -> Value {
    let documents = request["documents"]
        .as_array()
        .map_or(&[][..], Vec::as_slice);
    let top = request["top_n"].as_u64().unwrap_or(u64::MAX) as usize;
    let results: Vec<Value> = (0..documents.len())
        .rev()
        .take(top)
        .map(|index| json!({"index": index, "relevance_score": 0.5}))
        .collect();
    let tokens: u64 = documents
        .iter()
        .filter_map(Value::as_str)
        .map(token_count)
        .sum();
    json!({"results": results, "usage": {"total_tokens": tokens}})
}
