//! What links between daemons carry and cost: messages, calls, bytes on the
//! wire and processor time, of two daemons and of many idle links.

use std::path::Path;
use std::time::{Duration, Instant};

use bytes::Bytes;
use savorywalk::transport::{
    CertificateFiles, KeyAuthority, LinkChannel, LinkClass, LinkHub, LinkOptions, LinkTiming,
    LinkTrust, PeerName, WireCounts,
};
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinSet;

use crate::bench_error::BenchError;
use crate::{Result, processor_time};

const DEFAULT_SECONDS: f64 = 4.0;
const SENDER: &str = "link-send";
const RECEIVER: &str = "link-recv";
const SMALL_BYTES: usize = 100;
/// No budget, so that the link itself is measured.
const BUDGET: u32 = 100_000_000;
const CALLERS: usize = 32;
const IDLE_LINKS: usize = 50;
const PACED_MESSAGES: u32 = 200;
const PACE: Duration = Duration::from_millis(10);
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const DAYS: u32 = 1;

/// Hubs under one authority, each side on a runtime of its own.
struct LinkBench {
    folder: tempfile::TempDir,
    authority: KeyAuthority,
    sending: Runtime,
    receiving: Runtime,
}

/// Processor time of both sides at one moment.
#[derive(Clone, Copy)]
struct ProcessorMark {
    sender: Duration,
    receiver: Duration,
    at: Instant,
}

/// Measures and prints one line a figure.
pub(crate) fn run(seconds: Option<f64>) -> Result<()> {
    let span = Duration::from_secs_f64(seconds.unwrap_or(DEFAULT_SECONDS));
    let bench = LinkBench::new()?;
    println!("machine_load={}", processor_time::machine_load());
    bench.paced()?;
    bench.flood(span)?;
    bench.calls(span)?;
    bench.idle(span)
}

impl LinkBench {
    fn new() -> Result<Self> {
        let folder = tempfile::tempdir().map_err(BenchError::Runtime)?;
        Ok(Self {
            authority: KeyAuthority::create(folder.path())?,
            folder,
            sending: runtime(SENDER)?,
            receiving: runtime(RECEIVER)?,
        })
    }

    fn hub(&self, runtime: &Runtime, name: &str) -> Result<LinkHub> {
        let certificate = self.authority.issue(name, DAYS)?;
        let _context = runtime.enter();
        Ok(LinkHub::start(LinkOptions {
            name: PeerName::new(name)?,
            address: ([127, 0, 0, 1], 0).into(),
            files: CertificateFiles {
                key: certificate.with_extension("key"),
                authority: Path::join(self.folder.path(), "authority.pem"),
                certificate,
            },
            trust: LinkTrust::default(),
            timing: LinkTiming::default(),
            peers: Default::default(),
            budget: BUDGET,
            reload_interval: Duration::from_secs(3600),
        })?)
    }

    fn pair(&self, name: &str) -> Result<(LinkHub, LinkHub)> {
        let sender = self.hub(&self.sending, &format!("{name}-send"))?;
        let receiver = self.hub(&self.receiving, &format!("{name}-recv"))?;
        let address = receiver.address()?;
        sender.addresses().set(receiver.name().clone(), address);
        Ok((sender, receiver))
    }

