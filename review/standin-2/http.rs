//! HTTP/1.1 as requesters, workers and the operator speak it.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Head {
    /// The first line.
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn read(reader: &mut impl BufRead) -> io::Result<Self> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let mut headers = Vec::new();
        loop {
            let mut header = String::new();
            if reader.read_line(&mut header)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let header = header.trim_end();
            if header.is_empty() {
                break;
            }
            if let Some((name, value)) = header.split_once(':') {
                headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
            }
        }
        Ok(Self { line: line.trim_end().to_string(), headers })
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let mut words = self.line.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Reads the body to its proven end.
    pub fn read_body(&self, reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if let Some(length) = self.get("content-length") {
            let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
            return Ok(body);
        }
        if self.get("transfer-encoding") != Some("chunked") {
            return Ok(body);
        }
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
}

pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

pub fn write_request(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}

/// One call over a channel of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let mut stream = connect(address, timeout)?;
    let headers = [("Host", "control"), ("Content-Type", "application/json")];
    write_request(&mut stream, method, path, &headers, body)?;
    let mut reader = BufReader::new(stream);
    let head = Head::read(&mut reader)?;
    let body = head.read_body(&mut reader)?;
    Ok((head.status(), body))
}

