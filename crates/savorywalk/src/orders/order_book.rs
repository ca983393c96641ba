use super::{
    FencingNumber, OrderBookSnapshot, OrderClosed, OrderCommand, OrderLogged, OrderOutcome,
    OrderStep, OrderVerdict, OutstandingOrder,
};
use crate::generated::control::{Malformed, Noted};
use crate::prelude::*;

/// Most orders outstanding at once, over all endpoints.
const MAX_OUTSTANDING: usize = 4_096;

/// Orders that have been logged and not closed: at most one an endpoint, so
/// that an endpoint which ignores fencing numbers never holds two.
#[derive(Clone, Debug, Default)]
pub struct OrderBook {
    orders: BTreeMap<String, OutstandingOrder>,
    term: u64,
}

impl OrderBook {
    /// Applies a step; `index` is that of its command in the log.
    pub fn apply(&mut self, stamp_ms: u64, index: u64, command: &OrderCommand) -> OrderOutcome {
        let verdict = match &command.step {
            Some(OrderStep::Logged(order)) => self.log(stamp_ms, index, order),
            Some(OrderStep::Closed(closed)) => self.close(closed),
            None => malformed("the step is missing; send logged or closed"),
        };
        OrderOutcome {
            outcome: Some(verdict),
        }
    }

    fn log(&mut self, stamp_ms: u64, index: u64, order: &OrderLogged) -> OrderVerdict {
        if order.term < self.term {
            return OrderVerdict::StaleTerm(self.term);
        }
        if order.endpoint.is_empty() || order.action.is_none() || order.time_limit_ms == 0 {
            return malformed("an order needs an endpoint, an action and a time limit");
        }
        if let Some(outstanding) = self.orders.get(&order.endpoint) {
            return OrderVerdict::Busy(outstanding.number.unwrap_or_default());
        }
        if self.orders.len() >= MAX_OUTSTANDING {
            return malformed("too many orders are outstanding; wait for some to end");
        }
        self.term = order.term;
        let number = FencingNumber {
            term: order.term,
            index,
        };
        let outstanding = OutstandingOrder {
            order: Some(order.clone()),
            number: Some(number),
            logged_ms: stamp_ms,
        };
        self.orders.insert(order.endpoint.clone(), outstanding);
        OrderVerdict::Logged(number)
    }

    fn close(&mut self, closed: &OrderClosed) -> OrderVerdict {
        if closed.term < self.term {
            return OrderVerdict::StaleTerm(self.term);
        }
        let outstanding = self.orders.get(&closed.endpoint);
        if outstanding.is_none_or(|it| it.number != closed.number) {
            return OrderVerdict::NotOutstanding(Noted {});
        }
        self.term = closed.term;
        self.orders.remove(&closed.endpoint);
        OrderVerdict::Closed(Noted {})
    }

    /// Orders outstanding, by endpoint.
    pub fn outstanding(&self) -> impl Iterator<Item = &OutstandingOrder> {
        self.orders.values()
    }

    /// The book as a message.
    pub fn snapshot(&self) -> OrderBookSnapshot {
        OrderBookSnapshot {
            orders: self.orders.values().cloned().collect(),
            term: self.term,
        }
    }

    /// The book that a snapshot was taken of.
    pub fn restore(snapshot: OrderBookSnapshot) -> Self {
        let named = snapshot.orders.into_iter().map(|outstanding| {
            let order = outstanding.order.as_ref();
            let endpoint = order.map(|order| order.endpoint.clone());
            (endpoint.unwrap_or_default(), outstanding)
        });
        Self {
            orders: named.collect(),
            term: snapshot.term,
        }
    }
}

fn malformed(message: &str) -> OrderVerdict {
    OrderVerdict::Malformed(Malformed {
        message: message.into(),
    })
}

#[cfg(test)]
#[path = "order_book_tests.rs"]
mod tests;