    /// One small message at a time: what each puts on the wire.
    fn paced(&self) -> Result<()> {
        let (sender, receiver) = self.pair("paced")?;
        let mut messages = receiver.subscribe(LinkChannel::Directory);
        let peer = receiver.name().to_string();
        let payload = Bytes::from(vec![0; SMALL_BYTES]);
        let (counts, elapsed) = self.sending.block_on(async {
            sender.send(&peer, LinkChannel::Directory, payload.clone())?;
            messages.recv().await;
            tokio::time::sleep(PACE).await;
            let (before, start) = (sender.wire_counts(), Instant::now());
            for _ in 0..PACED_MESSAGES {
                sender.send(&peer, LinkChannel::Directory, payload.clone())?;
                messages.recv().await;
                tokio::time::sleep(PACE).await;
            }
            let counts = difference(sender.wire_counts(), before);
            Ok::<_, BenchError>((counts, start.elapsed()))
        })?;
        let each = f64::from(PACED_MESSAGES);
        println!(
            "paced messages={PACED_MESSAGES} payload_bytes={SMALL_BYTES} sent_bytes_each={:.1} sent_datagrams_each={:.2} \
             back_bytes_each={:.1} overhead_bytes_each={:.1} seconds={:.1}",
            counts.bytes_sent as f64 / each,
            counts.datagrams_sent as f64 / each,
            counts.bytes_received as f64 / each,
            (counts.bytes_sent + counts.bytes_received) as f64 / each - SMALL_BYTES as f64,
            elapsed.as_secs_f64(),
        );
        self.close(&[sender, receiver]);
        Ok(())
    }

    /// As many small messages as the link takes.
    fn flood(&self, span: Duration) -> Result<()> {
        let (sender, receiver) = self.pair("flood")?;
        let mut messages = receiver.subscribe(LinkChannel::Consensus);
        let counting = self.receiving.spawn(async move {
            let mut count = 0_u64;
            while messages.recv().await.is_some() {
                count += 1;
            }
            count
        });
        let peer = receiver.name().to_string();
        let payload = Bytes::from(vec![0; SMALL_BYTES]);
        let mark = ProcessorMark::now();
        let sending = self.sending.block_on(async {
            let mut accepted = 0_u64;
            while mark.at.elapsed() < span {
                match sender.send(&peer, LinkChannel::Consensus, payload.clone()) {
                    Ok(()) => accepted += 1,
                    Err(_) => tokio::time::sleep(Duration::from_micros(200)).await,
                }
            }
            accepted
        });
        let (cost, elapsed) = mark.until_now();
        let received = receiver.metrics().counts(LinkClass::Replication);
        self.close(&[sender, receiver.clone()]);
        drop(receiver);
        counting.abort();
        let arrived = received.messages_received + received.messages_dropped;
        let each = |time: Duration| time.as_secs_f64() * 1e6 / arrived as f64;
        println!(
            "flood payload_bytes={SMALL_BYTES} accepted_by_queue={sending} arrived_per_second={:.0} delivered_per_second={:.0} \
             sender_us_each={:.2} receiver_us_each={:.2}",
            arrived as f64 / elapsed.as_secs_f64(),
            received.messages_received as f64 / elapsed.as_secs_f64(),
            each(cost.0),
            each(cost.1),
        );
        Ok(())
    }

    /// Calls with a small request and answer.
    fn calls(&self, span: Duration) -> Result<()> {
        let (sender, receiver) = self.pair("calls")?;
        let mut calls = receiver.serve(LinkChannel::Control);
        self.receiving.spawn(async move {
            while let Some(call) = calls.recv().await {
                let payload = call.payload.clone();
                call.reply.answer(payload);
            }
        });
        let peer = receiver.name().to_string();
        let payload = Bytes::from(vec![0; SMALL_BYTES]);
        let mark = ProcessorMark::now();
        let times = self.sending.block_on(async {
            let mut callers = JoinSet::new();
            for _ in 0..CALLERS {
                let (sender, peer, payload) = (sender.clone(), peer.clone(), payload.clone());
                callers.spawn(async move {
                    let mut times = Vec::new();
                    let mut failures = 0_u64;
                    while mark.at.elapsed() < span {
                        let start = Instant::now();
                        let call =
                            sender.call(&peer, LinkChannel::Control, payload.clone(), CALL_TIMEOUT);
                        match call.await {
                            Ok(_) => times.push(start.elapsed()),
                            Err(_) => failures += 1,
                        }
                        tokio::time::sleep(PACE).await;
                    }
                    (times, failures)
                });
            }
            callers.join_all().await
        });
        let (cost, elapsed) = mark.until_now();
        let failures: u64 = times.iter().map(|(_, failures)| failures).sum();
        let mut times: Vec<Duration> = times.into_iter().flat_map(|(times, _)| times).collect();
        times.sort();
        let quantile = |share: f64| {
            let index = (times.len() as f64 * share) as usize;
            times
                .get(index)
                .map_or(f64::NAN, |time| time.as_secs_f64() * 1e3)
        };
        let each = |time: Duration| time.as_secs_f64() * 1e6 / times.len() as f64;
        println!(
            "calls callers={CALLERS} per_second={:.0} failures={failures} p50_ms={:.2} p99_ms={:.2} caller_us_each={:.1} server_us_each={:.1}",
            times.len() as f64 / elapsed.as_secs_f64(),
            quantile(0.5),
            quantile(0.99),
            each(cost.0),
            each(cost.1),
        );
        self.close(&[sender, receiver]);
        Ok(())
    }

