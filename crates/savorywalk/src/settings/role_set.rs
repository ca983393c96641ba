use super::NodeSettings;

/// Roles that one daemon plays; a process may hold both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoleSet {
    /// Takes callers' requests.
    pub entry: bool,
    /// Votes in the replicated log.
    pub control: bool,
    /// Takes callers' requests by host and path.
    pub gateway: bool,
    /// Keeps the document in force and knows the endpoints.
    pub registry: bool,
}

impl RoleSet {
    /// Reads the roles that the settings name; the first unknown one is the error.
    pub fn from_settings(node: &NodeSettings) -> Result<Self, String> {
        let mut roles = Self::default();
        for role in &node.roles {
            match role.as_str() {
                "entry" => roles.entry = true,
                "control" => roles.control = true,
                "gateway" => roles.gateway = true,
                "registry" => roles.registry = true,
                other => return Err(other.to_string()),
            }
        }
        Ok(roles)
    }
}
