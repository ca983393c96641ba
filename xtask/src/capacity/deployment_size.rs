/// A size of the system; all counts are of one deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeploymentSize {
    /// Daemons of all roles.
    pub(crate) daemons: f64,
    /// Daemons with the entry role.
    pub(crate) entries: f64,
    /// Endpoints that announce themselves.
    pub(crate) endpoints: f64,
    /// Workspaces.
    pub(crate) workspaces: f64,
    /// Requests a second at the peak.
    pub(crate) requests: f64,
    /// Tokens generated a second at the peak.
    pub(crate) tokens: f64,
    /// Configuration changes a day.
    pub(crate) changes: f64,
    /// Endpoints in the region with the most of them.
    pub(crate) region_endpoints: f64,
}

/// The target of the letter, in about two years. Its 350 daemons are 15 VMs
/// for control and 335 entries; its 1,100 workers over 7 regions put some 158
/// into each.
pub(crate) const TARGET: DeploymentSize = DeploymentSize {
    daemons: 350.0,
    entries: 335.0,
    endpoints: 1_100.0,
    workspaces: 1_500.0,
    requests: 7_800.0,
    tokens: 2_500_000.0,
    changes: 1_200.0,
    region_endpoints: 158.0,
};

/// What runs today: 6 entry VMs, 9 engines, 9 stage workers and 16 workers of
/// plain services. The pages give no rate for today; the share of the target's
/// requests that falls to 9 of 1,100 workers is assumed.
pub(crate) const TODAY: DeploymentSize = DeploymentSize {
    daemons: 6.0,
    entries: 6.0,
    endpoints: 34.0,
    workspaces: 5.0,
    requests: 64.0,
    tokens: 20_500.0,
    changes: 20.0,
    region_endpoints: 34.0,
};

impl DeploymentSize {
    /// The count that a slope of this name multiplies; `None` for a name that
    /// is not one.
    pub(crate) fn count(&self, name: &str) -> Option<f64> {
        match name {
            "daemon" => Some(self.daemons),
            "endpoint" => Some(self.endpoints),
            "region_endpoint" => Some(self.region_endpoints),
            "workspace" => Some(self.workspaces),
            "request" => Some(self.requests),
            "request_of_entry" => Some(self.requests / self.entries),
            "token_of_entry" => Some(self.tokens / self.entries),
            "change" => Some(self.changes),
            _ => None,
        }
    }

    /// What a count is called in a formula.
    pub(crate) fn label(name: &str) -> &str {
        match name {
            "daemon" => "daemons",
            "endpoint" => "endpoints",
            "region_endpoint" => "endpoints of a region",
            "workspace" => "workspaces",
            "request" => "requests a second",
            "request_of_entry" => "requests a second of an entry",
            "token_of_entry" => "tokens a second of an entry",
            "change" => "changes a day",
            other => other,
        }
    }
}
