use savorywalk::prelude::*;
use savorywalk_standin::AnswerPieces;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// Longest wait for an answer; a frozen daemon gives none.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection that is used for one call after the other, until the other end is gone.
pub(crate) struct KeptConnection {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

/// An answer with its status and body.
pub(crate) struct CallAnswer {
    pub(crate) status: u16,
    pub(crate) body: String,
}

impl KeptConnection {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
        }
    }

    /// Sends a call and reads its answer; `None` if the connection can't be opened, breaks off or
    /// stays silent. Each line of `headers` ends with a line break.
    pub(crate) async fn call(
        &mut self,
        line: &str,
        headers: &str,
        body: &str,
    ) -> Option<CallAnswer> {
        let length = body.len();
        let request = format!(
            "{line} HTTP/1.1\r\nHost: h.example\r\nContent-Length: {length}\r\n{headers}\r\n{body}"
        );
        self.exchange(request.as_bytes()).await
    }

    /// Like [`call`](Self::call), with a body in chunks.
    pub(crate) async fn call_in_pieces(
        &mut self,
        line: &str,
        headers: &str,
        body: &str,
        pieces: AnswerPieces,
    ) -> Option<CallAnswer> {
        let mut request = format!(
            "{line} HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n{headers}\r\n"
        )
        .into_bytes();
        pieces
            .send(&mut request, body.as_bytes(), true)
            .await
            .ok()?;
        request.extend_from_slice(b"0\r\n\r\n");
        self.exchange(&request).await
    }

    async fn exchange(&mut self, request: &[u8]) -> Option<CallAnswer> {
        let exchange = async {
            let mut stream = match self.stream.take() {
                Some(stream) => stream,
                None => BufReader::new(TcpStream::connect(self.address).await.ok()?),
            };
            stream.get_mut().write_all(request).await.ok()?;
            let (answer, is_kept) = read_answer(&mut stream).await?;
            self.stream = is_kept.then_some(stream);
            Some(answer)
        };
        tokio::time::timeout(ANSWER_TIMEOUT, exchange).await.ok()?
    }
}

/// Sends one call over a connection of its own.
pub(crate) async fn call_once(address: SocketAddr, line: &str, body: &str) -> Option<CallAnswer> {
    KeptConnection::new(address).call(line, "", body).await
}

/// Reads the lines of a head up to the empty one; `None` if the connection ends before.
pub(crate) async fn read_head(stream: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        match line.trim_end() {
            "" => return Some(lines),
            line => lines.push(line.to_string()),
        }
    }
}

/// Value of a header in the lines of a head.
pub(crate) fn header<'a>(lines: &'a [String], name: &str) -> Option<&'a str> {
    let mut headers = lines.iter().filter_map(|line| line.split_once(": "));
    let header = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
    header.map(|(_, value)| value)
}

/// Reads the body of a message with a length or in chunks; `None` if it breaks off.
pub(crate) async fn read_body(
    stream: &mut BufReader<TcpStream>,
    lines: &[String],
) -> Option<String> {
    if header(lines, "transfer-encoding") == Some("chunked") {
        return read_chunks(stream).await;
    }
    let length = header(lines, "content-length").map_or(Some(0), |length| length.parse().ok())?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(String::from_utf8_lossy(&body).into_owned())
}

async fn read_chunks(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await.ok()?;
        let bytes = usize::from_str_radix(line.trim_end(), 16).ok()?;
        let begin = body.len();
        body.resize(begin + bytes + "\r\n".len(), 0);
        stream.read_exact(&mut body[begin..]).await.ok()?;
        body.truncate(begin + bytes);
        if bytes == 0 {
            return Some(String::from_utf8_lossy(&body).into_owned());
        }
    }
}

/// Reads an answer, and whether its connection stays open.
async fn read_answer(stream: &mut BufReader<TcpStream>) -> Option<(CallAnswer, bool)> {
    let lines = read_head(stream).await?;
    let status = lines.first()?.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(stream, &lines).await?;
    let is_kept = header(&lines, "connection") != Some("close");
    Some((CallAnswer { status, body }, is_kept))
}
