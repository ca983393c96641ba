//! Measures the replicated log on this machine's disk; see
//! docs/measurements/consensus.md for the commands and the figures.

use std::error::Error;
use std::fs;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use savorywalk::consensus::{
    DriverOptions, NodeNumber, PeerLink, PeerMessage, ReplicaDriver, ReplicaHandle, ReplicaId,
    ReplicaOptions, ReplicaRole, ReplicatedMachine,
};
use savorywalk::storage::DataFolder;
use tokio::sync::mpsc;

type BenchResult<T> = Result<T, Box<dyn Error + Send + Sync>>;

const NAMES: [&str; 3] = ["control-1", "control-2", "control-3"];
const COMMAND_BYTES: usize = 128;
const RUN_TIME: Duration = Duration::from_secs(3);

/// A machine that only counts.
#[derive(Default)]
struct CountMachine {
    count: u64,
}

impl ReplicatedMachine for CountMachine {
    fn apply(&mut self, _index: u64, _command: &[u8]) -> Bytes {
        self.count += 1;
        Bytes::new()
    }

    fn snapshot(&self) -> Bytes {
        Bytes::copy_from_slice(&self.count.to_le_bytes())
    }

    fn restore(&mut self, state: &[u8]) -> Result<(), String> {
        let bytes = state.try_into().map_err(|_| "not a count".to_string())?;
        self.count = u64::from_le_bytes(bytes);
        Ok(())
    }
}

/// Carries messages within the process, each after the same delay.
struct DelayLink {
    from: NodeNumber,
    delay: Duration,
    board: Arc<DelayBoard>,
}

#[derive(Default)]
struct DelayBoard {
    peers: Mutex<Vec<(NodeNumber, mpsc::Sender<DelayedMessage>)>>,
    messages: AtomicU64,
    bytes: AtomicU64,
}

struct DelayedMessage {
    due: Instant,
    message: PeerMessage,
}

impl PeerLink for DelayLink {
    fn send(&self, to: ReplicaId, payload: Bytes) {
        self.board.messages.fetch_add(1, Ordering::Relaxed);
        let bytes = payload.len() as u64;
        self.board.bytes.fetch_add(bytes, Ordering::Relaxed);
        let Ok(peers) = self.board.peers.lock() else {
            return;
        };
        let peer = peers.iter().rev().find(|(node, _)| *node == to.node());
        if let Some((_, sender)) = peer {
            let from = self.from;
            let message = PeerMessage { from, payload };
            let due = Instant::now() + self.delay;
            let _lost = sender.try_send(DelayedMessage { due, message });
        }
    }
}

async fn carry(mut delayed: mpsc::Receiver<DelayedMessage>, inbound: mpsc::Sender<PeerMessage>) {
    while let Some(DelayedMessage { due, message }) = delayed.recv().await {
        if due > Instant::now() {
            tokio::time::sleep_until(due.into()).await;
        }
        if inbound.send(message).await.is_err() {
            break;
        }
    }
}

struct BenchCluster {
    place: tempfile::TempDir,
    delay: Duration,
    board: Arc<DelayBoard>,
    names: Vec<&'static str>,
    snapshot_entries: u64,
}

