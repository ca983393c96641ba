//! A small deployment of the project's daemons as separate processes on loopback addresses.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;

pub const CALL_PORT: u16 = 8625;
pub const READY_PORT: u16 = 8621;
pub const LINK_PORT: u16 = 7740;
const ZONES: [&str; 3] = ["bole", "kality", "piassa"];

/// Lines of `record.txt`, with the time since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self {
            file: Mutex::new(file),
            start: Instant::now(),
        }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3}  {text}", self.now());
    }
}

/// A pseudo-random number for addresses and names.
pub fn random() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let mut x = now.as_nanos() as u64 ^ (u64::from(std::process::id()) << 32);
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    x
}

/// A loopback network whose addresses are free.
pub fn free_network() -> [u8; 3] {
    for attempt in 0..200u64 {
        let seed = random().wrapping_add(attempt.wrapping_mul(0x9e37_79b9));
        let net = [127, 20 + (seed % 200) as u8, 1 + ((seed >> 16) % 250) as u8];
        let is_free = |last: u8| {
            let ip = Ipv4Addr::new(net[0], net[1], net[2], last);
            [CALL_PORT, READY_PORT]
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        };
        if (1..40).all(is_free) {
            return net;
        }
    }
    panic!("no free loopback network");
}

struct Daemon {
    name: String,
    ip: Ipv4Addr,
    is_core: bool,
    zone: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

/// Registries and gateways, started with the command of the deploy file.
pub struct Fleet {
    root: PathBuf,
    pub folder: PathBuf,
    pub net: [u8; 3],
    daemons: Vec<Daemon>,
    pub cores: usize,
    pub fronts: usize,
}

impl Fleet {
    pub fn new(root: &Path, cores: usize, fronts: usize) -> Self {
        let net = free_network();
        let folder = std::env::temp_dir().join(format!("savorywalk-review-{:x}", random()));
        fs::create_dir_all(&folder).unwrap();
        let mut daemons = Vec::new();
        for index in 0..cores + fronts {
            let is_core = index < cores;
            let number = if is_core {
                index + 1
            } else {
                index - cores + 1
            };
            let class = if is_core { "core" } else { "front" };
            let last = if is_core {
                number as u8
            } else {
                10 + number as u8
            };
            let zone = ZONES[(number - 1) % ZONES.len()];
            let name = format!("{class}-{zone}-{number}");
            daemons.push(Daemon {
                ip: Ipv4Addr::new(net[0], net[1], net[2], last),
                settings: folder.join(format!("{name}.ini")),
                name,
                is_core,
                zone,
                child: None,
            });
        }
        Self {
            root: root.to_path_buf(),
            folder,
            net,
            daemons,
            cores,
            fronts,
        }
    }

    /// Fills in a template of the deploy file, as the platform does.
    fn write_settings(&self, daemon: &Daemon, first_start: bool) {
        let template = if daemon.is_core {
            "registry.ini"
        } else {
            "gateway.ini"
        };
        let text = fs::read_to_string(self.root.join("deploy").join(template)).unwrap();
        let zones: Vec<String> = ZONES.iter().map(|zone| format!("{zone}:addis")).collect();
        // At the first start the first three; later, three of the list as it is then.
        let listed = self
            .daemons
            .iter()
            .filter(|known| known.is_core && (first_start || known.child.is_some()));
        let seeds: Vec<String> = listed
            .take(3)
            .map(|seed| format!("{}:{CALL_PORT}", seed.ip))
            .collect();
        let data = self.folder.join(format!("data-{}", daemon.name));
        if daemon.is_core {
            fs::create_dir_all(&data).unwrap();
        }
        let mut values: HashMap<&str, String> = HashMap::new();
        values.insert("nodeName", daemon.name.clone());
        values.insert("zone", daemon.zone.into());
        values.insert("region", "addis".into());
        values.insert("ip", daemon.ip.to_string());
        values.insert("internalPorts.0", LINK_PORT.to_string());
        values.insert("seeds", seeds.join(","));
        values.insert("bootstrap", first_start.to_string());
        values.insert("listen.front", format!("{}:{CALL_PORT}", daemon.ip));
        values.insert("listen.readyAddress", format!("{}:{READY_PORT}", daemon.ip));
        values.insert("listen.control", format!("{}:{CALL_PORT}", daemon.ip));
        values.insert("dataDir", data.display().to_string());
        values.insert("bounds.revokeMs", "5000".into());
        values.insert("bounds.retryBudgetRatio", "0.2".into());
        values.insert("bounds.retryExtra", "52".into());
        values.insert("bounds.retryWindowS", "10".into());
        values.insert("bounds.graceS", "8".into());
        values.insert("heartbeatMs", "1200".into());
        let contracts = "base,drain,config,cost,retry,recover,engine,stream,tenants,stages";
        values.insert("contracts", contracts.into());
        values.insert("limits.cpuShare", "0.25".into());
        let section = "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}";
        let mut rest = text.replace(section, &zones.join(","));
        let mut filled = String::new();
        while let Some((before, after)) = rest.split_once("{{") {
            let (name, after) = after.split_once("}}").unwrap();
            filled.push_str(before);
            filled.push_str(values.get(name).map_or("", String::as_str));
            rest = after.to_string();
        }
        filled.push_str(&rest);
        fs::write(&daemon.settings, filled).unwrap();
    }

    fn start_at(&mut self, index: usize, first_start: bool) {
        self.write_settings(&self.daemons[index], first_start);
        let daemon = &self.daemons[index];
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", daemon.name)))
            .unwrap();
        let child = Command::new(self.root.join("target/release/savorywalk"))
            .args(["serve", "--settings"])
            .arg(&daemon.settings)
            .current_dir(&self.root)
            .env_remove("RUST_LOG")
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.daemons[index].child = Some(child),
            Err(error) => cannot_run(&format!("savorywalk can't be started: {error}")),
        }
    }

