use std::time::Duration;

use tokio::io::{AsyncWrite, AsyncWriteExt};

/// How an answer is divided into pieces, each of which its reader gets by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerPieces {
    /// Bytes of a piece, at least 1.
    pub bytes: usize,
    /// Pause after each piece. Pieces that are no chunks are read separately only with a pause.
    pub pause: Duration,
}

impl AnswerPieces {
    /// Pieces that are sent without a pause.
    pub fn of(bytes: usize) -> Self {
        Self {
            bytes,
            pause: Duration::ZERO,
        }
    }

    /// Sends a part of a body in pieces, each as a chunk if the body is sent in chunks.
    ///
    /// # Errors
    ///
    /// The error of the connection; some pieces may have been sent.
    pub async fn send(
        self,
        stream: &mut (impl AsyncWrite + Unpin),
        data: &[u8],
        is_chunked: bool,
    ) -> std::io::Result<()> {
        for piece in data.chunks(self.bytes.max(1)) {
            match is_chunked {
                true => {
                    let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
                    chunk.extend_from_slice(piece);
                    chunk.extend_from_slice(b"\r\n");
                    stream.write_all(&chunk).await?;
                }
                false => stream.write_all(piece).await?,
            }
            stream.flush().await?;
            if !self.pause.is_zero() {
                tokio::time::sleep(self.pause).await;
            }
        }
        Ok(())
    }
}
