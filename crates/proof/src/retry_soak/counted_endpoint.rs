use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};

use savorywalk::prelude::*;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use super::ArrivalLog;
use crate::gateway_fleet::{announce, endpoint_answer, header, piece_answer, read_body, read_head};

/// Pools of engines and of the endpoints of stages.
pub(super) const ENGINE_POOL: &str = "p";
pub(super) const STAGE_POOL: &str = "st";

/// Path of requests that engines reject whatever their mode.
pub(super) const REJECTED_PATH: &str = "/rejected/";

/// Path of calls with pieces.
const PIECES_PATH: &str = "/stage-run";

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(15);

/// One of so many requests is served in the modes that fail most requests.
const SERVED_EVERY: usize = 10;

/// What engines do with requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum EngineMode {
    #[default]
    Serve,
    /// Rejects all requests without running them.
    Reject,
    /// Answers most requests with an error of its own.
    Fail,
    /// Closes the connections of most requests without an answer.
    Break,
    /// Tells for most requests that results of their stages are gone.
    LoseInputs,
}

impl EngineMode {
    pub(super) const ALL: [Self; 5] = [
        Self::Serve,
        Self::Reject,
        Self::Fail,
        Self::Break,
        Self::LoseInputs,
    ];
}

/// State that the endpoints of a run share.
#[derive(Debug, Default)]
pub(super) struct EndpointState {
    pub(super) log: ArrivalLog,
    /// Index of the mode in [`EngineMode::ALL`].
    mode: AtomicU8,
    /// Whether endpoints of stages close connections without an answer.
    breaks_stages: AtomicBool,
    requests: AtomicUsize,
}

impl EndpointState {
    pub(super) fn set_mode(&self, mode: EngineMode) {
        self.mode.store(mode as u8, Ordering::Relaxed);
    }

    pub(super) fn set_breaks_stages(&self, breaks: bool) {
        self.breaks_stages.store(breaks, Ordering::Relaxed);
    }

    fn mode(&self) -> EngineMode {
        let index = usize::from(self.mode.load(Ordering::Relaxed));
        EngineMode::ALL.get(index).copied().unwrap_or_default()
    }
}

/// Starts `count` endpoints of a pool at `ip` that announce themselves to the registries, until the
/// set is dropped.
pub(super) fn start_endpoints(
    pool: &'static str,
    count: usize,
    ip: Ipv4Addr,
    registries: &[SocketAddr],
    state: &Arc<EndpointState>,
) -> JoinSet<()> {
    let mut endpoints = JoinSet::new();
    for index in 0..count {
        let (registries, state) = (registries.to_vec(), Arc::clone(state));
        let name = format!("{pool}-{index}");
        endpoints.spawn(async move {
            if let Err(error) = run_endpoint(pool, &name, ip, registries, state).await {
                log::error!("event=endpoint_failed name={name} reason={error:?}");
            }
        });
    }
    endpoints
}

async fn run_endpoint(
    pool: &'static str,
    name: &str,
    ip: Ipv4Addr,
    registries: Vec<SocketAddr>,
    state: Arc<EndpointState>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind((ip, 0)).await?;
    let address = listener.local_addr()?;
    let mut tasks = JoinSet::new();
    let name = name.to_string();
    tasks.spawn(async move { announce(pool, name, address, registries).await });
    loop {
        let (stream, _) = listener.accept().await?;
        let state = Arc::clone(&state);
        tasks.spawn(async move { serve(stream, address, &state).await });
    }
}

/// Serves the calls of one connection, until it ends or a mode closes it.
async fn serve(stream: TcpStream, address: SocketAddr, state: &EndpointState) {
    let mut stream = BufReader::new(stream);
    while let Some(lines) = read_head(&mut stream).await {
        let Some(body) = read_body(&mut stream, &lines).await else {
            return;
        };
        let path = lines[0].split(' ').nth(1).unwrap_or_default();
        let id = header(&lines, "x-request-id").unwrap_or_default();
        let answer = match path {
            PIECES_PATH => answer_pieces(&body, address, state),
            _ if id.is_empty() => Some(success("", "")),
            _ => answer_request(path, id, state),
        };
        tokio::time::sleep(ANSWER_TIME).await;
        let Some(answer) = answer else { return };
        if stream.get_mut().write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// The answer to a request; `None` closes its connection.
fn answer_request(path: &str, id: &str, state: &EndpointState) -> Option<String> {
    state.log.record_arrival(ENGINE_POOL, id);
    let number = state.requests.fetch_add(1, Ordering::Relaxed);
    let is_served = number.is_multiple_of(SERVED_EVERY);
    let not_run = |status| endpoint_answer(status, id, "X-Not-Executed: 1\r\n", "");
    match state.mode() {
        _ if path.starts_with(REJECTED_PATH) => Some(not_run("503 Service Unavailable")),
        EngineMode::Reject => Some(not_run("503 Service Unavailable")),
        EngineMode::Fail if !is_served => {
            Some(endpoint_answer("500 Internal Server Error", id, "", ""))
        }
        EngineMode::Break if !is_served => None,
        EngineMode::LoseInputs if !is_served => Some(not_run("409 Conflict")),
        EngineMode::Serve | EngineMode::Fail | EngineMode::Break | EngineMode::LoseInputs => {
            Some(success(id, "done"))
        }
    }
}

/// The answer to a call with pieces; `None` closes its connection.
fn answer_pieces(body: &str, address: SocketAddr, state: &EndpointState) -> Option<String> {
    let pieces = piece_answer(body, address)?;
    for unit in &pieces.units {
        state.log.record_arrival(STAGE_POOL, unit);
    }
    if state.breaks_stages.load(Ordering::Relaxed) {
        return None;
    }
    Some(success("", &pieces.answer))
}

fn success(id: &str, body: &str) -> String {
    endpoint_answer("200 OK", id, "", body)
}
