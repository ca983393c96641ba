//! The operator and the workers of a small deployment.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Head};
use crate::platform::{CONTROL_PORT, Node, Platform, READY_PORT, Role};
use crate::record::Record;

pub const WORKER_PORT: u16 = 8080;

pub struct Route<'a> {
    pub name: &'a str,
    pub host: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub aim_ms: u64,
    pub attempts: u32,
}

impl Route<'_> {
    pub fn json(&self) -> String {
        let stream = match self.kind {
            "stream" => ",\"sticky\":true,\"resumable\":false,\"targetGapMs\":200",
            _ => "",
        };
        format!(
            "{{\"name\":\"{}\",\"host\":\"{}\",\"pathPrefix\":\"{}\",\"kind\":\"{}\",\"timeoutMs\":{},\"targetLatencyMs\":{},\"priority\":0,\"service\":\"{}\",\"maxAttempts\":{},\"stages\":[],\"public\":false{stream}}}",
            self.name, self.host, self.prefix, self.kind, self.timeout_ms, self.aim_ms, self.service, self.attempts,
        )
    }
}

/// A manifest with the limits of the pages' example.
pub fn manifest(version: u64, routes: &str, services: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{services}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

pub fn plain_service(name: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false}}"
    )
}

pub fn engine_service(name: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kvCapacity\":580694,\"kvTokenBytes\":35136,\"linkMbps\":740000.0,\"moves\":false,\"backups\":false,\"stride\":2,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}"
    )
}

pub fn control_address(node: &Node) -> SocketAddr {
    format!("{}:{CONTROL_PORT}", node.ip).parse().expect("an address")
}

/// Sends a manifest until it is acknowledged, to one daemon after the other, as the pages say.
/// Returns how often it was sent.
pub fn put(platform: &Platform, version: u64, body: &str, until: Instant) -> Option<u32> {
    let registries = platform.of(Role::Registry);
    let mut tries = 0;
    let mut pause = Duration::from_millis(50);
    while Instant::now() < until {
        let node = &registries[(version as usize + tries as usize) % registries.len()];
        tries += 1;
        // More than a second for large bodies.
        let timeout = Duration::from_millis(1_000 + body.len() as u64 / 1_000);
        let address = control_address(node);
        match http::call(address, "POST", "/config/put", body.as_bytes(), timeout) {
            Ok((200, _)) => return Some(tries),
            Ok((status @ (400 | 409 | 412 | 413 | 422), answer)) => {
                panic!("refused with {status}: {}", String::from_utf8_lossy(&answer))
            }
            Ok(_) | Err(_) => {}
        }
        thread::sleep(pause);
        pause = (pause * 2).min(Duration::from_millis(500));
    }
    None
}

/// Whether a gateway counts as ready.
pub fn is_ready(node: &Node) -> bool {
    let address = format!("{}:{READY_PORT}", node.ip).parse().expect("an address");
    let answer = http::call(address, "GET", "/ready", b"", Duration::from_millis(500));
    matches!(answer, Ok((200, _)))
}

pub fn wait_ready(platform: &Platform, until: Instant) -> bool {
    let gateways = platform.of(Role::Gateway);
    while Instant::now() < until {
        if gateways.iter().all(|node| is_ready(node)) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// What a worker does with a request: reads its body, works, and writes the answer.
pub trait Work: Send + Sync + 'static {
    fn answer(
        &self,
        head: &Head,
        reader: &mut dyn BufRead,
        writer: &mut TcpStream,
    ) -> std::io::Result<()>;
}


/// Starts a worker that announces itself and answers requests until the program ends.
pub fn start_worker(
    platform: &Platform,
    host: usize,
    service: &str,
    work: Arc<dyn Work>,
    stop: &Arc<AtomicBool>,
    record: &Arc<Record>,
) {
    let id = format!("i-{host:08x}");
    let address: SocketAddr = format!("{}.{host}:{WORKER_PORT}", platform.net).parse().unwrap();
    let listener = TcpListener::bind(address).expect("a free port for a worker");
    let worker_id = id.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (work, id) = (Arc::clone(&work), worker_id.clone());
            thread::spawn(move || serve(stream, &id, work.as_ref()));
        }
    });
    let registries = platform.of(Role::Registry);
    let zone = ["bole", "kality", "piassa"][host % 3];
    let (service, beat_id, stop) = (service.to_string(), id.clone(), Arc::clone(stop));
    let record = Arc::clone(record);
    let sequence = AtomicU64::new(0);
    thread::spawn(move || {
        let mut target = host;
        while !stop.load(Ordering::SeqCst) {
            let sequence = sequence.fetch_add(1, Ordering::SeqCst) + 1;
            let body = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence}}}"
            );
            let node = &registries[target % registries.len()];
            let path = format!("/instances/{beat_id}/heartbeat");
            let timeout = Duration::from_secs(1);
            match http::call(control_address(node), "POST", &path, body.as_bytes(), timeout) {
                Ok((status, _)) if status < 300 => {
                    if sequence == 1 {
                        record.line(&format!("worker {beat_id} announced"));
                    }
                    thread::sleep(Duration::from_millis(1_200));
                }
                Ok(_) | Err(_) => {
                    target += 1;
                    thread::sleep(Duration::from_millis(100));
                }
            }
        }
    });

}

fn serve(stream: TcpStream, id: &str, work: &dyn Work) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::with_capacity(64 << 10, stream);
    while let Ok(head) = Head::read(&mut reader) {
        let expected = head.get("x-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            if head.read_body(&mut reader).is_err() || writer.write_all(
                b"HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            ).is_err() {
                return;
            }
            continue;
        }
        if head.path() == "/report" {
            let body = "{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":0,\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":580694,\"handles\":0}";
            let text = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if work.answer(&head, &mut reader, &mut writer).is_err() {
            return;
        }
    }
}
