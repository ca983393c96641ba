use serde_json::Value;

use crate::prelude::*;

/// The whole answer to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PipelineAnswer {
    /// Identity of the request.
    pub request_id: String,
    /// Name of the pipeline.
    pub pipeline: String,
    /// Version of the configuration under which it ran.
    pub configuration_version: u64,
    /// Generated text; empty when no stage generates.
    pub answer: String,
    /// Documents after the last stage that changed them.
    pub documents: Vec<String>,
    /// Answers of plain services, by stage.
    pub services: BTreeMap<String, Value>,
    /// Time from arrival to answer, in milliseconds.
    pub elapsed_ms: f64,
    /// What each stage did and cost.
    pub stages: Vec<StageReport>,
}

/// What one stage did and cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageReport {
    /// Name of the stage.
    pub stage: String,
    /// Endpoint that gave the result.
    pub endpoint: String,
    /// Attempts made.
    pub attempts: u16,
    /// Time from the stage's start to its result, in milliseconds.
    pub elapsed_ms: f64,
    /// Endpoint time that gave the result, in milliseconds.
    pub endpoint_ms: f64,
    /// Endpoint time that gave none, in milliseconds.
    pub wasted_ms: f64,
    /// Tokens that the endpoint counted.
    pub tokens: u64,
}
