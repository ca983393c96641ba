use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

use savorywalk::prelude::*;

use crate::fleet_watch;
use crate::{DaemonAddresses, DaemonProcess, EntryName, HistoryBook, HistoryEvent, ProcessError};

/// Attempts to start a process, and the pause between them.
const START_ATTEMPTS: usize = 20;
const START_PAUSE: Duration = Duration::from_millis(250);

/// The entries of a run as processes, and what the platform's balancer knows
/// of them.
#[derive(Debug)]
pub struct EntryFleet {
    program: PathBuf,
    folder: PathBuf,
    ip: Ipv4Addr,
    data_centers: Vec<String>,
    book: Arc<HistoryBook>,
    slots: Vec<Mutex<Option<DaemonProcess>>>,
    routes: Mutex<Vec<Option<DaemonAddresses>>>,
    /// Addresses of each entry's first start; a restart takes the same ones.
    addresses: Mutex<Vec<Option<DaemonAddresses>>>,
}

impl EntryFleet {
    /// Starts `count` entries at `ip` that read `configuration.json` in `folder`.
    pub async fn start(
        program: &Path,
        folder: &Path,
        ip: Ipv4Addr,
        data_centers: &[String],
        count: usize,
        book: Arc<HistoryBook>,
    ) -> Result<Self, ProcessError> {
        let fleet = Self {
            program: program.to_path_buf(),
            folder: folder.to_path_buf(),
            ip,
            data_centers: data_centers.to_vec(),
            book,
            slots: (0..count).map(|_| Mutex::new(None)).collect(),
            routes: Mutex::new(vec![None; count]),
            addresses: Mutex::new(vec![None; count]),
        };
        for index in 0..count {
            fleet.start_one(index).await?;
        }
        Ok(fleet)
    }

    /// Name of an entry.
    pub fn name(index: usize) -> EntryName {
        EntryName(format!("entry-{}", index + 1))
    }

    /// Starts an entry that is not running; the balancer sends it requests once
    /// it is ready.
    pub async fn start_one(&self, index: usize) -> Result<(), ProcessError> {
        if self.slot(index).is_some() {
            return Ok(());
        }
        let name = Self::name(index).0;
        let settings = self.settings(&name, index);
        let process = self.start_process(&name, &settings).await?;
        self.book.record(HistoryEvent::Started {
            entry: Self::name(index),
        });
        let addresses = process.addresses();
        self.addresses()[index] = Some(addresses);
        *self.slot(index) = Some(process);
        fleet_watch::wait_until_ready(addresses.callers).await;
        self.set_route(index, Some(addresses));
        Ok(())
    }

    /// Starts the process of an entry, also if another connection of this machine uses one of its
    /// earlier ports for the moment.
    async fn start_process(
        &self,
        name: &str,
        settings: &str,
    ) -> Result<DaemonProcess, ProcessError> {
        let start = || DaemonProcess::start(&self.program, &self.folder, name, settings);
        for _ in 1..START_ATTEMPTS {
            match start().await {
                Err(ProcessError::NotReady(log)) => {
                    log::warn!("event=daemon_not_started entry={name} log={log:?}");
                    tokio::time::sleep(START_PAUSE).await;
                }
                started => return started,
            }
        }
        start().await
    }

    /// Kills an entry; the balancer learns of it at once.
    pub async fn kill(&self, index: usize) -> Result<(), ProcessError> {
        self.set_route(index, None);
        let process = self.slot(index).take();
        match process {
            Some(process) => process.kill().await,
            None => Ok(()),
        }
    }

    /// Stops an entry as planned; tells whether it ended well. With `keeps_connections`, callers
    /// use it until its process has ended, as over connections that they keep open.
    pub async fn stop(&self, index: usize, keeps_connections: bool) -> Result<bool, ProcessError> {
        let process = self.slot(index).take();
        let Some(process) = process else {
            return Ok(true);
        };
        self.book.record(HistoryEvent::StopRequested {
            entry: Self::name(index),
        });
        if !keeps_connections {
            self.set_route(index, None);
        }
        let terminated = process.terminate().await;
        self.set_route(index, None);
        let (ended_well, log) = terminated?;
        if !ended_well {
            log::error!(
                "event=stop_failed entry={} log={log:?}",
                Self::name(index).0
            );
        }
        Ok(ended_well)
    }

    /// The running entries, as the balancer would choose among them.
    pub fn routes(&self) -> Vec<(EntryName, DaemonAddresses)> {
        let routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        let running = routes.iter().enumerate();
        running
            .filter_map(|(index, addresses)| Some((Self::name(index), (*addresses)?)))
            .collect()
    }

    /// Stops every entry as planned.
    pub async fn stop_all(&self) -> Result<bool, ProcessError> {
        let mut ended_well = true;
        for index in 0..self.slots.len() {
            ended_well &= self.stop(index, false).await?;
        }
        Ok(ended_well)
    }

    fn slot(&self, index: usize) -> std::sync::MutexGuard<'_, Option<DaemonProcess>> {
        self.slots[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn set_route(&self, index: usize, addresses: Option<DaemonAddresses>) {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        routes[index] = addresses;
    }

    fn addresses(&self) -> std::sync::MutexGuard<'_, Vec<Option<DaemonAddresses>>> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn settings(&self, name: &str, index: usize) -> String {
        let any = SocketAddr::from((self.ip, 0));
        let DaemonAddresses {
            callers,
            operators,
            endpoints,
        } = self.addresses()[index].unwrap_or(DaemonAddresses {
            callers: any,
            operators: any,
            endpoints: any,
        });
        let data_center = &self.data_centers[index % self.data_centers.len()];
        format!(
            "[node]\nname = {name}\ndata_center = {data_center}\n\
             [callers]\naddress = {callers}\n\
             [operators]\naddress = {operators}\n\
             [endpoints]\naddress = {endpoints}\n\
             [entry]\ndrain_notice_ms = 200\nconfiguration = configuration.json\n"
        )
    }
}
