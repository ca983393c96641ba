//! Measures what the control state costs at the target's size; the figures
//! stand in docs/measurements/control.md.
//!
//! cargo run --release -p savorywalk --example control_slopes

use std::fs;
use std::time::{Duration, Instant};

use bytes::Bytes;
use prost::Message;
use savorywalk::claims::{
    ClaimAnswer, ClaimBatch, ClaimCall, ClaimFinish, ClaimKey, ClaimOwner, ClaimRequest, ClaimStep,
    EntryLease,
};
use savorywalk::configuration::digest_hex;
use savorywalk::control::{
    BootstrapCommand, ControlBody, ControlCommand, ControlState, PatchChange, PatchCommand,
};
use serde_json::{Value, json};

const WORKSPACES: usize = 1_500;
const PIPELINES: usize = 6;
const MODELS: usize = 5;
const PATCHES: u64 = 2_000;
const CLAIMS: u64 = 100_000;
const BATCH_SIZES: [u64; 3] = [256, 16, 1];
const ANSWER_BYTES: usize = 1_000;
/// A stamp that no lease outlives in this run.
const LEASE_MS: u32 = u32::MAX;

struct Harness {
    state: ControlState,
    index: u64,
}

impl Harness {
    fn new() -> Self {
        let mut harness = Self {
            state: ControlState::default(),
            index: 0,
        };
        let configuration = configuration().to_string();
        harness.apply(&encoded(ControlBody::Bootstrap(BootstrapCommand {
            configuration_json: configuration.into(),
            author: "setup".into(),
        })));
        assert_eq!(harness.state.configuration().version(), 1);
        harness.apply(&encoded(ControlBody::Lease(EntryLease {
            owner: Some(owner()),
            lease_ms: LEASE_MS,
        })));
        harness
    }

    fn apply(&mut self, command: &[u8]) -> Bytes {
        self.index += 1;
        self.state.apply_bytes(self.index, command)
    }
}

fn encoded(body: ControlBody) -> Bytes {
    let command = ControlCommand {
        stamp_ms: 1_000,
        body: Some(body),
    };
    command.encode_to_vec().into()
}

fn owner() -> ClaimOwner {
    ClaimOwner {
        entry: "entry-bole-1".into(),
        incarnation: 1,
    }
}

fn configuration() -> Value {
    let workspaces = (0..WORKSPACES).map(|number| {
        let name = format!("workspace-{number}");
        let token = digest_hex(&name);
        (name, json!({"share": 1, "token_sha256": [token]}))
    });
    let stages = |count: usize| -> Vec<Value> {
        let stage = |number| json!({"name": format!("stage-{number}"), "pool": "engines"});
        (0..count).map(stage).collect()
    };
    let pipelines = (0..PIPELINES).map(|number| {
        let pipeline = json!({"deadline_ms": 7000, "stages": stages(3 + number % 4)});
        (format!("pipeline-{number}"), pipeline)
    });
    let models = (0..MODELS).map(|number| {
        let model = json!({"version": "1", "pools": ["engines"], "replicas": 200});
        (format!("model-{number}"), model)
    });
    json!({
        "pools": {"engines": {"kind": "generate"}},
        "workspaces": workspaces.collect::<serde_json::Map<_, _>>(),
        "pipelines": pipelines.collect::<serde_json::Map<_, _>>(),
        "models": models.collect::<serde_json::Map<_, _>>(),
        "operators": {"lead": {"token_sha256": [digest_hex("lead")]}},
    })
}

/// Processor time of this thread, by the kernel's own count.
fn processor_time() -> Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|it| it.parse().ok());
    Duration::from_nanos(nanos.unwrap_or_default())
}

fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text
        .split(' ')
        .nth(1)
        .and_then(|it| it.parse().ok())
        .unwrap_or_default();
    pages * 4096
}

fn main() {
    // First, so that no memory freed by another part hides what a claim takes.
    for size in BATCH_SIZES {
        claims(size);
    }
    leases();
    patches();
    snapshots();
}

fn patch(number: u64) -> Bytes {
    let workspace = format!("workspace-{}", number as usize % WORKSPACES);
    let json = json!({"workspaces": {workspace: {"share": number + 2}}}).to_string();
    encoded(ControlBody::Patch(PatchCommand {
        patch_id: format!("change-{number}"),
        author: "lead".into(),
        expected_version: number + 1,
        change: Some(PatchChange::MergeJson(json.into())),
    }))
}

fn patches() {
    let mut harness = Harness::new();
    let mut times = Vec::new();
    let processor = processor_time();
    for number in 0..PATCHES {
        let command = patch(number);
        let started = Instant::now();
        harness.apply(&command);
        times.push(started.elapsed());
    }
    let processor = processor_time() - processor;
    assert_eq!(harness.state.configuration().version(), PATCHES + 1);
    times.sort();
    println!(
        "patches: {PATCHES} at {WORKSPACES} workspaces, apply median {:?}, p99 {:?}, processor {:?} each",
        times[times.len() / 2],
        times[times.len() * 99 / 100],
        processor / PATCHES as u32
    );
}