    /// Removes a machine for good: its process is killed and not started again.
    pub fn remove(&mut self, index: usize) {
        if let Some(child) = &mut self.daemons[index].child {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.daemons[index].child = None;
    }

    /// Adds a machine of the core with an empty disk at a new address.
    pub fn add_core(&mut self) -> usize {
        let number = self.daemons.iter().filter(|daemon| daemon.is_core).count() + 1;
        let zone = ZONES[(number - 1) % ZONES.len()];
        let name = format!("core-{zone}-{number}");
        let net = self.net;
        self.daemons.push(Daemon {
            // Addresses 1 to 9 and 30 to 39 are for the core.
            ip: Ipv4Addr::new(net[0], net[1], net[2], 30 + number as u8 - self.cores as u8),
            settings: self.folder.join(format!("{name}.ini")),
            name,
            is_core: true,
            zone,
            child: None,
        });
        let index = self.daemons.len() - 1;
        self.start_at(index, false);
        index
    }

    /// Indexes of the machines of the core that have not been removed.
    pub fn core_indexes(&self) -> Vec<usize> {
        let indexes = 0..self.daemons.len();
        indexes
            .filter(|index| self.daemons[*index].is_core && self.daemons[*index].child.is_some())
            .collect()
    }

    /// The machine of the core that leads, by the newest line of its log.
    pub fn leader(&self) -> Option<usize> {
        let mut newest: Option<(u64, String)> = None;
        for index in self.core_indexes() {
            for line in self
                .log_of(index)
                .lines()
                .filter(|line| line.contains("event=leader_changed"))
            {
                let field = |name: &str| {
                    line.split(' ')
                        .find_map(|word| word.strip_prefix(name))
                        .map(String::from)
                };
                let (Some(leader), Some(term)) = (field("leader="), field("term=")) else {
                    continue;
                };
                let term = term.parse().unwrap_or(0);
                if leader != "none" && newest.as_ref().is_none_or(|(known, _)| term > *known) {
                    newest = Some((term, leader));
                }
            }
        }
        let ip = newest?.1.replace('-', ".");
        self.core_indexes()
            .into_iter()
            .find(|index| self.daemons[*index].ip.to_string() == ip)
    }

    pub fn start_all(&mut self) {
        for index in 0..self.daemons.len() {
            self.start_at(index, true);
        }
    }

    /// Starts a process again that has ended.
    pub fn restart(&mut self, index: usize) {
        self.wait_ended(index, Duration::from_secs(10));
        self.start_at(index, false);
    }

    pub fn front_index(&self, front: usize) -> usize {
        self.cores + front
    }

    pub fn signal(&self, index: usize, signal: &str) {
        if let Some(child) = &self.daemons[index].child {
            let _ = Command::new("kill")
                .args([signal, &child.id().to_string()])
                .status();
        }
    }

    /// Waits until a process has ended; returns whether it has.
    pub fn wait_ended(&mut self, index: usize, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        let Some(child) = &mut self.daemons[index].child else {
            return true;
        };
        while Instant::now() < deadline {
            if let Ok(Some(_)) = child.try_wait() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    pub fn is_running(&mut self, index: usize) -> bool {
        match &mut self.daemons[index].child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }

    pub fn name(&self, index: usize) -> &str {
        &self.daemons[index].name
    }

    pub fn front(&self, front: usize) -> SocketAddr {
        (self.daemons[self.cores + front].ip, CALL_PORT).into()
    }

    pub fn ready_address(&self, front: usize) -> SocketAddr {
        (self.daemons[self.cores + front].ip, READY_PORT).into()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.core_indexes()
            .into_iter()
            .map(|index| (self.daemons[index].ip, CALL_PORT).into())
            .collect()
    }

    /// Address for a stand-in of a worker.
    pub fn worker_ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(self.net[0], self.net[1], self.net[2], 100 + number)
    }

    pub fn log_of(&self, index: usize) -> String {
        let path = self
            .folder
            .join(format!("{}.log", self.daemons[index].name));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Sends a manifest as the operator does, until a daemon acknowledges it. Returns false if
    /// it is refused or none acknowledges it.
    pub fn publish(&self, manifest: &str, record: &Record) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            for control in self.controls() {
                let answer = http::call(
                    control,
                    "POST",
                    "/config/put",
                    &[],
                    manifest.as_bytes(),
                    Duration::from_secs(1),
                );
                match answer {
                    Some(answer) if answer.status == 200 => return true,
                    Some(answer) if [400, 409, 412, 413, 422].contains(&answer.status) => {
                        let text = String::from_utf8_lossy(&answer.body).to_string();
                        record.line(&format!("manifest refused: {} {text}", answer.status));
                        return false;
                    }
                    Some(_) | None => {}
                }
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Waits until all fronts say that they are ready.
    pub fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(30);
        while Instant::now() < deadline {
            let is_ready = |front| {
                let answer = http::call(
                    self.ready_address(front),
                    "GET",
                    "/ready",
                    &[],
                    b"",
                    Duration::from_secs(1),
                );
                answer.is_some_and(|answer| answer.status == 200)
            };
            if (0..self.fronts).all(is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            if let Some(child) = &mut daemon.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Ends a case that can't run; `main` turns this into exit code 2 once all processes have ended.
pub fn cannot_run(reason: &str) -> ! {
    panic!("the case could not run: {reason}")
}
