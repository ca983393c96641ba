use savorywalk::prelude::*;
use savorywalk_standin::AnswerPieces;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Bytes of one write of an answer without end.
const WRITE_BYTES: usize = 64 << 10;

/// A line of a stream without the empty line that ends an event, as a chunk.
const LINE_CHUNK: &str = "e\r\ndata: xxxxxxx\n\r\n";

/// Pause between two lines of a slow stream.
const LINE_PAUSE: Duration = Duration::from_millis(10);

/// Events of a proper stream.
const EVENTS: u64 = 4;

/// What an endpoint sends in place of proper answers in a few large pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerKind {
    NoHttp,
    InterimHeads,
    HeaderLine,
    Body,
    SmallChunks,
    ErrorBody,
    /// Lines that complete no event.
    Lines,
    /// Lines that complete no event, one at a time.
    SlowLines,
    /// A proper answer in chunks of one byte.
    ProperBytes,
    /// A proper answer in reads of a few bytes.
    ProperReads,
}

impl AnswerKind {
    pub(super) const ALL: [Self; 10] = [
        Self::NoHttp,
        Self::InterimHeads,
        Self::HeaderLine,
        Self::Body,
        Self::SmallChunks,
        Self::ErrorBody,
        Self::Lines,
        Self::SlowLines,
        Self::ProperBytes,
        Self::ProperReads,
    ];

    /// How a proper answer is divided; `None` for answers without end.
    pub(super) fn pieces(self) -> Option<AnswerPieces> {
        match self {
            Self::ProperBytes => Some(AnswerPieces::of(1)),
            Self::ProperReads => Some(AnswerPieces {
                bytes: 3,
                pause: Duration::from_micros(300),
            }),
            Self::NoHttp
            | Self::InterimHeads
            | Self::HeaderLine
            | Self::Body
            | Self::SmallChunks
            | Self::ErrorBody
            | Self::Lines
            | Self::SlowLines => None,
        }
    }

    /// What an answer without end begins with, and what it repeats.
    fn parts(self, id: &str) -> (String, String) {
        let repeat = |unit: &str| unit.repeat(WRITE_BYTES / unit.len());
        let head = |status: &str, kind: &str| {
            format!(
                "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Response-Seal: s\r\n\
                 Content-Type: {kind}\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
        };
        let chunk = format!("{WRITE_BYTES:x}\r\n{}\r\n", repeat("x"));
        let (plain, events) = ("application/json", "text/event-stream");
        match self {
            Self::NoHttp => (String::new(), repeat("\u{1}n")),
            Self::InterimHeads => (String::new(), repeat("HTTP/1.1 102 Processing\r\n\r\n")),
            Self::HeaderLine => ("HTTP/1.1 200 OK\r\nX-Fill: ".into(), repeat("x")),
            Self::Body | Self::ProperBytes | Self::ProperReads => (head("200 OK", plain), chunk),
            Self::SmallChunks => (head("200 OK", plain), repeat("1\r\nx\r\n")),
            Self::ErrorBody => (head("500 Internal Server Error", plain), chunk),
            Self::Lines => (head("200 OK", events), repeat(LINE_CHUNK)),
            Self::SlowLines => (head("200 OK", events), LINE_CHUNK.into()),
        }
    }

    /// Sends an answer without end until the peer closes the connection.
    pub(super) async fn send_without_end(self, stream: &mut TcpStream, id: &str) {
        let (begin, repeated) = self.parts(id);
        let mut next = &begin;
        while stream.write_all(next.as_bytes()).await.is_ok() {
            next = &repeated;
            if self == Self::SlowLines {
                tokio::time::sleep(LINE_PAUSE).await;
            }
        }
    }
}

/// Body of the proper answer to a request: its id, or events of a stream that name it.
pub(super) fn proper_body(id: &str, is_stream: bool, last_event: u64) -> String {
    match is_stream {
        true => (last_event + 1..=EVENTS)
            .map(|event| format!("id: {event}\ndata: {id}\ndata: {event}\n\n"))
            .collect(),
        false => id.to_string(),
    }
}
