use std::time::Duration;

/// What a stand-in plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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
    /// Model that it has loaded; empty for none.
    pub model: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Time that every request takes.
    pub base_time: Duration,
    /// Time for each kilobyte that it reads.
    pub time_per_kilobyte: Duration,
    /// For an engine: time for each token when it works on one request.
    pub time_per_token: Duration,
}
