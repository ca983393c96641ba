//! A stand-in for the users' platform: it fills in the templates of the deploy file, starts each
//! daemon on a loopback address of its own, holds each to its memory, and restarts it after it ended.

use std::fs::{self, File};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const CONTROL_PORT: u16 = 8628;
pub const FRONT_PORT: u16 = 8625;
pub const READY_PORT: u16 = 8621;
const LINK_PORT: u16 = 7740;
const ZONES: [&str; 3] = ["bole", "kality", "piassa"];

/// Processes that run now, for a case that ends before its time.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all daemons that this program has started.
pub fn kill_all() {
    let running = RUNNING.lock().unwrap_or_else(|poison| poison.into_inner());
    for id in running.iter() {
        let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
    }
}

/// Delay before a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Gateway,
    Registry,
}

/// One process that has ended by itself, and when.
pub struct OwnEnd {
    pub node: String,
    pub at: Instant,
    pub memory_mb: u64,
    /// Last line that the process wrote.
    pub last_line: String,
}

pub struct Node {
    pub name: String,
    pub role: Role,
    pub ip: String,
    memory_mb: u64,
    seeds: String,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    peak_mb: Mutex<u64>,
}

pub struct Platform {
    pub net: String,
    pub folder: PathBuf,
    pub nodes: Vec<Arc<Node>>,
    pub ends: Arc<Mutex<Vec<OwnEnd>>>,
    stopping: Arc<AtomicBool>,
}

impl Node {
    /// Writes the settings in effect. It is called before a start only, so that no process reads a
    /// file that is half written.
    fn render(&self, top: &Path, first_start: bool) {
        let template = match self.role {
            Role::Gateway => "deploy/gateway.ini",
            Role::Registry => "deploy/registry.ini",
        };
        let mut text = fs::read_to_string(top.join(template)).expect("the template");
        let zone = ZONES[self.name.bytes().last().unwrap_or(b'1') as usize % ZONES.len()];
        let zones = "bole:addis,kality:addis,piassa:addis";
        let data = self.settings.with_extension("data");
        let fields = [
            ("{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", zones.to_string()),
            ("{{nodeName}}", self.name.clone()),
            ("{{zone}}", zone.to_string()),
            ("{{region}}", "addis".to_string()),
            ("{{ip}}", self.ip.clone()),
            ("{{internalPorts.0}}", LINK_PORT.to_string()),
            ("{{seeds}}", self.seeds.clone()),
            ("{{bootstrap}}", first_start.to_string()),
            ("{{listen.front}}", format!("{}:{FRONT_PORT}", self.ip)),
            ("{{listen.readyAddress}}", format!("{}:{READY_PORT}", self.ip)),
            ("{{listen.control}}", format!("{}:{CONTROL_PORT}", self.ip)),
            ("{{bounds.revokeMs}}", "5000".to_string()),
            ("{{bounds.retryBudgetRatio}}", "0.2".to_string()),
            ("{{bounds.retryExtra}}", "52".to_string()),
            ("{{bounds.retryWindowS}}", "10".to_string()),
            ("{{bounds.graceS}}", "8".to_string()),
            ("{{bounds.coldOverage}}", String::new()),
            ("{{bounds.coldSlack}}", String::new()),
            ("{{heartbeatMs}}", "1200".to_string()),
            (
                "{{contracts}}",
                "base,drain,config,cost,retry,recover,engine,stream,tenants,stages".to_string(),
            ),
            ("{{limits.cpuShare}}", "0.25".to_string()),
            ("{{dataDir}}", data.display().to_string()),
        ];
        for (name, value) in fields {
            text = text.replace(name, &value);
        }
        assert!(!text.contains("{{"), "a placeholder is left: {text}");
        fs::write(&self.settings, text).expect("the settings");
    }