fn snapshots() {
    let mut harness = Harness::new();
    let source = harness.state.configuration().source();
    println!(
        "configuration: {} bytes as a message, {} as JSON",
        source.encoded_len(),
        configuration().to_string().len()
    );
    report_snapshot("after the bootstrap", &harness);
    for number in 0..PATCHES {
        harness.apply(&patch(number));
    }
    report_snapshot(
        "after 2,000 patches (history, patch ids, audit full or bounded)",
        &harness,
    );
    for first in (0..CLAIMS).step_by(256) {
        harness.apply(&claim_batch(first, 256));
    }
    report_snapshot("and 100,000 claims without answers", &harness);
}

fn report_snapshot(what: &str, harness: &Harness) {
    let started = Instant::now();
    let snapshot = harness.state.snapshot();
    let taken = started.elapsed();
    let mut restored = ControlState::default();
    let started = Instant::now();
    let result = restored.restore(&snapshot);
    let elapsed = started.elapsed();
    assert!(result.is_ok() && restored.snapshot() == snapshot);
    println!(
        "snapshot: {what}: {} bytes, taken in {taken:?}, restored in {elapsed:?}",
        snapshot.len()
    );
}

fn key(number: u64) -> ClaimKey {
    ClaimKey {
        workspace: format!("workspace-{}", number as usize % WORKSPACES),
        key: format!("booking-{number:032x}"),
    }
}

fn run(number: u64) -> Bytes {
    Bytes::copy_from_slice(&u128::from(number).to_be_bytes())
}

fn claim_batch(first: u64, size: u64) -> Bytes {
    batch(first, size, |number| {
        ClaimStep::Claim(ClaimRequest {
            key: Some(key(number)),
            digest: vec![7; 32].into(),
            owner: Some(owner()),
            run: run(number),
        })
    })
}

fn finish_batch(first: u64, size: u64) -> Bytes {
    batch(first, size, |number| {
        ClaimStep::Finish(ClaimFinish {
            key: Some(key(number)),
            run: run(number),
            answer: Some(ClaimAnswer {
                status: 200,
                body: vec![b'a'; ANSWER_BYTES].into(),
            }),
        })
    })
}

fn batch(first: u64, size: u64, step: impl Fn(u64) -> ClaimStep) -> Bytes {
    let calls = (first..first + size).map(|number| ClaimCall {
        call: Some(step(number)),
    });
    encoded(ControlBody::Claims(ClaimBatch {
        shard: 0,
        calls: calls.collect(),
    }))
}

fn claims(size: u64) {
    let mut harness = Harness::new();
    let (claimed, claim_bytes, memory) = timed(&mut harness, size, claim_batch);
    assert_eq!(harness.state.claims().len() as u64, CLAIMS / size * size);
    let (finished, finish_bytes, _) = timed(&mut harness, size, finish_batch);
    println!(
        "claims: {CLAIMS}, batches of {size}: claim {claimed:?} of processor and {claim_bytes} bytes of log, \
         finish {finished:?} and {finish_bytes} bytes, {:.0} claimed and finished a second of one core, \
         {} bytes of resident memory a claim without answer",
        1.0 / (claimed + finished).as_secs_f64(),
        memory
    );
}

/// Processor time, log bytes and resident bytes a call.
fn timed(
    harness: &mut Harness,
    size: u64,
    make: impl Fn(u64, u64) -> Bytes,
) -> (Duration, u64, u64) {
    let firsts = (0..CLAIMS / size * size).step_by(size as usize);
    let commands: Vec<Bytes> = firsts.map(|first| make(first, size)).collect();
    let bytes: usize = commands.iter().map(Bytes::len).sum();
    let resident = resident_bytes();
    let started = processor_time();
    for command in &commands {
        harness.apply(command);
    }
    let processor = processor_time() - started;
    let resident = resident_bytes().saturating_sub(resident);
    (
        processor / CLAIMS as u32,
        bytes as u64 / CLAIMS,
        resident / CLAIMS,
    )
}

fn leases() {
    let mut harness = Harness::new();
    let count = 335 * 100;
    let commands: Vec<Bytes> = (0..count)
        .map(|number| {
            let owner = ClaimOwner {
                entry: format!("entry-{}", number % 335),
                incarnation: 1,
            };
            encoded(ControlBody::Lease(EntryLease {
                owner: Some(owner),
                lease_ms: 6_000,
            }))
        })
        .collect();
    let processor = processor_time();
    for command in &commands {
        harness.apply(command);
    }
    let processor = processor_time() - processor;
    println!(
        "leases: {:?} of processor and {} bytes of log each, for 335 entries",
        processor / count as u32,
        commands[0].len()
    );
}
