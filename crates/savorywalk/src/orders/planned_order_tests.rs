use super::*;
use crate::configuration::configuration_from_json;
use crate::directory::ModelEntry;

fn configuration(replicas: u32) -> Configuration {
    let json = format!(
        r#"{{"pools": {{"engines": {{"kind": "generate", "role": "mixed"}}}},
            "models": {{"dispatch-8b": {{"version": "2", "adapters": ["tow"],
                "pools": ["engines"], "replicas": {replicas}}}}}}}"#
    );
    configuration_from_json(json.as_bytes()).unwrap()
}

/// An engine with one model: name, version and adapters, split at spaces.
fn engine(number: usize, model: &str) -> EndpointView {
    let mut words = model.split(' ').map(String::from);
    let entry = ModelEntry {
        name: words.next().unwrap(),
        version: words.next().unwrap_or_default(),
        adapters: words.collect(),
    };
    EndpointView {
        endpoint: format!("engine-{number}"),
        incarnation: 1,
        pool: "engines".into(),
        models: Vec::from_iter((!entry.name.is_empty()).then_some(entry)),
        role: Some("mixed".into()),
    }
}

fn engines(count: usize, model: &str) -> Vec<EndpointView> {
    (1..=count).map(|number| engine(number, model)).collect()
}

fn kinds(orders: &[PlannedOrder]) -> Vec<String> {
    let kinds = orders
        .iter()
        .map(|it| match it.action.action.as_ref().unwrap() {
            OrderKind::Load(order) => format!("load {}", order.version),
            OrderKind::Unload(order) => format!("unload {}", order.model),
            OrderKind::LoadAdapter(order) => format!("load adapter {}", order.adapter),
            OrderKind::UnloadAdapter(order) => format!("unload adapter {}", order.adapter),
            OrderKind::ChangeRole(order) => format!("role {}", order.role),
        });
    kinds.collect()
}

fn plan(replicas: u32, endpoints: &[EndpointView]) -> Vec<String> {
    kinds(&plan_orders(
        &configuration(replicas),
        endpoints,
        &BTreeSet::new(),
    ))
}

#[test]
fn a_pool_that_is_as_wanted_gets_no_order() {
    let mut endpoints = engines(2, "dispatch-8b 2 tow");
    endpoints.push(engine(3, ""));
    assert!(plan(2, &endpoints).is_empty());
}

#[test]
fn empty_engines_are_loaded_up_to_the_replicas_wanted() {
    assert_eq!(plan(3, &engines(9, "")), ["load 2"; 3]);
}

#[rstest::rstest]
#[case(9, 3)]
#[case(4, 1)]
#[case(3, 1)]
#[case(2, 1)]
#[case(1, 0)]
fn a_new_version_leaves_two_thirds_serving(#[case] holders: usize, #[case] orders: usize) {
    let endpoints = engines(holders, "dispatch-8b 1 tow");
    assert_eq!(plan(holders as u32, &endpoints).len(), orders);
}

#[test]
fn orders_outstanding_count_against_the_share() {
    let endpoints = engines(9, "dispatch-8b 1 tow");
    let busy = BTreeSet::from(["engine-1", "engine-2"]);
    let orders = plan_orders(&configuration(9), &endpoints, &busy);
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].endpoint, "engine-3");
}

#[test]
fn an_empty_engine_that_is_busy_may_be_loading_already() {
    let endpoints = engines(9, "");
    let busy = BTreeSet::from(["engine-1"]);
    let orders = plan_orders(&configuration(3), &endpoints, &busy);
    assert_eq!(kinds(&orders), ["load 2"; 2]);
}

#[test]
fn adapters_surplus_replicas_and_foreign_models_are_put_right() {
    let adapters = engines(3, "dispatch-8b 2 tow old");
    assert_eq!(plan(3, &adapters), ["unload adapter old"]);
    let bare = engines(3, "dispatch-8b 2");
    assert_eq!(plan(3, &bare), ["load adapter tow"]);
    let surplus = engines(3, "dispatch-8b 2 tow");
    assert_eq!(plan(2, &surplus), ["unload dispatch-8b"]);
    let mut foreign = engines(2, "dispatch-8b 2 tow");
    foreign.push(engine(3, "other 1"));
    assert_eq!(plan(2, &foreign), ["unload other"]);
}

#[test]
fn a_role_that_differs_is_changed_and_one_not_told_is_left() {
    let mut endpoints = engines(3, "dispatch-8b 2 tow");
    endpoints[0].role = Some("prefill".into());
    endpoints[1].role = None;
    assert_eq!(plan(3, &endpoints), ["role mixed"]);
}

#[test]
fn without_models_the_endpoints_keep_their_own() {
    let source = configuration_from_json(br#"{"pools": {"engines": {"kind": "generate"}}}"#);
    let endpoints = engines(3, "other 1");
    assert!(plan_orders(&source.unwrap(), &endpoints, &BTreeSet::new()).is_empty());
}
