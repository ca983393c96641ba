use std::sync::Arc;
use std::time::Duration;

use crate::{AnnouncementOptions, WeightStore};

const DEFAULT_MODEL_BYTES: u64 = 64 << 20;

/// What a stand-in plays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StandinKind {
    /// Makes embeddings.
    Encoder,
    /// Finds documents.
    Retriever,
    /// Orders documents.
    Reranker,
    /// Generates text in batches.
    Engine,
    /// A plain service with calls that may not be repeated.
    #[default]
    Service,
}

/// How a stand-in behaves when it is well.
#[derive(Clone, Debug)]
pub struct StandinOptions {
    /// Name under which it announces itself.
    pub name: String,
    /// What it plays.
    pub kind: StandinKind,
    /// Pool that it serves.
    pub pool: String,
    /// Data centre in which it stands.
    pub data_center: String,
    /// Model that it has loaded at the start; empty for none.
    pub model: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Requests that may wait for a slot; one more is refused as not run.
    pub queue_limit: u32,
    /// Time that every request takes.
    pub base_time: Duration,
    /// Time for each kilobyte that it reads and has not in its cache.
    pub time_per_kilobyte: Duration,
    /// For an engine: time for each token when it works on one request.
    pub time_per_token: Duration,
    /// For an engine: blocks of prompts that its prefix cache holds.
    pub cache_blocks: usize,
    /// For an engine: how long a stream without a reader is kept going.
    pub resume_window: Duration,
    /// For an engine: whether it takes orders with an old fencing number.
    pub ignores_fencing: bool,
    /// For an engine: bytes that a load fetches from the weight store.
    pub model_bytes: u64,
    /// For an engine: where weights come from; without one a load is instant.
    pub weight_store: Option<Arc<WeightStore>>,
    /// How long a leaver takes work after it announced that it leaves.
    pub leave_notice: Duration,
    /// How it announces itself.
    pub announcement: AnnouncementOptions,
}

impl Default for StandinOptions {
    fn default() -> Self {
        Self {
            name: "standin-1".into(),
            kind: StandinKind::default(),
            pool: "standins".into(),
            data_center: "local".into(),
            model: String::new(),
            slots: 8,
            queue_limit: 1_024,
            base_time: Duration::ZERO,
            time_per_kilobyte: Duration::ZERO,
            time_per_token: Duration::ZERO,
            cache_blocks: 1_024,
            resume_window: Duration::from_secs(2),
            ignores_fencing: false,
            model_bytes: DEFAULT_MODEL_BYTES,
            weight_store: None,
            leave_notice: Duration::from_secs(3),
            announcement: AnnouncementOptions::default(),
        }
    }
}
