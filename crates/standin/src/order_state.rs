use std::collections::VecDeque;

use savorywalk::directory::ModelEntry;
use serde::{Deserialize, Serialize};

use crate::FencingNumber;

/// How far an order is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderProgress {
    /// Being carried out.
    Running,
    /// Carried out.
    Done,
}

/// One order in [`OrderState`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Identity.
    pub order_id: String,
    /// Its fencing number.
    pub fencing: FencingNumber,
    /// How far it is.
    pub progress: OrderProgress,
}

/// Answer to `GET /v1/orders/state`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// Highest fencing number that was accepted.
    pub fencing: FencingNumber,
    /// Models that are loaded.
    pub models: Vec<ModelEntry>,
    /// Role.
    pub role: String,
    /// Newest orders, oldest first, in the order in which they were accepted.
    pub orders: VecDeque<OrderRecord>,
}
