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
    /// The lines of the head that say how the body is delimited; `None` where the head has no end.
    pub(super) fn framing(self) -> Option<String> {
        match self {
            Self::Silence | Self::EndlessHead(_) | Self::UnfinishedStreams { .. } => None,
            Self::UnfinishedBody(length)
            | Self::WholeBody(length)
            | Self::BodyStart { length, .. } => Some(format!("Content-Length: {length}\r\n")),
            Self::Announcement(bytes) => {
                let length = announcement(bytes).len();
                Some(format!("Content-Length: {length}\r\n"))
            }
            Self::UnfinishedChunk(_) | Self::SmallChunks(_) => {
                Some("Transfer-Encoding: chunked\r\n".into())
            }
        }
    }

    /// Bytes sent after the head.
    pub(super) fn body_bytes(self) -> usize {
        match self {
            Self::Silence | Self::UnfinishedStreams { .. } => 0,
            Self::UnfinishedBody(length) | Self::UnfinishedChunk(length) => length - 1,
            Self::BodyStart { sent, .. } => sent,
            Self::Announcement(bytes) => announcement(bytes).len(),
            Self::WholeBody(length) | Self::EndlessHead(length) => length,
            Self::SmallChunks(count) => count * super::client_crowd::SMALL_CHUNK.len(),
        }
    }
}

/// The announcement of an endpoint whose texts have `bytes` bytes.
pub(super) fn announcement(bytes: usize) -> String {
    let text = "x".repeat(bytes);
    format!(
        r#"{{"service":"unknown","address":"127.0.0.1:9","zone":"z","version":"{text}","slots":1,"state":"ready","coldRemainingMs":0,"sequence":1}}"#
    )
}
