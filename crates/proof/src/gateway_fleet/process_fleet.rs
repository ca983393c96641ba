use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

use nix::sys::signal::Signal;
use savorywalk::prelude::*;

use super::{Result, call_once};
use crate::SignalledProcess;

/// Ports of each daemon, at an address of its own.
const CLUSTER_PORT: u16 = 7_003;
const FIRST_PORT: u16 = 7_001;
const PROBE_PORT: u16 = 7_002;

/// Last octets of the addresses of the registries and of the gateways.
const FIRST_REGISTRY: u8 = 1;
const FIRST_GATEWAY: u8 = 10;

/// Last octets of the addresses of further registries, and of those that replace others.
const FIRST_SUCCESSOR: u8 = 211;
const LAST_SUCCESSOR: u8 = 249;

/// Number of registries that a daemon is told.
const SEEDS: usize = 3;

/// Usual time within which a gateway that is asked to stop ends, in milliseconds.
pub(crate) const STOP_TIME_MS: u64 = 3_000;

/// Longest wait for a condition, and the interval between two checks of it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Sizes and settings of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetPlan {
    pub(crate) registries: usize,
    pub(crate) gateways: usize,
    /// Retries allowed for each request, those allowed beside, and the window of both in
    /// milliseconds.
    pub(crate) retry_share: f64,
    pub(crate) retry_extra: f64,
    pub(crate) retry_window_ms: u64,
    /// Time within which a gateway that is asked to stop ends, in milliseconds.
    pub(crate) stop_time_ms: u64,
    /// Level of the daemons' logs.
    pub(crate) log_level: &'static str,
    /// Lines of the section `limits` of all daemons.
    pub(crate) limits: &'static str,
}

impl FleetPlan {
    /// A fleet with few retries, a short time to stop and a log of its decisions.
    pub(crate) fn new(registries: usize, gateways: usize) -> Self {
        Self {
            registries,
            gateways,
            retry_share: 0.2,
            retry_extra: 20.0,
            retry_window_ms: 2_000,
            stop_time_ms: STOP_TIME_MS,
            log_level: "info",
            limits: "",
        }
    }
}

/// Processes of a deployment: registries, then gateways.
pub(crate) struct ProcessFleet {
    program: PathBuf,
    folder: PathBuf,
    base: Ipv4Addr,
    plan: FleetPlan,
    /// Program of every second gateway, in place of the usual one.
    earlier_program: Option<PathBuf>,
    processes: Vec<Option<SignalledProcess>>,
    has_started: Vec<bool>,
    /// Address of each process.
    hosts: Vec<Ipv4Addr>,
    /// Last octet of the next registry that replaces another one.
    next_successor: u8,
    /// Whether the registries have founded their cluster.
    is_founded: bool,
}

impl ProcessFleet {
    /// A fleet of which no process runs, at addresses of the network of `base`.
    pub(crate) fn new(program: &Path, folder: &Path, base: Ipv4Addr, plan: FleetPlan) -> Self {
        let count = plan.registries + plan.gateways;
        let further = plan
            .registries
            .saturating_sub(usize::from(FIRST_GATEWAY - FIRST_REGISTRY));
        let hosts = (0..count).map(|index| first_host(base, plan.registries, index));
        Self {
            hosts: hosts.collect(),
            next_successor: FIRST_SUCCESSOR + further as u8,
            is_founded: false,
            program: program.to_path_buf(),
            folder: folder.to_path_buf(),
            base,
            plan,
            earlier_program: None,
            processes: (0..count).map(|_| None).collect(),
            has_started: vec![false; count],
        }
    }

    /// Runs every second gateway with the program of an earlier version.
    pub(crate) fn mix_versions(&mut self, earlier_program: Option<PathBuf>) {
        self.earlier_program = earlier_program;
    }

    fn program(&self, index: usize) -> &Path {
        let is_second = index
            .checked_sub(self.plan.registries)
            .is_some_and(|gateway| !gateway.is_multiple_of(2));
        match &self.earlier_program {
            Some(program) if is_second => program,
            Some(_) | None => &self.program,
        }
    }

    /// Starts the processes that don't run, and returns their positions.
    pub(crate) async fn start_stopped(&mut self) -> Result<Vec<usize>> {
        let mut started = Vec::new();
        for index in 0..self.processes.len() {
            if !self.is_running(index) {
                self.start_at(index)?;
                started.push(index);
            }
        }
        Ok(started)
    }

