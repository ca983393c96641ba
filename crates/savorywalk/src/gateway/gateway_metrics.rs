use std::sync::{Mutex, PoisonError};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};

use super::prompt_homes::PlacementCounts;
use super::retry_budget::RepeatReason;
use super::returns::CalendarCounts;
use super::stalled_calls::{SilentReplacement, StallEnd};
use super::workspace_shares::WorkspaceLabels;
use crate::prelude::*;

/// Upper bounds of the duration buckets, from a round trip in a data centre to the longest
/// deadline.
const DURATION_BOUNDS_SECONDS: [f64; 13] = [
    0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 2.7, 5.0, 10.0, 15.0,
];

/// Upper bounds of the buckets for the number of pieces in a call.
const PIECE_COUNT_BOUNDS: [f64; 8] = [1.0, 2.0, 4.0, 8.0, 12.0, 18.0, 34.0, 68.0];

/// Metric instruments of the gateway; docs/OPERATIONS.md says what to watch.
#[derive(Clone, Debug)]
pub(super) struct GatewayMetrics {
    requests: Counter<u64>,
    head_refusals: Counter<u64>,
    request_seconds: Histogram<f64>,
    retries: Counter<u64>,
    repeat_sends: Counter<u64>,
    retry_tokens: Counter<u64>,
    pieces_per_call: Histogram<f64>,
    piece_stall_seconds: Histogram<f64>,
    resumes: Counter<u64>,
    broken_streams: Counter<u64>,
    partial_frames: Counter<u64>,
    silent_replacements: Counter<u64>,
    stalls: Histogram<f64>,
    taken_up: Counter<u64>,
    backoffs: Counter<u64>,
    placements: Counter<u64>,
    workspace_seconds: Counter<f64>,
    workspace_labels: Arc<Mutex<WorkspaceLabels>>,
    plans: Counter<u64>,
    appointments: Counter<u64>,
}

impl GatewayMetrics {
    pub(super) fn new(meter: &Meter) -> Self {
        Self {
            requests: meter
                .u64_counter("savorywalk_gateway_requests")
                .with_description("Requests by route and outcome")
                .build(),
            head_refusals: meter
                .u64_counter("savorywalk_gateway_head_refusals")
                .with_description("Requests whose heads name more than they may, by limit")
                .build(),
            request_seconds: meter
                .f64_histogram("savorywalk_gateway_request_duration_seconds")
                .with_description("Time to the whole answer, or to a stream's first event")
                .with_boundaries(DURATION_BOUNDS_SECONDS.to_vec())
                .build(),
            retries: meter
                .u64_counter("savorywalk_gateway_repeats")
                .with_description("Repeated sends by pool, granted by the budget or not")
                .build(),
            repeat_sends: meter
                .u64_counter("savorywalk_gateway_repeat_sends")
                .with_description(
                    "Requests and pieces sent beyond the first time, by pool and reason",
                )
                .build(),
            retry_tokens: meter
                .u64_counter("savorywalk_gateway_retry_tokens")
                .with_description("Retry tokens used here, earned here or granted by a coordinator")
                .build(),
            pieces_per_call: meter
                .f64_histogram("savorywalk_gateway_pieces_per_call")
                .with_description("Pieces that share a call")
                .with_boundaries(PIECE_COUNT_BOUNDS.to_vec())
                .build(),
            piece_stall_seconds: meter
                .f64_histogram("savorywalk_gateway_piece_stall_duration_seconds")
                .with_description("Time from the stall of a call with pieces to its end, by how")
                .with_boundaries(DURATION_BOUNDS_SECONDS.to_vec())
                .build(),
            resumes: meter
                .u64_counter("savorywalk_gateway_stream_resumes")
                .with_description("Streams that went on at another endpoint")
                .build(),
            broken_streams: meter
                .u64_counter("savorywalk_gateway_broken_streams")
                .with_description("Streams that broke off at their callers")
                .build(),
            partial_frames: meter
                .u64_counter("savorywalk_gateway_partial_frames")
                .with_description("Frames of streams that completed no event")
                .build(),
            silent_replacements: meter
                .u64_counter("savorywalk_gateway_silent_replacements")
                .with_description("Endpoints that were to replace a silent one and were silent too")
                .build(),
            stalls: meter
                .f64_histogram("savorywalk_gateway_stall_seconds")
                .with_description("Silence of endpoints beyond a call's limit, by how it ended")
                .with_boundaries(DURATION_BOUNDS_SECONDS.to_vec())
                .build(),
            taken_up: meter
                .u64_counter("savorywalk_gateway_streams_taken_up")
                .with_description("Streams that callers take up, by how their origin was found")
                .build(),
            backoffs: meter
                .u64_counter("savorywalk_gateway_endpoint_backoffs")
                .with_description("Times that endpoints asked for a pause, by pool")
                .build(),
            appointments: meter
                .u64_counter("savorywalk_gateway_appointments")
                .with_description("Appointments of refused callers by what became of them")
                .build(),
            plans: meter
                .u64_counter("savorywalk_gateway_plans")
                .with_description("Plans of several shards by the shard that decided on them")
                .build(),
            workspace_seconds: meter
                .f64_counter("savorywalk_gateway_workspace_endpoint_seconds")
                .with_description("Endpoint time of begun plans by workspace, the largest by name")
                .build(),
            workspace_labels: Arc::default(),
            placements: meter
                .u64_counter("savorywalk_gateway_prompt_placements")
                .with_description("Tokens of shared prompt parts by the reason for reading them")
                .build(),
        }
    }

