use savorywalk::directory::ModelEntry;

use crate::{EndpointOrder, FencingNumber, OrderAction, OrderProgress, OrderRecord, OrderState};

const KEPT_ORDERS: usize = 64;
const FIRST_VERSION: &str = "1";

/// What became of an order that came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderReceipt {
    /// It is new and must be carried out.
    Accepted,
    /// It came before and is this far.
    Known(OrderProgress),
    /// It carries an older number than one that was accepted.
    Stale(FencingNumber),
}

/// Takes orders, without I/O.
#[derive(Debug)]
pub(crate) struct OrderDesk {
    state: OrderState,
    ignores_fencing: bool,
}

impl OrderDesk {
    pub(crate) fn new(model: &str, ignores_fencing: bool) -> Self {
        let mut state = OrderState::default();
        if !model.is_empty() {
            state.models.push(model_entry(model, FIRST_VERSION));
        }
        Self {
            state,
            ignores_fencing,
        }
    }

    pub(crate) fn state(&self) -> &OrderState {
        &self.state
    }

    pub(crate) fn receive(&mut self, order: &EndpointOrder) -> OrderReceipt {
        let known = self.state.orders.iter();
        if let Some(known) = known.rev().find(|known| known.order_id == order.order_id) {
            return OrderReceipt::Known(known.progress);
        }
        if order.fencing < self.state.fencing && !self.ignores_fencing {
            return OrderReceipt::Stale(self.state.fencing);
        }
        self.state.fencing = self.state.fencing.max(order.fencing);
        if self.state.orders.len() == KEPT_ORDERS {
            self.state.orders.pop_front();
        }
        self.state.orders.push_back(OrderRecord {
            order_id: order.order_id.clone(),
            fencing: order.fencing,
            progress: OrderProgress::Running,
        });
        OrderReceipt::Accepted
    }

    /// Puts into effect what was accepted earlier.
    pub(crate) fn complete(&mut self, order: &EndpointOrder) {
        match order.action {
            OrderAction::Load => self.load(order),
            OrderAction::Unload => self.unload(order),
            OrderAction::Role => self.state.role.clone_from(&order.role),
        }
        let records = self.state.orders.iter_mut();
        for record in records.filter(|record| record.order_id == order.order_id) {
            record.progress = OrderProgress::Done;
        }
    }

    fn load(&mut self, order: &EndpointOrder) {
        let mut models = self.state.models.iter_mut();
        let known = models.find(|entry| entry.name == order.model);
        match (known, order.adapter.as_str()) {
            (Some(entry), "") => entry.version.clone_from(&order.version),
            (Some(entry), adapter) => {
                if !entry.adapters.iter().any(|known| known == adapter) {
                    entry.adapters.push(adapter.to_string());
                }
            }
            (None, adapter) => {
                let mut entry = model_entry(&order.model, &order.version);
                entry
                    .adapters
                    .extend((!adapter.is_empty()).then(|| adapter.to_string()));
                self.state.models.push(entry);
            }
        }
    }

    fn unload(&mut self, order: &EndpointOrder) {
        if order.adapter.is_empty() {
            self.state.models.retain(|entry| entry.name != order.model);
            return;
        }
        let models = self.state.models.iter_mut();
        for entry in models.filter(|entry| entry.name == order.model) {
            entry.adapters.retain(|adapter| *adapter != order.adapter);
        }
    }
}

fn model_entry(name: &str, version: &str) -> ModelEntry {
    ModelEntry {
        name: name.to_string(),
        version: version.to_string(),
        adapters: Vec::new(),
    }
}