    /// Many links on which nothing is said.
    fn idle(&self, span: Duration) -> Result<()> {
        let receiver = self.hub(&self.receiving, "idle-recv")?;
        let _calls = receiver.serve(LinkChannel::Control);
        let address = receiver.address()?;
        let peer = receiver.name().to_string();
        let mut senders = Vec::new();
        for index in 0..IDLE_LINKS {
            let sender = self.hub(&self.sending, &format!("idle-{index}"))?;
            sender.addresses().set(receiver.name().clone(), address);
            sender.send(&peer, LinkChannel::Directory, Bytes::from_static(b"hello"))?;
            senders.push(sender);
        }
        while receiver.connected_peers().len() < IDLE_LINKS {
            std::thread::sleep(PACE);
        }
        std::thread::sleep(span);
        let (mark, before) = (ProcessorMark::now(), receiver.wire_counts());
        // Long enough for several pings.
        std::thread::sleep(span * 4);
        let (cost, elapsed) = mark.until_now();
        let counts = difference(receiver.wire_counts(), before);
        let each = elapsed.as_secs_f64() * IDLE_LINKS as f64;
        println!(
            "idle links={IDLE_LINKS} dialler_bytes_per_second={:.1} acceptor_bytes_per_second={:.1} \
             dialler_us_per_second={:.1} acceptor_us_per_second={:.1} seconds={:.1}",
            counts.bytes_received as f64 / each,
            counts.bytes_sent as f64 / each,
            cost.0.as_secs_f64() * 1e6 / each,
            cost.1.as_secs_f64() * 1e6 / each,
            elapsed.as_secs_f64(),
        );
        senders.push(receiver);
        self.close(&senders);
        Ok(())
    }

    fn close(&self, hubs: &[LinkHub]) {
        for hub in hubs {
            self.sending.block_on(hub.close());
        }
    }
}

impl ProcessorMark {
    fn now() -> Self {
        Self {
            sender: processor_time::of_threads(SENDER),
            receiver: processor_time::of_threads(RECEIVER),
            at: Instant::now(),
        }
    }

    /// Processor time of both sides, and time on the wall, since the mark.
    fn until_now(self) -> ((Duration, Duration), Duration) {
        let now = Self::now();
        let cost = (now.sender - self.sender, now.receiver - self.receiver);
        (cost, now.at - self.at)
    }
}

fn runtime(name: &str) -> Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(1).thread_name(name).enable_all();
    builder.build().map_err(BenchError::Runtime)
}

fn difference(after: WireCounts, before: WireCounts) -> WireCounts {
    WireCounts {
        datagrams_sent: after.datagrams_sent - before.datagrams_sent,
        bytes_sent: after.bytes_sent - before.bytes_sent,
        datagrams_received: after.datagrams_received - before.datagrams_received,
        bytes_received: after.bytes_received - before.bytes_received,
    }
}
