//! Settings of a daemon, read from INI against the table that is generated
//! from schema/settings.proto. See docs/operators/settings.md.

mod daemon_limits;
mod figure_reader;
mod role_set;
mod setting_adjustment;
mod setting_key;
mod settings_error;
mod settings_file;
mod settings_paths;
mod settings_rules;
mod system_limits;

pub use crate::generated::settings::{
    ClusterSettings, ControlSettings, DaemonSettings, EntrySettings, GatewaySettings,
    LimitSettings, LinkSettings, ListenerSettings, LogSettings, NodeSettings, RegistrySettings,
};
pub use crate::generated::settings_table::SETTING_KEYS;
pub use daemon_limits::{CallLimits, DaemonLimits, HeadLimits};
pub use role_set::RoleSet;
pub use setting_adjustment::{AdjustmentReason, SettingAdjustment};
pub use setting_key::{SafeSide, SettingKey, SettingKind};
pub use settings_error::{SettingsError, SettingsProblem, SettingsReport};
pub use settings_file::{SettingsReading, key_reference, parse, parse_in};
pub use settings_paths::path_errors;

/// Result of this module's fallible calls.
pub type Result<T> = std::result::Result<T, SettingsReport>;