    /// Starts the process at `index`.
    pub(crate) fn start_at(&mut self, index: usize) -> Result<()> {
        let settings = self.settings(index)?;
        let name = format!("daemon-{index}");
        let program = self.program(index);
        let process = SignalledProcess::start(program, &self.folder, &name, &settings)?;
        self.processes[index] = Some(process);
        self.has_started[index] = true;
        Ok(())
    }

    /// Whether the process at `index` runs.
    pub(crate) fn is_running(&mut self, index: usize) -> bool {
        let process = self.processes[index].as_mut();
        process.is_some_and(SignalledProcess::is_running)
    }

    /// Records that the cluster is founded, so that registries that start later join it.
    pub(crate) fn set_founded(&mut self) {
        self.is_founded = true;
    }

    /// Starts a registry with an empty disk at a new address, at a position where none runs.
    /// Returns false if there is no further address.
    pub(crate) fn start_successor(&mut self, index: usize) -> Result<bool> {
        if self.next_successor > LAST_SUCCESSOR {
            return Ok(false);
        }
        let [first, second, third, _] = self.base.octets();
        self.hosts[index] = Ipv4Addr::new(first, second, third, self.next_successor);
        self.next_successor += 1;
        self.start_at(index)?;
        Ok(true)
    }

    /// Position of the registry that leads, by the newest line of the logs.
    pub(crate) fn find_leader(&self) -> Option<usize> {
        let mut newest: Option<(u64, usize)> = None;
        for index in 0..self.plan.registries {
            let path = self.folder.join(format!("daemon-{index}.log"));
            let log = std::fs::read_to_string(path).unwrap_or_default();
            let own = format!("replica={:08x}.", u32::from(self.hosts[index]));
            let elections = log
                .lines()
                .filter(|line| line.contains("event=replica_leads"));
            for line in elections.filter(|line| line.contains(&own)) {
                let mut words = line.split(' ');
                let term = words.find_map(|word| word.strip_prefix("term=")?.parse().ok());
                newest = newest.max(term.map(|term| (term, index)));
            }
        }
        newest.map(|(_, index)| index)
    }

    /// Largest memory that the process at `index` has had, in bytes; `None` if it does not run.
    pub(crate) fn peak_memory(&self, index: usize) -> Option<u64> {
        let id = self.processes[index].as_ref()?.id()?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kilobytes: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
        Some(kilobytes << 10)
    }

    /// Id of the process at `index`; `None` if it does not run.
    pub(crate) fn process_id(&self, index: usize) -> Option<u32> {
        self.processes[index].as_ref()?.id()
    }

    /// Kills all processes, and waits until they have ended.
    pub(crate) async fn end(self) -> Result<()> {
        for process in self.processes.into_iter().flatten() {
            process.kill().await?;
        }
        Ok(())
    }

    pub(crate) fn len(&self) -> usize {
        self.processes.len()
    }

    /// Sends a signal to the process at `index`, if it runs.
    pub(crate) fn signal(&mut self, index: usize, signal: Signal) -> Result<()> {
        let Some(process) = &mut self.processes[index] else {
            return Ok(());
        };
        match process.is_running() {
            true => process.signal(signal),
            false => Ok(()),
        }
    }

    /// Kills the process at `index`, and waits until it has ended.
    pub(crate) async fn kill(&mut self, index: usize) -> Result<()> {
        match self.processes[index].take() {
            Some(process) => process.kill().await,
            None => Ok(()),
        }
    }

    /// Addresses at which registries take calls.
    pub(crate) fn registries(&self) -> Vec<SocketAddr> {
        let indexes = 0..self.plan.registries;
        indexes
            .map(|index| SocketAddr::from((self.ip(index), FIRST_PORT)))
            .collect()
    }

    /// Addresses at which gateways take requests.
    pub(crate) fn gateways(&self) -> Vec<SocketAddr> {
        let indexes = self.plan.registries..self.processes.len();
        indexes
            .map(|index| SocketAddr::from((self.ip(index), FIRST_PORT)))
            .collect()
    }

    /// Addresses at which gateways take probes.
    pub(crate) fn probes(&self) -> Vec<SocketAddr> {
        let gateways = self.gateways().into_iter();
        gateways
            .map(|gateway| SocketAddr::new(gateway.ip(), PROBE_PORT))
            .collect()
    }

    fn ip(&self, index: usize) -> Ipv4Addr {
        self.hosts[index]
    }

