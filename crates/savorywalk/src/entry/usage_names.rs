use crate::configuration::ConfigurationSnapshot;
use crate::directory::WorkspaceUsage;
use crate::prelude::*;
use crate::queueing::UsageReport;

/// Names of one configuration's pools and workspaces by the keys under which
/// entries report usage.
#[derive(Debug, Default)]
pub(super) struct UsageNames {
    version: Option<u64>,
    pools: FastMap<u32, String>,
    workspaces: FastMap<u32, String>,
}

impl UsageNames {
    /// Takes over the names of `configuration`, unless they are its own already.
    pub(super) fn follow(&mut self, configuration: &ConfigurationSnapshot) {
        if self.version == Some(configuration.version) {
            return;
        }
        self.version = Some(configuration.version);
        self.pools = keyed(configuration.source.pools.keys());
        self.workspaces = keyed(configuration.source.workspaces.keys());
    }

    /// The reports of what others used, without what this configuration doesn't
    /// name.
    pub(super) fn reports(&self, lines: &[WorkspaceUsage]) -> Vec<UsageReport> {
        let reports = lines.iter().filter_map(|line| {
            Some(UsageReport {
                pool: self.pools.get(&line.pool)?.clone(),
                workspace: self.workspaces.get(&line.workspace)?.clone(),
                endpoint_micros: line.endpoint_micros,
            })
        });
        reports.collect()
    }
}

fn keyed<'a>(names: impl Iterator<Item = &'a String>) -> FastMap<u32, String> {
    names
        .map(|name| (WorkspaceUsage::key(name), name.clone()))
        .collect()
}
