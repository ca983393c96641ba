use std::sync::{Mutex, PoisonError};

use hyper::{Request, Response, StatusCode};

use super::body_reader::{self, BodyReadError};
use super::call_handler::{GatewayBody, full_body};
use super::registry_metrics::RegistryMetrics;
use super::report_limits;
use super::{InvalidCall, RegistryAnswer, RegistryCall, WireFormat};
use crate::api::{ClientBody, HttpHandler};
use crate::http_bodies::BodyMemory;
use crate::prelude::*;
use crate::registry::{EndpointIncarnation, EndpointReport, RegistryError, RegistryNode, Result};
use crate::settings::CallLimits;
use crate::telemetry::FaultCounter;

/// Time allowed for reading a call's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);

/// Answers the calls of endpoints and operators.
#[derive(Clone, Debug)]
pub(super) struct RegistryHandler {
    pub(super) wire: Arc<dyn WireFormat>,
    pub(super) node: Arc<RegistryNode>,
    pub(super) fault_counter: Arc<Mutex<FaultCounter>>,
    pub(super) metrics: RegistryMetrics,
    /// Memory of the calls that are read.
    pub(super) call_memory: Arc<BodyMemory>,
    pub(super) limits: CallLimits,
    /// Address at which endpoints reach this daemon.
    pub(super) address: Option<SocketAddr>,
}

impl HttpHandler for RegistryHandler {
    type Body = GatewayBody;

    async fn handle(&self, request: Request<ClientBody>) -> Response<Self::Body> {
        let (parts, body) = request.into_parts();
        let hold = self.call_memory.hold();
        let max_bytes = match self.wire.carries_document(&parts) {
            true => self.limits.document_bytes,
            false => self.limits.call_bytes,
        };
        let body = match body_reader::read(body, max_bytes.into(), BODY_TIMEOUT, hold).await {
            Ok(body) => body,
            Err(error) => return self.reject_body(error),
        };
        let parsed_hold = match body_reader::hold_parsed(&body, self.call_memory.hold()) {
            Ok(hold) => hold,
            Err(error) => return self.reject_body(error),
        };
        let call = self.wire.read_registry_call(&parts, &body);
        drop(parsed_hold);
        let answer = match call {
            None => RegistryAnswer::Unknown,
            Some(Err(error)) => self.reject_call(&error),
            Some(Ok(call)) => self.answer(call).await,
        };
        self.wire.registry_answer(&answer).map(full_body)
    }

    fn refuse_connection(&self, _limit: u32) -> Response<Self::Body> {
        let busy = RegistryAnswer::Unavailable("too many connections".into());
        self.wire.registry_answer(&busy).map(full_body)
    }
}

impl RegistryHandler {
    fn reject_call(&self, error: &InvalidCall) -> RegistryAnswer {
        match error {
            InvalidCall::Report(error) => self.reject(error.kind(), error.to_string()),
            // Operators publish few documents, and look for each rejection in the log.
            InvalidCall::Document(error) => {
                self.metrics.record_rejection("document");
                log_event!(info, "document_refused", reason = error);
                RegistryAnswer::Invalid(error.to_string())
            }
        }
    }

    /// Rejects an invalid call. Clients may send any number of these, so all are counted and
    /// only few are logged.
    fn reject(&self, kind: &'static str, reason: String) -> RegistryAnswer {
        self.count_rejection(kind, &reason);
        RegistryAnswer::Invalid(reason)
    }

    fn count_rejection(&self, kind: &'static str, reason: &str) {
        self.metrics.record_rejection(kind);
        let mut fault_counter = self
            .fault_counter
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(total) = fault_counter.count(Instant::now(), kind) {
            log_event!(
                info,
                "registry_call_invalid",
                kind = kind,
                total = total,
                reason = reason
            );
        }
    }

