use super::{
    EndpointView, FencingNumber, LoadPacer, OrderBook, OrderClosed, OrderCommand, OrderLogged,
    OrderResult, OrderStep, OutstandingOrder, PlannedOrder, plan_orders,
};
use crate::configuration::Configuration;
use crate::prelude::*;

/// After this long an endpoint no longer executes an order: a load of the
/// largest model at the weight store's slowest, with room to spare.
pub const ORDER_TIME_LIMIT: Duration = Duration::from_secs(300);
/// How often an endpoint whose order's time is up is asked for its state.
const READ_INTERVAL: Duration = Duration::from_secs(5);

/// What the leader's planner is told.
#[derive(Debug)]
pub enum PlannerEvent<'a> {
    /// This process leads from now on; the leader before may act until
    /// `old_lease` has passed.
    Elected {
        /// The new term.
        term: u64,
        /// Longest time for which an earlier leader may think it leads.
        old_lease: Duration,
    },
    /// This process leads no longer.
    Deposed,
    /// Time has passed, or something has changed.
    Tick {
        /// Configuration in force.
        configuration: &'a Configuration,
        /// Endpoints that serve.
        endpoints: &'a [EndpointView],
        /// Outstanding orders, as the log has them.
        book: &'a OrderBook,
    },
    /// An order of this leader is in the log.
    Logged {
        /// The order.
        order: OrderLogged,
        /// Its number.
        number: FencingNumber,
    },
    /// The log refused an order, or it could not be proposed.
    NotLogged {
        /// The endpoint.
        endpoint: &'a str,
    },
    /// The endpoint answered an order, or told its state after the time limit.
    Ended {
        /// The endpoint.
        endpoint: &'a str,
        /// Number of the order.
        number: FencingNumber,
        /// How it ended.
        result: OrderResult,
    },
}

/// What the planner wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannerAction {
    /// Put this into the log.
    Propose(OrderCommand),
    /// Send this order, which is in the log.
    Send {
        /// The order.
        order: OrderLogged,
        /// Its number.
        number: FencingNumber,
    },
    /// Ask the endpoint for its state, then tell how its order ended.
    ReadBack {
        /// The endpoint.
        endpoint: String,
        /// Number of the order.
        number: FencingNumber,
    },
}

/// Plans, logs and closes orders while this process leads, without I/O.
///
/// An endpoint may ignore fencing numbers, so safety comes from time and
/// order: an order is logged before it is sent, an endpoint has one at a time,
/// and a new leader leaves an endpoint with an old order alone until the old
/// leader can't send any more and the order's own time is up; then it reads
/// the endpoint's state back.
#[derive(Debug)]
pub struct OrderPlanner {
    name: String,
    leadership: Option<Leadership>,
    pacer: LoadPacer,
}

#[derive(Debug)]
struct Leadership {
    term: u64,
    /// When no earlier leader can act any more.
    acts_from: Instant,
    /// Endpoints with an order on its way into the log.
    proposed: BTreeSet<String>,
    /// When each outstanding order was first seen by this leader.
    seen: BTreeMap<String, SeenOrder>,
}

#[derive(Debug)]
struct SeenOrder {
    number: FencingNumber,
    /// When the endpoint surely executes it no longer.
    over: Instant,
    next_read: Instant,
}