    pub(super) fn record_placement(&self, pool: &str, reads: &PlacementCounts) {
        for (reason, tokens) in reads.by_reason() {
            let pool = KeyValue::new("pool", pool.to_string());
            let reason = KeyValue::new("reason", reason.name());
            self.placements.add(tokens, &[pool, reason]);
        }
    }

    pub(super) fn record_request(&self, route: &str, outcome: &'static str, time: Duration) {
        let route = KeyValue::new("route", route.to_string());
        let outcome = KeyValue::new("outcome", outcome);
        self.requests.add(1, &[route.clone(), outcome]);
        self.request_seconds.record(time.as_secs_f64(), &[route]);
    }

    pub(super) fn record_head_refusal(&self, limit: &'static str) {
        self.head_refusals.add(1, &[KeyValue::new("limit", limit)]);
    }

    pub(super) fn record_retries(&self, pool: &str, granted: bool, count: u32) {
        let pool = KeyValue::new("pool", pool.to_string());
        self.retries
            .add(count.into(), &[pool, KeyValue::new("granted", granted)]);
    }

    pub(super) fn record_retry_tokens(&self, pool: &str, source: &'static str, count: u32) {
        if count > 0 {
            let pool = KeyValue::new("pool", pool.to_string());
            let source = KeyValue::new("source", source);
            self.retry_tokens.add(count.into(), &[pool, source]);
        }
    }

    pub(super) fn record_repeat_sends(&self, pool: &str, reason: RepeatReason, count: usize) {
        let pool = KeyValue::new("pool", pool.to_string());
        let reason = KeyValue::new("reason", reason.name());
        self.repeat_sends.add(count as u64, &[pool, reason]);
    }

    pub(super) fn record_call(&self, pool: &str, pieces: usize) {
        let pool = KeyValue::new("pool", pool.to_string());
        self.pieces_per_call.record(pieces as f64, &[pool]);
    }

    /// Records how a stalled call with pieces ended, and how long after its stall.
    pub(super) fn record_piece_stall(&self, pool: &str, outcome: &'static str, time: Duration) {
        let pool = KeyValue::new("pool", pool.to_string());
        let outcome = KeyValue::new("outcome", outcome);
        self.piece_stall_seconds
            .record(time.as_secs_f64(), &[pool, outcome]);
    }

    pub(super) fn record_backoff(&self, pool: &str) {
        let pool = KeyValue::new("pool", pool.to_string());
        self.backoffs.add(1, &[pool]);
    }

    /// Adds the endpoint time that workspaces have begun to use.
    pub(super) fn record_workspace_work(&self, used: Vec<(Arc<str>, Duration)>) {
        let labels = self.workspace_labels.lock();
        let mut labels = labels.unwrap_or_else(PoisonError::into_inner);
        for (label, used) in labels.label(used) {
            let label = KeyValue::new("workspace", label.to_string());
            self.workspace_seconds.add(used.as_secs_f64(), &[label]);
        }
    }

    /// Counts a plan by the shard that decided on it: `first`; `named` by the first one or
    /// `hashed`, when the first one refused; or `decided_here`, when the first one refused
    /// finally.
    pub(super) fn record_plan(&self, shard: &'static str) {
        self.plans.add(1, &[KeyValue::new("shard", shard)]);
    }

    pub(super) fn record_appointments(&self, counts: CalendarCounts) {
        for (outcome, count) in counts.by_name() {
            if count > 0 {
                let outcome = KeyValue::new("outcome", outcome);
                self.appointments.add(count, &[outcome]);
            }
        }
    }

    /// Counts a stream that a caller takes up, by how its origin was found.
    pub(super) fn record_taken_up(&self, source: &'static str) {
        self.taken_up.add(1, &[KeyValue::new("source", source)]);
    }

    pub(super) fn record_broken_stream(&self, pool: &str) {
        let pool = KeyValue::new("pool", pool.to_string());
        self.broken_streams.add(1, &[pool]);
    }

    /// Counts a frame of a stream that completed no event.
    pub(super) fn record_partial_frame(&self, pool: &str) {
        let pool = KeyValue::new("pool", pool.to_string());
        self.partial_frames.add(1, &[pool]);
    }

    pub(super) fn record_stall(&self, pool: &str, end: StallEnd, silence: Duration) {
        let pool = KeyValue::new("pool", pool.to_string());
        let end = KeyValue::new("end", end.name());
        self.stalls.record(silence.as_secs_f64(), &[pool, end]);
    }

    pub(super) fn record_silent_replacement(&self, pool: &str, found: SilentReplacement) {
        let pool = KeyValue::new("pool", pool.to_string());
        let found = KeyValue::new("found", found.name());
        self.silent_replacements.add(1, &[pool, found]);
    }

    pub(super) fn record_resume(&self, pool: &str) {
        let pool = KeyValue::new("pool", pool.to_string());
        self.resumes.add(1, &[pool]);
    }
}
