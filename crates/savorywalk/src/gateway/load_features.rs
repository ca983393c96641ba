use crate::settings::GatewaySettings;

/// Optional parts of the gateway that answer hard load. Each is off unless the settings, or
/// the terms of the platform, call for it. See docs/design/hard-load.md.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadFeatures {
    /// Refused callers are told a time at which room is reserved for them.
    pub appointments: bool,
    /// Work of equal utility begins by the shares of workspaces while a pool is short.
    pub workspace_shares: bool,
    /// Shards send work to each other by the room that they have.
    pub shard_balance: bool,
}

/// Setting that turns a part on or off, or leaves that to the platform's terms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FeatureSwitch {
    /// As the platform's terms say.
    #[default]
    Auto,
    /// On, whatever the terms are.
    On,
    /// Off, whatever the terms are.
    Off,
}

impl FeatureSwitch {
    /// Names in settings, for the remedy of an invalid one.
    pub const NAMES: &str = "auto, on or off";

    /// Returns the switch with a name in settings.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "auto" => Some(Self::Auto),
            "on" => Some(Self::On),
            "off" => Some(Self::Off),
            _ => None,
        }
    }

    /// Whether the part is on; `by_terms` applies to [`Self::Auto`].
    pub const fn is_on(self, by_terms: bool) -> bool {
        match self {
            Self::Auto => by_terms,
            Self::On => true,
            Self::Off => false,
        }
    }
}

impl LoadFeatures {
    /// Applies the switches of the settings to the features that the platform's terms call
    /// for. Settings are checked before; an unknown name counts as `auto`.
    pub fn with_settings(self, settings: &GatewaySettings) -> Self {
        let is_on = |name: &str, by_terms| {
            let switch = FeatureSwitch::from_name(name).unwrap_or_default();
            switch.is_on(by_terms)
        };
        Self {
            appointments: is_on(&settings.appointments, self.appointments),
            workspace_shares: is_on(&settings.workspace_shares, self.workspace_shares),
            shard_balance: is_on(&settings.shard_balance, self.shard_balance),
        }
    }
}

#[cfg(test)]
#[path = "load_features_tests.rs"]
mod tests;
