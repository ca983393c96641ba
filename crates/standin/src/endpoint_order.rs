use serde::{Deserialize, Serialize};

/// Number that lets an endpoint refuse a deposed leader's orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FencingNumber {
    /// Term of the leader that planned the order.
    pub term: u64,
    /// Index of the order in the log.
    pub index: u64,
}

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load a model, a version of it, or an adapter.
    Load,
    /// Unload a model or an adapter.
    Unload,
    /// Change the role.
    Role,
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointOrder {
    /// Identity; an order that comes twice is carried out once.
    pub order_id: String,
    /// Its fencing number.
    pub fencing: FencingNumber,
    /// What to do.
    pub action: OrderAction,
    /// Model to load or unload.
    #[serde(default)]
    pub model: String,
    /// Version to load.
    #[serde(default)]
    pub version: String,
    /// Adapter to load or unload; empty for the model itself.
    #[serde(default)]
    pub adapter: String,
    /// Role to take.
    #[serde(default)]
    pub role: String,
}
