use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use savorywalk::prelude::*;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::gateway_fleet::{call_once, endpoint_answer, header, read_body, read_head};

/// Pool of the endpoints.
pub(super) const POOL: &str = "p";

/// Bytes of one write of an answer without end.
const WRITE_BYTES: usize = 64 << 10;

/// Time that a proper answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(15);

/// Interval between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// What an endpoint in trouble sends without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndlessKind {
    NoHttp,
    InterimHeads,
    HeaderLine,
    Body,
    SmallChunks,
    ErrorBody,
}

impl EndlessKind {
    pub(super) const ALL: [Self; 6] = [
        Self::NoHttp,
        Self::InterimHeads,
        Self::HeaderLine,
        Self::Body,
        Self::SmallChunks,
        Self::ErrorBody,
    ];

    /// What the answer begins with, and what it repeats.
    fn parts(self, id: &str) -> (String, String) {
        let repeat = |unit: &str| unit.repeat(WRITE_BYTES / unit.len());
        let head = |status: &str| {
            format!(
                "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Response-Seal: s\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            )
        };
        let chunk = format!("{WRITE_BYTES:x}\r\n{}\r\n", repeat("x"));
        match self {
            Self::NoHttp => (String::new(), repeat("\u{1}n")),
            Self::InterimHeads => (String::new(), repeat("HTTP/1.1 102 Processing\r\n\r\n")),
            Self::HeaderLine => ("HTTP/1.1 200 OK\r\nX-Fill: ".into(), repeat("x")),
            Self::Body => (head("200 OK"), chunk),
            Self::SmallChunks => (head("200 OK"), repeat("1\r\nx\r\n")),
            Self::ErrorBody => (head("500 Internal Server Error"), chunk),
        }
    }
}

/// State that the endpoints of a run share.
#[derive(Debug)]
pub(super) struct EndpointState {
    kinds: Mutex<Vec<Option<EndlessKind>>>,
    /// Requests by id, and how often each arrived.
    runs: Mutex<FastMap<String, usize>>,
    endless: AtomicUsize,
    /// Addresses of the registries as an operator knows them.
    registries: Mutex<Vec<SocketAddr>>,
}

impl EndpointState {
    fn kind(&self, index: usize) -> Option<EndlessKind> {
        self.kinds.lock().unwrap_or_else(PoisonError::into_inner)[index]
    }

    /// Makes an endpoint answer without end, or properly.
    pub(super) fn set_kind(&self, index: usize, kind: Option<EndlessKind>) {
        self.kinds.lock().unwrap_or_else(PoisonError::into_inner)[index] = kind;
    }

    pub(super) fn set_registries(&self, registries: Vec<SocketAddr>) {
        *self
            .registries
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = registries;
    }

    fn registries(&self) -> Vec<SocketAddr> {
        let registries = self.registries.lock();
        registries.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Number of times that a request arrived.
    pub(super) fn runs(&self, id: &str) -> usize {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(id).copied().unwrap_or_default()
    }

    pub(super) fn endless_answers(&self) -> usize {
        self.endless.load(Ordering::Relaxed)
    }

    fn record_run(&self, id: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(id.to_string()).or_default() += 1;
    }
}

/// Endpoints that answer properly or without end. They stop when dropped.
pub(super) struct TroubledEndpoints {
    pub(super) state: Arc<EndpointState>,
    _tasks: JoinSet<()>,
}

impl TroubledEndpoints {
    pub(super) fn start(count: usize, ip: Ipv4Addr, registries: Vec<SocketAddr>) -> Self {
        let state = Arc::new(EndpointState {
            kinds: Mutex::new(vec![None; count]),
            runs: Mutex::default(),
            endless: AtomicUsize::default(),
            registries: Mutex::new(registries),
        });
        let mut tasks = JoinSet::new();
        for index in 0..count {
            tasks.spawn(run(index, ip, Arc::clone(&state)));
        }
        Self {
            state,
            _tasks: tasks,
        }
    }
}

async fn run(index: usize, ip: Ipv4Addr, state: Arc<EndpointState>) {
    let listener = match TcpListener::bind((ip, 0)).await {
        Ok(listener) => listener,
        Err(error) => return log::error!("event=endpoint_not_started reason={error}"),
    };
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut tasks = JoinSet::new();
    tasks.spawn(announce(index, address, Arc::clone(&state)));
    while let Ok((stream, _)) = listener.accept().await {
        tasks.spawn(serve(stream, index, Arc::clone(&state)));
    }
}

/// Announces an endpoint to the first registry that answers, as the list is then.
async fn announce(index: usize, address: SocketAddr, state: Arc<EndpointState>) {
    for sequence in 1_u64.. {
        let report = format!(
            r#"{{"service":"{POOL}","address":"{address}","zone":"z","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"sequence":{sequence}}}"#
        );
        let line = format!("POST /instances/{POOL}-{index}/heartbeat");
        for registry in state.registries() {
            let answer = call_once(registry, &line, &report).await;
            if answer.is_some_and(|answer| answer.status == 200) {
                break;
            }
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn serve(stream: TcpStream, index: usize, state: Arc<EndpointState>) {
    let mut stream = BufReader::new(stream);
    while let Some(lines) = read_head(&mut stream).await {
        if read_body(&mut stream, &lines).await.is_none() {
            return;
        }
        let id = header(&lines, "x-request-id").unwrap_or_default();
        if !id.is_empty() {
            state.record_run(id);
        }
        if let Some(kind) = state.kind(index) {
            state.endless.fetch_add(1, Ordering::Relaxed);
            return send_without_end(stream.get_mut(), kind.parts(id)).await;
        }
        tokio::time::sleep(ANSWER_TIME).await;
        let answer = endpoint_answer("200 OK", id, "", id);
        if stream.get_mut().write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn send_without_end(stream: &mut TcpStream, (begin, repeated): (String, String)) {
    let mut next = &begin;
    while stream.write_all(next.as_bytes()).await.is_ok() {
        next = &repeated;
    }
}