    fn settings(&self, index: usize) -> Result<String> {
        let ip = self.ip(index);
        let is_seed = |registry: &usize| !self.is_founded || self.processes[*registry].is_some();
        let seeds = (0..self.plan.registries).filter(is_seed);
        let seeds = seeds.map(|registry| format!("{}:{CLUSTER_PORT}", self.ip(registry)));
        let seeds: Vec<String> = seeds.take(SEEDS).collect();
        let is_new = index < self.plan.registries && !self.has_started[index];
        let first_start = is_new && !self.is_founded;
        let role = match index < self.plan.registries {
            true => {
                let data = self.folder.join(format!("data-{ip}"));
                std::fs::create_dir_all(&data)?;
                format!(
                    "[registry]\naddress = {ip}:{FIRST_PORT}\ndata_folder = {}\n\
                     announce_interval_ms = 1200\n",
                    data.display()
                )
            }
            false => format!(
                "[gateway]\ncallers = {ip}:{FIRST_PORT}\nprobes = {ip}:{PROBE_PORT}\n\
                 key_bound_ms = 600000\nretry_share = {}\nretry_extra = {}\n\
                 retry_window_ms = {}\nstop_time_ms = {}\nannounce_interval_ms = 1200\n",
                self.plan.retry_share,
                self.plan.retry_extra,
                self.plan.retry_window_ms,
                self.plan.stop_time_ms
            ),
        };
        let kind = match index < self.plan.registries {
            true => "registry",
            false => "gateway",
        };
        Ok(format!(
            "[node]\nname = {kind}-{index}\ndata_center = z\nregion = north\nroles = {kind}\n\
             [cluster]\naddress = {ip}:{CLUSTER_PORT}\nseeds = {}\nfirst_start = {first_start}\n\
             data_centers = z:north\n{role}[limits]\n{}[log]\nlevel = {}\n",
            seeds.join(","),
            self.plan.limits,
            self.plan.log_level
        ))
    }

    /// Sends a document to the registries until one accepts it; false if none does.
    pub(crate) async fn publish(&self, document: &str) -> bool {
        wait_until(async || {
            for registry in self.registries() {
                let answer = call_once(registry, "POST /config/put", document).await;
                if answer.is_some_and(|answer| answer.status == 200) {
                    return true;
                }
            }
            false
        })
        .await
    }

    /// Sum of a counter over all gateways that answer and all its labels that contain `label`.
    pub(crate) async fn sum_metric(&self, name: &str, label: &str) -> f64 {
        let mut sum = 0.0;
        for gateway in self.gateways() {
            let probes = SocketAddr::new(gateway.ip(), PROBE_PORT);
            let answer = call_once(probes, "GET /metrics", "").await;
            let page = answer.map(|answer| answer.body).unwrap_or_default();
            let lines = page
                .lines()
                .filter(|line| line.starts_with(name) && line.contains(label));
            let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
            sum += values.sum::<f64>();
        }
        sum
    }

    /// Waits until a metric of each gateway is at least 1; false if one stays below.
    pub(crate) async fn wait_for_metric(&self, name: &str) -> bool {
        for gateway in self.gateways() {
            let probes = SocketAddr::new(gateway.ip(), PROBE_PORT);
            let is_reached = wait_until(async || {
                let answer = call_once(probes, "GET /metrics", "").await;
                let value = answer.and_then(|answer| read_metric(&answer.body, name));
                value.is_some_and(|value| value >= 1.0)
            });
            if !is_reached.await {
                return false;
            }
        }
        true
    }
}

/// Address of the process at `index` of a fleet that starts for the first time.
fn first_host(base: Ipv4Addr, registries: usize, index: usize) -> Ipv4Addr {
    let [first, second, third, _] = base.octets();
    let low = usize::from(FIRST_GATEWAY - FIRST_REGISTRY);
    let last = match index.checked_sub(registries) {
        Some(gateway) => FIRST_GATEWAY + gateway as u8,
        None if index < low => FIRST_REGISTRY + index as u8,
        None => FIRST_SUCCESSOR + (index - low) as u8,
    };
    Ipv4Addr::new(first, second, third, last)
}

fn read_metric(page: &str, name: &str) -> Option<f64> {
    let line = page.lines().find(|line| line.starts_with(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Waits until `is_met` returns true; false if it does not within [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until(mut is_met: impl AsyncFnMut() -> bool) -> bool {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !is_met().await {
        if Instant::now() > deadline {
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    true
}