impl BenchCluster {
    fn new(names: &[&'static str], delay: Duration) -> BenchResult<Self> {
        Ok(Self {
            place: tempfile::tempdir()?,
            delay,
            board: Arc::default(),
            names: names.to_vec(),
            snapshot_entries: 10_000,
        })
    }

    async fn start(&self, node: usize, incarnation: u32) -> BenchResult<ReplicaHandle> {
        let name = self.names[node];
        let folder = DataFolder::open(&self.place.path().join(name), name, incarnation)?;
        let nodes = self.names.iter().map(|name| NodeNumber::from_name(name));
        let replica = ReplicaOptions::new(nodes.collect(), u64::from(incarnation));
        let mut options = DriverOptions::new(replica);
        options.snapshot_entries = self.snapshot_entries;
        let (sender, inbound) = mpsc::channel(4_096);
        let (delayed, carried) = mpsc::channel(4_096);
        tokio::spawn(carry(carried, sender));
        let from = NodeNumber::from_name(name);
        if let Ok(mut peers) = self.board.peers.lock() {
            peers.push((from, delayed));
        }
        let link = DelayLink {
            from,
            delay: self.delay,
            board: Arc::clone(&self.board),
        };
        let machine = CountMachine::default();
        let id = folder.id;
        Ok(ReplicaDriver::start(id, options, folder, machine, link, inbound).await?)
    }

    async fn start_all(&self) -> BenchResult<Vec<ReplicaHandle>> {
        let mut handles = Vec::new();
        for node in 0..self.names.len() {
            handles.push(self.start(node, node as u32 + 1).await?);
        }
        Ok(handles)
    }
}

/// The handle that leads and takes commands.
async fn leader_of(handles: &[ReplicaHandle]) -> usize {
    loop {
        for (place, handle) in handles.iter().enumerate() {
            let is_leader = handle.status().role == ReplicaRole::Leader;
            if is_leader && handle.propose(command()).await.is_ok() {
                return place;
            }
        }
        tokio::time::sleep(Duration::from_micros(200)).await;
    }
}

fn command() -> Bytes {
    Bytes::from(vec![7; COMMAND_BYTES])
}

fn quantile(sorted: &[Duration], quantile: f64) -> Duration {
    let last = sorted.len().saturating_sub(1);
    let place = (last as f64 * quantile) as usize;
    sorted.get(place).copied().unwrap_or_default()
}

/// Proposes from `callers` at once for a while; prints rate and latency.
async fn load(name: &str, delay: Duration, callers: usize) -> BenchResult<()> {
    let cluster = BenchCluster::new(&NAMES, delay)?;
    let handles = cluster.start_all().await?;
    let leader = handles[leader_of(&handles).await].clone();
    let start = Instant::now();
    let tasks = (0..callers).map(|_| tokio::spawn(call_until(leader.clone(), start + RUN_TIME)));
    let tasks: Vec<_> = tasks.collect();
    let mut latencies = Vec::new();
    let mut failed = 0;
    for task in tasks {
        let (times, errors) = task.await?;
        latencies.extend(times);
        failed += errors;
    }
    let seconds = start.elapsed().as_secs_f64();
    latencies.sort_unstable();
    println!(
        "{name} delay_ms={:.1} callers={callers} proposals_per_s={:.0} p50_ms={:.2} p99_ms={:.2} failed={failed}",
        delay.as_secs_f64() * 1e3,
        latencies.len() as f64 / seconds,
        quantile(&latencies, 0.50).as_secs_f64() * 1e3,
        quantile(&latencies, 0.99).as_secs_f64() * 1e3,
    );
    Ok(())
}

async fn call_until(handle: ReplicaHandle, end: Instant) -> (Vec<Duration>, usize) {
    let mut times = Vec::new();
    let mut errors = 0;
    while Instant::now() < end {
        let start = Instant::now();
        match handle.propose(command()).await {
            Ok(_) => times.push(start.elapsed()),
            Err(_) => errors += 1,
        }
    }
    (times, errors)
}

/// Kills the leader again and again; prints the time to the next commit.
async fn failover(rounds: u32) -> BenchResult<()> {
    let cluster = BenchCluster::new(&NAMES, Duration::from_micros(1_500))?;
    let mut handles = cluster.start_all().await?;
    let mut times = Vec::new();
    for round in 0..rounds {
        let leader = leader_of(&handles).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        let start = Instant::now();
        let killed = handles.remove(leader);
        let mut status = killed.watch_status();
        let id = status.borrow().id;
        drop(killed);
        leader_of(&handles).await;
        times.push(start.elapsed());
        while status.changed().await.is_ok() {}
        let names = cluster.names.iter();
        let numbers: Vec<_> = names.map(|name| NodeNumber::from_name(name)).collect();
        let node = numbers.iter().position(|number| *number == id.node());
        let node = node.ok_or("the killed node is not known")?;
        handles.push(cluster.start(node, 10 + round).await?);
    }
    times.sort_unstable();
    println!(
        "failover rounds={rounds} p50_ms={:.0} max_ms={:.0}",
        quantile(&times, 0.5).as_secs_f64() * 1e3,
        quantile(&times, 1.0).as_secs_f64() * 1e3,
    );
    Ok(())
}

/// Fills a log without snapshots; prints how long a start takes to read it.
async fn restart(entries: usize) -> BenchResult<()> {
    let mut cluster = BenchCluster::new(&NAMES[..1], Duration::ZERO)?;
    cluster.snapshot_entries = u64::MAX;
    let handles = cluster.start_all().await?;
    leader_of(&handles).await;
    let handle = &handles[0];
    let mut left = entries;
    while left > 0 {
        let batch = left.min(5_000);
        let calls = (0..batch).map(|_| handle.propose(command()));
        let outcomes = futures::future::join_all(calls).await;
        left -= outcomes.iter().filter(|outcome| outcome.is_ok()).count();
    }
    handle.stop().await;
    drop(handles);
    let start = Instant::now();
    let handle = cluster.start(0, 9).await?;
    let read = start.elapsed();
    leader_of(std::slice::from_ref(&handle)).await;
    let ready_time = start.elapsed();
    let applied = handle.read_barrier().await?;
    println!(
        "restart entries={entries} read_ms={:.1} ready_ms={:.1} applied={applied}",
        read.as_secs_f64() * 1e3,
        ready_time.as_secs_f64() * 1e3,
    );
    Ok(())
}

/// Lets three replicas stand idle; prints processor time and messages.
async fn idle() -> BenchResult<()> {
    let cluster = BenchCluster::new(&NAMES, Duration::from_micros(1_500))?;
    let handles = cluster.start_all().await?;
    leader_of(&handles).await;
    let before = (cpu_ticks()?, cluster.board.messages.load(Ordering::Relaxed));
    let bytes = cluster.board.bytes.load(Ordering::Relaxed);
    let time = Duration::from_secs(10);
    tokio::time::sleep(time).await;
    let ticks = cpu_ticks()? - before.0;
    let messages = cluster.board.messages.load(Ordering::Relaxed) - before.1;
    let bytes = cluster.board.bytes.load(Ordering::Relaxed) - bytes;
    let seconds = time.as_secs_f64();
    println!(
        "idle replicas=3 cpu_percent_each={:.2} messages_per_s={:.0} bytes_per_s={:.0}",
        ticks as f64 / seconds / 3.0,
        messages as f64 / seconds,
        bytes as f64 / seconds,
    );
    Ok(())
}

/// Processor time of this process in hundredths of a second.
fn cpu_ticks() -> BenchResult<u64> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let mut fields = fields.split_whitespace().skip(11);
    let mut next = || -> BenchResult<u64> { Ok(fields.next().ok_or("no field")?.parse()?) };
    Ok(next()? + next()?)
}

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> BenchResult<()> {
    let delay = Duration::from_micros(1_500);
    for callers in [1, 64, 512] {
        load("load", Duration::ZERO, callers).await?;
        load("load", delay, callers).await?;
    }
    failover(10).await?;
    restart(500).await?;
    restart(50_000).await?;
    idle().await
}
