/// What each client of a crowd sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrowdKind {
    /// Nothing.
    Silence,
    /// A head of this many bytes without its end.
    EndlessHead(usize),
    /// A body with a length of this many bytes, but for its last one.
    UnfinishedBody(usize),
    /// The first bytes of a body with a length.
    BodyStart {
        /// Bytes that are sent.
        sent: usize,
        /// Length that is announced.
        length: usize,
    },
    /// A whole body with a length of this many bytes.
    WholeBody(usize),
    /// An announcement of an endpoint of its own, with texts of this many bytes.
    Announcement(usize),
    /// A document of this many bytes, nearly all of them empty texts, without the pools that it needs.
    ManyTexts(usize),
    /// The input of a pipeline of this many bytes, nearly all of them empty documents.
    ManyDocuments(usize),
    /// The input of a pipeline, a text of this many bytes.
    LongInput(usize),
    /// Whole requests, all sent before an answer is read.
    SentAhead {
        /// Number of requests.
        requests: usize,
        /// Bytes of each body.
        bytes: usize,
    },
    /// One chunk of this many bytes, but for its last one.
    UnfinishedChunk(usize),
    /// Chunks of one byte, this many of them, without the last chunk.
    SmallChunks(usize),
    /// Streams of one HTTP/2 connection, each with a body of this many bytes but for its last one.
    UnfinishedStreams {
        /// Streams of each connection.
        streams: usize,
        /// Bytes of each body.
        bytes: usize,
    },
}

impl CrowdKind {
    /// The lines of the head that say how the body is delimited, whose content may be `content`; `None`
    /// where the head has no end.
    pub(super) fn framing(self, content: Option<&str>) -> Option<String> {
        if let Some(content) = content {
            return Some(format!("Content-Length: {}\r\n", content.len()));
        }
        match self {
            Self::Silence | Self::EndlessHead(_) | Self::UnfinishedStreams { .. } => None,
            Self::UnfinishedBody(length)
            | Self::WholeBody(length)
            | Self::SentAhead { bytes: length, .. }
            | Self::BodyStart { length, .. } => Some(format!("Content-Length: {length}\r\n")),
            Self::Announcement(_)
            | Self::ManyTexts(_)
            | Self::ManyDocuments(_)
            | Self::LongInput(_)
            | Self::UnfinishedChunk(_)
            | Self::SmallChunks(_) => Some("Transfer-Encoding: chunked\r\n".into()),
        }
    }

    /// Bytes sent after the head where their content does not matter.
    pub(super) fn body_bytes(self) -> usize {
        match self {
            Self::Silence
            | Self::UnfinishedStreams { .. }
            | Self::Announcement(_)
            | Self::ManyTexts(_)
            | Self::ManyDocuments(_)
            | Self::LongInput(_) => 0,
            Self::UnfinishedBody(length) | Self::UnfinishedChunk(length) => length - 1,
            Self::SentAhead { bytes, .. } => bytes,
            Self::BodyStart { sent, .. } => sent,
            Self::WholeBody(length) | Self::EndlessHead(length) => length,
            Self::SmallChunks(count) => count * super::client_crowd::SMALL_CHUNK.len(),
        }
    }

    /// The body, where its content matters.
    pub(super) fn content(self) -> Option<String> {
        match self {
            Self::Announcement(bytes) => Some(announcement(bytes)),
            Self::ManyTexts(bytes) => Some(format!(
                r#"{{"version":9,"tenants":[{{"name":"w","apiKeys":[{}]}}],"routes":[]}}"#,
                empty_texts(bytes)
            )),
            Self::ManyDocuments(bytes) => Some(format!(
                r#"{{"input":"x","documents":[{}]}}"#,
                empty_texts(bytes)
            )),
            Self::LongInput(bytes) => Some(format!(r#"{{"input":"{}"}}"#, "x".repeat(bytes))),
            Self::Silence
            | Self::EndlessHead(_)
            | Self::UnfinishedBody(_)
            | Self::BodyStart { .. }
            | Self::WholeBody(_)
            | Self::SentAhead { .. }
            | Self::UnfinishedChunk(_)
            | Self::SmallChunks(_)
            | Self::UnfinishedStreams { .. } => None,
        }
    }

    /// Number of requests that a client sends over its connection.
    pub(super) fn requests(self) -> usize {
        if let Self::SentAhead { requests, .. } = self {
            return requests;
        }
        1
    }
}

/// About `bytes` bytes of empty texts, separated by commas.
fn empty_texts(bytes: usize) -> String {
    let mut texts = r#""","#.repeat(bytes / 3);
    texts.push_str(r#""""#);
    texts
}

/// The announcement of an endpoint whose texts have `bytes` bytes.
fn announcement(bytes: usize) -> String {
    let text = "x".repeat(bytes);
    format!(
        r#"{{"service":"unknown","address":"127.0.0.1:9","zone":"z","version":"{text}","slots":1,"state":"ready","coldRemainingMs":0,"sequence":1}}"#
    )
}
