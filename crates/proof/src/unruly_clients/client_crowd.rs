use savorywalk::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::{CrowdKind, http2_client};

/// Longest wait for a crowd to have sent everything; a server that does not read holds it up.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Clients that connect at the same time, fewer than the queue of new connections holds.
const CONNECTING: usize = 200;

/// Bytes written at a time.
const WRITE_BYTES: usize = 64 << 10;

/// A chunk of one byte.
pub(super) const SMALL_CHUNK: &[u8] = b"1\r\nx\r\n";

/// What all clients of a crowd ask for.
#[derive(Clone, Debug)]
pub struct CrowdRequest {
    /// Method and path; `{client}` stands for the number of the client.
    pub line: String,
    /// Further lines of the head; each ends with a line break.
    pub headers: String,
}

/// Clients with a connection each, which stay connected until the other end closes or the crowd is
/// dropped.
#[derive(Debug)]
pub struct ClientCrowd {
    clients: usize,
    sent: watch::Receiver<usize>,
    tasks: JoinSet<()>,
}

impl ClientCrowd {
    /// Connects `clients` to `address`; each sends what `kind` says.
    pub fn start(
        address: SocketAddr,
        request: &CrowdRequest,
        kind: CrowdKind,
        clients: usize,
    ) -> Self {
        let (sender, sent) = watch::channel(0);
        let connecting = Arc::new(tokio::sync::Semaphore::new(CONNECTING));
        let content = kind.content().map(Arc::<str>::from);
        let mut tasks = JoinSet::new();
        for client in 0..clients {
            let (sender, mut request) = (sender.clone(), request.clone());
            request.line = request.line.replace("{client}", &client.to_string());
            let connecting = Arc::clone(&connecting);
            let content = content.clone();
            tasks.spawn(async move {
                let permit = connecting.acquire_owned().await;
                let stream = TcpStream::connect(address).await;
                drop(permit);
                let done = SentMark(sender);
                if let Ok(stream) = stream {
                    play(stream, &request, kind, content.as_deref(), done).await;
                }
            });
        }
        Self {
            clients,
            sent,
            tasks,
        }
    }

    /// Waits until every client has sent everything (and got an answer to a whole request), or lost its
    /// connection, or is held up.
    pub async fn settle(&mut self) {
        let clients = self.clients;
        let settled = self.sent.wait_for(|sent| *sent == clients);
        if tokio::time::timeout(SETTLE_TIMEOUT, settled).await.is_err() {
            log::info!("event=crowd_held_up sent={}", *self.sent.borrow());
        }
    }

    /// Number of clients whose connections are still open.
    pub fn open(&mut self) -> usize {
        while self.tasks.try_join_next().is_some() {}
        self.tasks.len()
    }
}

/// Counts a client that will send nothing more, once.
pub(super) struct SentMark(watch::Sender<usize>);

impl Drop for SentMark {
    fn drop(&mut self) {
        self.0.send_modify(|sent| *sent += 1);
    }
}

async fn play(
    mut stream: TcpStream,
    request: &CrowdRequest,
    kind: CrowdKind,
    content: Option<&str>,
    done: SentMark,
) {
    if let CrowdKind::UnfinishedStreams { streams, bytes } = kind {
        return http2_client::play(stream, request, streams, bytes, done).await;
    }
    for _ in 0..kind.requests() {
        if send(&mut stream, request, kind, content).await.is_err() {
            return;
        }
    }
    let mut answer = Vec::new();
    let is_plain = matches!(kind, CrowdKind::WholeBody(_) | CrowdKind::SentAhead { .. });
    if is_plain || content.is_some() {
        // What a whole request takes shows once it is answered.
        let begun = stream.read_buf(&mut answer).await;
        log::debug!("event=answer_begun bytes={begun:?}");
    }
    drop(done);
    if let Err(error) = stream.read_to_end(&mut answer).await {
        log::debug!("event=client_cut reason={error}");
    }
}

async fn send(
    stream: &mut TcpStream,
    request: &CrowdRequest,
    kind: CrowdKind,
    content: Option<&str>,
) -> std::io::Result<()> {
    if kind == CrowdKind::Silence {
        return Ok(());
    }
    let CrowdRequest { line, headers } = request;
    let mut head = format!("{line} HTTP/1.1\r\nHost: h.example\r\n{headers}");
    match kind.framing(content) {
        Some(framing) => head.push_str(&format!("{framing}\r\n")),
        None => head.push_str("X-Long: "),
    }
    if let CrowdKind::UnfinishedChunk(bytes) = kind {
        head.push_str(&format!("{bytes:x}\r\n"));
    }
    stream.write_all(head.as_bytes()).await?;
    if let Some(content) = content {
        return stream.write_all(content.as_bytes()).await;
    }
    let block = match kind {
        CrowdKind::SmallChunks(_) => SMALL_CHUNK.repeat(WRITE_BYTES / SMALL_CHUNK.len()),
        _ => vec![b'x'; WRITE_BYTES],
    };
    let mut left = kind.body_bytes();
    while left > 0 {
        let bytes = left.min(block.len());
        stream.write_all(&block[..bytes]).await?;
        left -= bytes;
    }
    Ok(())
}