    fn reject_body(&self, error: BodyReadError) -> Response<GatewayBody> {
        match error {
            BodyReadError::MemoryFull => {
                self.count_rejection("memory_full", "too many bytes of calls are held");
            }
            BodyReadError::TooLarge => {
                self.count_rejection("body_too_large", "the body has too many bytes or values");
            }
            BodyReadError::TimedOut | BodyReadError::Failed => {}
        }
        let status = match error {
            BodyReadError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BodyReadError::TimedOut => StatusCode::REQUEST_TIMEOUT,
            BodyReadError::MemoryFull | BodyReadError::Failed => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = Response::new(full_body(Bytes::new()));
        *response.status_mut() = status;
        response
    }

    async fn answer(&self, call: RegistryCall) -> RegistryAnswer {
        if let Err(error) = report_limits::check(&call, self.limits.text_bytes) {
            return self.reject_call(&error.into());
        }
        let outcome = match call {
            RegistryCall::Announce(report) => return self.announce(report),
            RegistryCall::Drain(report) => self.node.drain(&report).await,
            RegistryCall::Leave { endpoint, born_ms } => self.retire(endpoint, born_ms).await,
            RegistryCall::Publish { number, content } => {
                self.node.publish(number, content).await.map(drop)
            }
            RegistryCall::Evacuate {
                data_center,
                evacuated,
            } => self.node.evacuate(&data_center, evacuated).await,
            RegistryCall::ReadDocument => return self.read_document().await,
        };
        self.to_answer(outcome.map(|()| RegistryAnswer::Done))
    }

    /// Records an announcement. Thousands of endpoints may be refused twice a second each, so
    /// all refusals are counted and only few are logged.
    fn announce(&self, report: EndpointReport) -> RegistryAnswer {
        let Err(error) = self.node.announce(report) else {
            let address = self.address.filter(|_| self.node.should_keep_endpoints());
            return address.map_or(RegistryAnswer::Done, RegistryAnswer::Announced);
        };
        let kind = match error {
            RegistryError::Unavailable(_) => "announcement_unanswered",
            RegistryError::Full(_) => "registry_full",
            RegistryError::Relocated(_)
            | RegistryError::UnknownDataCenter { .. }
            | RegistryError::Link(_)
            | RegistryError::Control(_) => return self.to_answer(Err(error)),
        };
        let reason = error.to_string();
        self.metrics.record_rejection(kind);
        let mut fault_counter = self
            .fault_counter
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(total) = fault_counter.count(Instant::now(), kind) {
            log_event!(
                info,
                "announcements_unanswered",
                kind = kind,
                total = total,
                reason = reason
            );
        }
        RegistryAnswer::Unavailable(reason)
    }

    async fn retire(&self, endpoint: String, born_ms: Option<u64>) -> Result<()> {
        match born_ms {
            Some(born_ms) => {
                let incarnation = EndpointIncarnation { endpoint, born_ms };
                self.node.retire(incarnation).await
            }
            None => self.node.retire_listed(&endpoint).await,
        }
    }

    async fn read_document(&self) -> RegistryAnswer {
        let document = self.node.read_document().await;
        self.to_answer(document.map(|document| match document {
            Some(content) => RegistryAnswer::Document(content),
            None => RegistryAnswer::NoDocument,
        }))
    }

    fn to_answer(&self, outcome: Result<RegistryAnswer>) -> RegistryAnswer {
        let error = match outcome {
            Ok(answer) => return answer,
            Err(error) => error,
        };
        match error {
            RegistryError::Relocated(_) => self.reject("foreign", error.to_string()),
            RegistryError::UnknownDataCenter { .. } => {
                self.reject("unknown_data_center", error.to_string())
            }
            RegistryError::Unavailable(_)
            | RegistryError::Full(_)
            | RegistryError::Link(_)
            | RegistryError::Control(_) => {
                log_event!(info, "registry_call_unanswered", reason = error);
                RegistryAnswer::Unavailable(error.to_string())
            }
        }
    }
}