impl OrderPlanner {
    /// A planner of the control daemon named `name`.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            leadership: None,
            pacer: LoadPacer::default(),
        }
    }

    /// Takes an event and tells what to do.
    pub fn handle(&mut self, now: Instant, event: PlannerEvent<'_>) -> Vec<PlannerAction> {
        match event {
            PlannerEvent::Elected { term, old_lease } => {
                self.leadership = Some(Leadership {
                    term,
                    acts_from: now + old_lease,
                    proposed: BTreeSet::new(),
                    seen: BTreeMap::new(),
                });
                Vec::new()
            }
            PlannerEvent::Deposed => {
                self.leadership = None;
                Vec::new()
            }
            PlannerEvent::Tick {
                configuration,
                endpoints,
                book,
            } => self.tick(now, configuration, endpoints, book),
            PlannerEvent::Logged { order, number } => self.logged(now, order, number),
            PlannerEvent::NotLogged { endpoint } => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.proposed.remove(endpoint);
                }
                Vec::new()
            }
            PlannerEvent::Ended {
                endpoint,
                number,
                result,
            } => self.ended(endpoint, number, result),
        }
    }

    fn tick(
        &mut self,
        now: Instant,
        configuration: &Configuration,
        endpoints: &[EndpointView],
        book: &OrderBook,
    ) -> Vec<PlannerAction> {
        let Some(leadership) = &mut self.leadership else {
            return Vec::new();
        };
        leadership.observe(now, book);
        if now < leadership.acts_from {
            return Vec::new();
        }
        let mut actions = leadership.read_backs(now);
        let busy = leadership.busy();
        let limits = configuration.limits.as_ref();
        let rate = limits.map_or(0, |limits| limits.weight_loads_per_minute);
        let mut proposed = Vec::new();
        for planned in plan_orders(configuration, endpoints, &busy) {
            if planned.is_load() && !self.pacer.take(now, rate) {
                continue;
            }
            proposed.push(planned);
        }
        for planned in proposed {
            leadership.proposed.insert(planned.endpoint.clone());
            let order = logged_order(leadership.term, &self.name, planned);
            actions.push(propose(OrderStep::Logged(order)));
        }
        actions
    }

    /// Sends an order that is in the log, unless this leader was deposed since.
    fn logged(
        &mut self,
        now: Instant,
        order: OrderLogged,
        number: FencingNumber,
    ) -> Vec<PlannerAction> {
        let Some(leadership) = &mut self.leadership else {
            return Vec::new();
        };
        leadership.proposed.remove(&order.endpoint);
        if order.term != leadership.term {
            return Vec::new();
        }
        let over = now + Duration::from_millis(order.time_limit_ms.into());
        leadership.see(&order.endpoint, number, over);
        vec![PlannerAction::Send { order, number }]
    }

    fn ended(
        &mut self,
        endpoint: &str,
        number: FencingNumber,
        result: OrderResult,
    ) -> Vec<PlannerAction> {
        let Some(leadership) = &self.leadership else {
            return Vec::new();
        };
        let known = leadership.seen.get(endpoint);
        if known.is_none_or(|known| known.number != number) {
            return Vec::new();
        }
        let closed = OrderClosed {
            term: leadership.term,
            author: self.name.clone(),
            endpoint: endpoint.into(),
            number: Some(number),
            result: result.into(),
        };
        vec![propose(OrderStep::Closed(closed))]
    }
}

impl Leadership {
    /// Learns which orders the log holds. One that this leader did not send
    /// may have been sent as late as the end of the old lease.
    fn observe(&mut self, now: Instant, book: &OrderBook) {
        let is_outstanding = |seen: &SeenOrder, endpoint: &str| {
            let mut outstanding = book.outstanding();
            outstanding.any(|it| named(it) == (endpoint, seen.number))
        };
        self.seen
            .retain(|endpoint, seen| is_outstanding(seen, endpoint));
        for outstanding in book.outstanding() {
            let (endpoint, number) = named(outstanding);
            let order = outstanding.order.as_ref();
            let limit = order.map_or(0, |order| order.time_limit_ms);
            let limit = Duration::from_millis(limit.into());
            if !self.seen.contains_key(endpoint) {
                self.see(endpoint, number, self.acts_from.max(now) + limit);
            }
        }
    }

    fn see(&mut self, endpoint: &str, number: FencingNumber, over: Instant) {
        let seen = SeenOrder {
            number,
            over,
            next_read: over,
        };
        self.seen.insert(endpoint.into(), seen);
    }

    fn read_backs(&mut self, now: Instant) -> Vec<PlannerAction> {
        let mut actions = Vec::new();
        for (endpoint, seen) in &mut self.seen {
            if now < seen.over || now < seen.next_read {
                continue;
            }
            seen.next_read = now + READ_INTERVAL;
            actions.push(PlannerAction::ReadBack {
                endpoint: endpoint.clone(),
                number: seen.number,
            });
        }
        actions
    }

    fn busy(&self) -> BTreeSet<&str> {
        let seen = self.seen.keys().map(String::as_str);
        seen.chain(self.proposed.iter().map(String::as_str))
            .collect()
    }
}

fn named(outstanding: &OutstandingOrder) -> (&str, FencingNumber) {
    let order = outstanding.order.as_ref();
    let endpoint = order.map_or("", |order| order.endpoint.as_str());
    (endpoint, outstanding.number.unwrap_or_default())
}

fn propose(step: OrderStep) -> PlannerAction {
    PlannerAction::Propose(OrderCommand { step: Some(step) })
}

fn logged_order(term: u64, author: &str, planned: PlannedOrder) -> OrderLogged {
    OrderLogged {
        term,
        author: author.into(),
        endpoint: planned.endpoint,
        incarnation: planned.incarnation,
        action: Some(planned.action),
        time_limit_ms: ORDER_TIME_LIMIT.as_millis() as u32,
    }
}

#[cfg(test)]
#[path = "order_planner_tests.rs"]
mod tests;
