use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

use savorywalk::prelude::*;

use super::Result;
use super::http_call::call_once;
use crate::SignalledProcess;

/// Ports of each daemon, at an address of its own.
const CLUSTER_PORT: u16 = 7_003;
const FIRST_PORT: u16 = 7_001;
const PROBE_PORT: u16 = 7_002;

/// Last octets of the addresses of the registries and of the gateways.
const FIRST_REGISTRY: u8 = 1;
const FIRST_GATEWAY: u8 = 10;

/// Longest wait for a condition, and the interval between two checks of it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Processes of a deployment: registries, then gateways.
pub(super) struct GatewayFleet {
    program: PathBuf,
    folder: PathBuf,
    base: Ipv4Addr,
    registries: usize,
    processes: Vec<Option<SignalledProcess>>,
    has_started: Vec<bool>,
}

impl GatewayFleet {
    /// A fleet of which no process runs, at addresses of the network of `base`.
    pub(super) fn new(
        program: &Path,
        folder: &Path,
        base: Ipv4Addr,
        registries: usize,
        gateways: usize,
    ) -> Self {
        let count = registries + gateways;
        Self {
            program: program.to_path_buf(),
            folder: folder.to_path_buf(),
            base,
            registries,
            processes: (0..count).map(|_| None).collect(),
            has_started: vec![false; count],
        }
    }

    /// Starts the processes that don't run.
    pub(super) async fn start_stopped(&mut self) -> Result<()> {
        for index in 0..self.processes.len() {
            let is_running = self.processes[index]
                .as_mut()
                .is_some_and(SignalledProcess::is_running);
            if !is_running {
                let settings = self.settings(index)?;
                let name = format!("daemon-{index}");
                let process =
                    SignalledProcess::start(&self.program, &self.folder, &name, &settings)?;
                self.processes[index] = Some(process);
                self.has_started[index] = true;
            }
        }
        Ok(())
    }

    /// Kills all processes, and waits until they have ended.
    pub(super) async fn end(self) -> Result<()> {
        for process in self.processes.into_iter().flatten() {
            process.kill().await?;
        }
        Ok(())
    }

    /// The process at `index`, if it has been started.
    pub(super) fn process(&mut self, index: usize) -> Option<&mut SignalledProcess> {
        self.processes[index].as_mut()
    }

    pub(super) fn len(&self) -> usize {
        self.processes.len()
    }

    /// Addresses at which registries take calls.
    pub(super) fn registries(&self) -> Vec<SocketAddr> {
        let indexes = 0..self.registries;
        indexes
            .map(|index| SocketAddr::from((self.ip(index), FIRST_PORT)))
            .collect()
    }

    /// Addresses at which gateways take requests.
    pub(super) fn gateways(&self) -> Vec<SocketAddr> {
        let indexes = self.registries..self.processes.len();
        indexes
            .map(|index| SocketAddr::from((self.ip(index), FIRST_PORT)))
            .collect()
    }

    fn ip(&self, index: usize) -> Ipv4Addr {
        let [first, second, third, _] = self.base.octets();
        let last = match index.checked_sub(self.registries) {
            Some(gateway) => FIRST_GATEWAY + gateway as u8,
            None => FIRST_REGISTRY + index as u8,
        };
        Ipv4Addr::new(first, second, third, last)
    }

    fn settings(&self, index: usize) -> Result<String> {
        let ip = self.ip(index);
        let seeds: Vec<String> = (0..self.registries)
            .map(|registry| format!("{}:{CLUSTER_PORT}", self.ip(registry)))
            .collect();
        let first_start = index < self.registries && !self.has_started[index];
        let role = match index < self.registries {
            true => {
                let data = self.folder.join(format!("data-{index}"));
                std::fs::create_dir_all(&data)?;
                format!(
                    "[registry]\naddress = {ip}:{FIRST_PORT}\ndata_folder = {}\n\
                     announce_interval_ms = 1200\n",
                    data.display()
                )
            }
            false => format!(
                "[gateway]\ncallers = {ip}:{FIRST_PORT}\nprobes = {ip}:{PROBE_PORT}\n\
                 key_bound_ms = 600000\nretry_share = 10\nretry_extra = 1000\n\
                 retry_window_ms = 10000\nstop_time_ms = 3000\nannounce_interval_ms = 1200\n"
            ),
        };
        let kind = match index < self.registries {
            true => "registry",
            false => "gateway",
        };
        Ok(format!(
            "[node]\nname = {kind}-{index}\ndata_center = z\nregion = north\nroles = {kind}\n\
             [cluster]\naddress = {ip}:{CLUSTER_PORT}\nseeds = {}\nfirst_start = {first_start}\n\
             data_centers = z:north\n{role}[log]\nlevel = warn\n",
            seeds.join(",")
        ))
    }

    /// Sends a document to the registries until one accepts it; false if none does.
    pub(super) async fn publish(&self, document: &str) -> bool {
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

    /// Waits until a metric of each gateway is at least 1; false if one stays below.
    pub(super) async fn wait_for_metric(&self, name: &str) -> bool {
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

fn read_metric(page: &str, name: &str) -> Option<f64> {
    let line = page.lines().find(|line| line.starts_with(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Waits until `is_met` returns true; false if it does not within [`WAIT_TIMEOUT`].
pub(super) async fn wait_until(mut is_met: impl AsyncFnMut() -> bool) -> bool {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !is_met().await {
        if Instant::now() > deadline {
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    true
}