    fn start(&self, top: &Path) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log");
        let child = Command::new("target/release/savorywalk")
            .args(["serve", "--settings"])
            .arg(&self.settings)
            .current_dir(top)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log"))
            .stderr(log)
            .spawn();
        let child = child.expect("the program of the deploy file");
        RUNNING.lock().unwrap().push(child.id());
        *self.child.lock().unwrap() = Some(child);
    }

    /// Memory that the process has written, in MB; pages of files do not count.
    fn used_mb(&self) -> Option<u64> {
        let id = self.child.lock().unwrap().as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
        let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1024)
    }

    pub fn peak_mb(&self) -> u64 {
        *self.peak_mb.lock().unwrap()
    }

    fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Platform {
    /// Starts the daemons of a small deployment, all at the same moment.
    pub fn start(top: &Path, registries: usize, gateways: usize) -> Self {
        let net = free_net();
        let folder = std::env::temp_dir().join(format!("savorywalk-case-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let seeds: Vec<String> = (1..=3).map(|host| format!("{net}.{host}:{LINK_PORT}")).collect();
        let seeds = seeds.join(",");
        let new = |role, name: String, host: usize, memory_mb| {
            Arc::new(Node {
                settings: folder.join(format!("{name}.ini")),
                log: folder.join(format!("{name}.log")),
                ip: format!("{net}.{host}"),
                name,
                role,
                memory_mb,
                seeds: seeds.clone(),
                child: Mutex::default(),
                peak_mb: Mutex::default(),
            })
        };
        let mut nodes = Vec::new();
        for index in 1..=registries {
            nodes.push(new(Role::Registry, format!("core-{index}"), index, 256));
        }
        for index in 1..=gateways {
            nodes.push(new(Role::Gateway, format!("front-{index}"), 100 + index, 260));
        }
        let ends = Arc::new(Mutex::new(Vec::new()));
        let stopping = Arc::new(AtomicBool::new(false));
        for node in &nodes {
            node.render(top, true);
            node.start(top);
        }
        for node in &nodes {
            let (node, top, ends) = (Arc::clone(node), top.to_path_buf(), Arc::clone(&ends));
            let stopping = Arc::clone(&stopping);
            thread::spawn(move || watch(&node, &top, &ends, &stopping));
        }
        Self { net, folder, nodes, ends, stopping }
    }

    pub fn of(&self, role: Role) -> Vec<Arc<Node>> {
        let nodes = self.nodes.iter().filter(|node| node.role == role);
        nodes.cloned().collect()
    }

    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(100));
        for _ in 0..2 {
            self.nodes.iter().for_each(|node| node.kill());
            thread::sleep(RESTART_DELAY / 2);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Kills a process that uses more than its memory, and starts each that has ended again.
fn watch(node: &Node, top: &Path, ends: &Mutex<Vec<OwnEnd>>, stopping: &AtomicBool) {
    while !stopping.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(20));
        let used = node.used_mb().unwrap_or(0);
        {
            let mut peak = node.peak_mb.lock().unwrap();
            *peak = (*peak).max(used);
        }
        if used <= node.memory_mb && !node.has_ended() {
            continue;
        }
        if stopping.load(Ordering::SeqCst) {
            return;
        }
        node.kill();
        let log = fs::read(&node.log).unwrap_or_default();
        let log = String::from_utf8_lossy(&log).trim_end().to_string();
        ends.lock().unwrap().push(OwnEnd {
            last_line: log.lines().last().unwrap_or_default().to_string(),
            node: node.name.clone(),
            at: Instant::now(),
            memory_mb: used,
        });
        thread::sleep(RESTART_DELAY);
        if !stopping.load(Ordering::SeqCst) {
            // A later start is no first start of the whole system.
            node.render(top, false);
            node.start(top);
        }
    }
}

/// A loopback network in which the ports of all daemons are free.
fn free_net() -> String {
    for attempt in 0..200_u32 {
        let number = std::process::id().wrapping_mul(31).wrapping_add(attempt * 7);
        let net = format!("127.{}.{}", 20 + number % 200, number / 200 % 250);
        let is_free = |host: u32| {
            let ports = [CONTROL_PORT, FRONT_PORT, READY_PORT];
            let mut listeners = ports.iter();
            listeners.all(|port| TcpListener::bind((format!("{net}.{host}"), *port)).is_ok())
        };
        if [1, 2, 3, 4, 5, 101, 102, 103, 104, 105, 106].into_iter().all(is_free) {
            return net;
        }
    }
    panic!("no free loopback network");
}
