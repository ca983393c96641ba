//! HTTP/1.1 as far as the stand-ins need it.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the end of the body was proven by its length or its last chunk.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a head; `None` at the end of the channel.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.first = line.trim_end().to_string();
    let status = message
        .first
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok());
    message.status = status.unwrap_or(0);
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Some(message);
        }
        let (name, value) = text.split_once(':')?;
        message
            .headers
            .push((name.to_string(), value.trim().to_string()));
    }
}

/// Reads the next part of a chunked body; an empty part is the end. `None` if the channel breaks.
pub fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk).ok()?;
    line.clear();
    reader.read_line(&mut line).ok()?;
    line.ends_with('\n').then_some(chunk)
}

pub fn read_body(reader: &mut impl BufRead, message: &mut Message, until_end: bool) {
    if let Some(length) = message
        .header("content-length")
        .and_then(|text| text.parse().ok())
    {
        let mut body = vec![0; length];
        message.is_complete = reader.read_exact(&mut body).is_ok();
        message.body = body;
        return;
    }
    if message.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader) {
            if chunk.is_empty() {
                message.is_complete = true;
                return;
            }
            message.body.extend(chunk);
        }
        return;
    }
    if until_end {
        message.is_complete = reader.read_to_end(&mut message.body).is_ok();
        return;
    }
    message.is_complete = true;
}

/// Writes a request.
pub fn write_request(
    stream: &mut impl Write,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Makes one call over a new channel; `None` without a whole answer in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let host = to.to_string();
    let mut all = Vec::new();
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        all.push(("Host", host.as_str()));
    }
    all.extend_from_slice(headers);
    all.push(("Connection", "close"));
    write_request(&mut stream, method, target, &all, body).ok()?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader)?;
    read_body(&mut reader, &mut answer, true);
    answer.is_complete.then_some(answer)
}
