use super::{
    AdapterOrder, EndpointView, ModelOrder, OrderAction, OrderKind, PlannedOrder, RoleOrder,
};
use crate::configuration::{Configuration, ModelConfiguration};
use crate::prelude::*;

/// Share of a model's holders that must go on serving while others have
/// orders, as a fraction: two thirds. Of two holders, one.
const SERVING_SHARE: (usize, usize) = (2, 3);

/// The orders that bring one pool nearer to the configuration, at most one an
/// endpoint, and never so many that a model loses its capacity.
#[derive(Debug)]
pub(super) struct PoolPlan<'a> {
    pool: &'a str,
    models: BTreeMap<&'a str, &'a ModelConfiguration>,
    endpoints: Vec<&'a EndpointView>,
    /// Endpoints with an order, outstanding or planned here.
    busy: BTreeSet<&'a str>,
    orders: Vec<PlannedOrder>,
}

impl<'a> PoolPlan<'a> {
    /// Plans for `pool`; `busy` holds the endpoints with an order outstanding.
    pub(super) fn new(
        configuration: &'a Configuration,
        pool: &'a str,
        endpoints: &'a [EndpointView],
        busy: &BTreeSet<&'a str>,
    ) -> Self {
        let models = configuration.models.iter();
        let placed = models.filter(|(_, model)| model.pools.iter().any(|it| it == pool));
        let mut endpoints: Vec<&EndpointView> =
            endpoints.iter().filter(|it| it.pool == pool).collect();
        endpoints.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
        Self {
            pool,
            models: placed.map(|(name, it)| (name.as_str(), it)).collect(),
            endpoints,
            busy: busy.clone(),
            orders: Vec::new(),
        }
    }

    /// The orders, the most urgent first: a model that nobody serves goes
    /// before one that is out of date, and what is too much goes last.
    pub(super) fn orders(mut self, role: &str) -> Vec<PlannedOrder> {
        if !self.models.is_empty() {
            self.load_missing();
            self.load_versions();
            self.load_adapters();
            self.unload_surplus();
        }
        self.change_roles(role);
        self.orders
    }

    fn load_missing(&mut self) {
        for (name, model) in self.models.clone() {
            let wanted = wanted_replicas(model).min(self.endpoints.len());
            let held = self.holders(name).count();
            // A holder that is being ordered counts: its load may be under way.
            let under_way = self.orders_for(name);
            for _ in (held + under_way)..wanted {
                let free = self.endpoints.iter().copied().filter(|it| {
                    it.model(name).is_none() && !self.busy.contains(it.endpoint.as_str())
                });
                let Some(chosen) = free.min_by_key(|it| it.models.len()) else {
                    break;
                };
                self.order(chosen, load(name, model));
            }
        }
    }

    fn load_versions(&mut self) {
        for (name, model) in self.models.clone() {
            for endpoint in self.endpoints.clone() {
                let held = endpoint.model(name);
                if held.is_some_and(|held| held.version != model.version) {
                    self.order(endpoint, load(name, model));
                }
            }
        }
    }

    fn load_adapters(&mut self) {
        for (name, model) in self.models.clone() {
            for endpoint in self.endpoints.clone() {
                let Some(held) = endpoint.model(name) else {
                    continue;
                };
                let missing = |it: &&String| !held.adapters.contains(it);
                if let Some(adapter) = model.adapters.iter().find(missing) {
                    self.order(
                        endpoint,
                        OrderKind::LoadAdapter(adapter_order(name, adapter)),
                    );
                    continue;
                }
                let surplus = |it: &&String| !model.adapters.contains(it);
                if let Some(adapter) = held.adapters.iter().find(surplus) {
                    let order = adapter_order(name, adapter);
                    self.order(endpoint, OrderKind::UnloadAdapter(order));
                }
            }
        }
    }

    /// Unloads models that the pool shall not hold, and replicas over what is
    /// wanted.
    fn unload_surplus(&mut self) {
        for endpoint in self.endpoints.clone() {
            let foreign =
                |it: &&crate::directory::ModelEntry| !self.models.contains_key(it.name.as_str());
            if let Some(entry) = endpoint.models.iter().find(foreign) {
                let order = ModelOrder {
                    model: entry.name.clone(),
                    version: entry.version.clone(),
                };
                self.order(endpoint, OrderKind::Unload(order));
            }
        }
        for (name, model) in self.models.clone() {
            let holders: Vec<&EndpointView> = self.holders(name).collect();
            let surplus = holders.len().saturating_sub(wanted_replicas(model));
            let fullest = |it: &&&EndpointView| std::cmp::Reverse(it.models.len());
            let mut by_models: Vec<&&EndpointView> = holders.iter().collect();
            by_models.sort_by_key(fullest);
            for endpoint in by_models.into_iter().take(surplus) {
                let order = ModelOrder {
                    model: name.into(),
                    version: model.version.clone(),
                };
                self.order(endpoint, OrderKind::Unload(order));
            }
        }
    }

    fn change_roles(&mut self, role: &str) {
        if role.is_empty() {
            return;
        }
        for endpoint in self.endpoints.clone() {
            if endpoint.role.as_deref().is_some_and(|held| held != role) {
                self.order(
                    endpoint,
                    OrderKind::ChangeRole(RoleOrder { role: role.into() }),
                );
            }
        }
    }

    /// Plans an order unless the endpoint has one or its models would lose
    /// their capacity.
    fn order(&mut self, endpoint: &'a EndpointView, kind: OrderKind) {
        if self.busy.contains(endpoint.endpoint.as_str()) || !self.can_spare(endpoint) {
            return;
        }
        self.busy.insert(&endpoint.endpoint);
        self.orders.push(PlannedOrder {
            endpoint: endpoint.endpoint.clone(),
            incarnation: endpoint.incarnation,
            pool: self.pool.into(),
            action: OrderAction { action: Some(kind) },
        });
    }

    fn can_spare(&self, endpoint: &EndpointView) -> bool {
        let mut held = self
            .models
            .keys()
            .filter(|name| endpoint.model(name).is_some());
        held.all(|name| {
            let holders = self.holders(name).count();
            let busy = |it: &&EndpointView| self.busy.contains(it.endpoint.as_str());
            let serving = holders - self.holders(name).filter(busy).count();
            serving > least_serving(holders)
        })
    }

    fn holders(&self, model: &str) -> impl Iterator<Item = &'a EndpointView> {
        let endpoints = self.endpoints.iter().copied();
        endpoints.filter(move |it| it.model(model).is_some())
    }

    /// Busy endpoints that don't hold the model yet: one of them may be
    /// loading it, so no further one is chosen before it is known.
    fn orders_for(&self, model: &str) -> usize {
        let endpoints = self.endpoints.iter();
        let busy = endpoints.filter(|it| self.busy.contains(it.endpoint.as_str()));
        busy.filter(|it| it.model(model).is_none()).count()
    }
}

/// Holders that must go on serving.
fn least_serving(holders: usize) -> usize {
    let (part, whole) = SERVING_SHARE;
    match holders {
        2 => 1,
        holders => (holders * part).div_ceil(whole),
    }
}

fn wanted_replicas(model: &ModelConfiguration) -> usize {
    model.replicas.max(1) as usize
}

fn load(name: &str, model: &ModelConfiguration) -> OrderKind {
    OrderKind::Load(ModelOrder {
        model: name.into(),
        version: model.version.clone(),
    })
}

fn adapter_order(model: &str, adapter: &str) -> AdapterOrder {
    AdapterOrder {
        model: model.into(),
        adapter: adapter.into(),
    }
}
