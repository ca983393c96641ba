//! Orders: fencing numbers, repeats, and loads at the weight store's pace.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use savorywalk_standin::{OrderProgress, StandinOptions, WeightStore};
use serde_json::{Value, json};
use support::*;
use tokio::time::Instant;

fn order(id: &str, term: u64, index: u64, version: &str) -> Value {
    json!({
        "order_id": id, "fencing": {"term": term, "index": index},
        "action": "load", "model": "dispatch-8b", "version": version,
    })
}

fn done(server: &savorywalk_standin::EndpointServer, count: usize) -> bool {
    let state = server.order_state();
    let done = |progress| progress == OrderProgress::Done;
    state
        .orders
        .iter()
        .filter(|order| done(order.progress))
        .count()
        == count
}

#[tokio::test]
async fn an_order_with_an_older_number_is_refused_and_changes_nothing() {
    let server = start(engine()).await;
    let newer = post(&server, "/v1/orders", &order("b", 2, 7, "2")).await;
    assert_eq!(newer.status(), StatusCode::ACCEPTED);
    until("it is done", || done(&server, 1)).await;
    let older = post(&server, "/v1/orders", &order("a", 1, 9, "1")).await;
    assert_eq!(older.status(), StatusCode::CONFLICT);
    assert_eq!(json_body(older).await["error"]["kind"], "stale_fencing");
    let state = json_body(get(&server, "/v1/orders/state").await).await;
    assert_eq!(state["fencing"], json!({"term": 2, "index": 7}));
    assert_eq!(state["models"][0]["version"], "2");
    assert_eq!(state["orders"].as_array().unwrap().len(), 1);
}

#[tokio::test]
async fn an_endpoint_that_ignores_fencing_carries_out_an_old_order() {
    let options = StandinOptions {
        ignores_fencing: true,
        ..engine()
    };
    let server = start(options).await;
    post(&server, "/v1/orders", &order("b", 2, 7, "2")).await;
    until("the newer is done", || done(&server, 1)).await;
    let older = post(&server, "/v1/orders", &order("a", 1, 9, "1")).await;
    assert_eq!(older.status(), StatusCode::ACCEPTED);
    until("the older is done", || done(&server, 2)).await;
    assert_eq!(server.order_state().models[0].version, "1");
}

#[tokio::test]
async fn an_order_that_comes_twice_is_carried_out_once() {
    let server = start(engine()).await;
    for _ in 0..2 {
        let answer = post(&server, "/v1/orders", &order("a", 1, 1, "1")).await;
        assert_eq!(answer.status(), StatusCode::ACCEPTED);
    }
    assert_eq!(server.order_state().orders.len(), 1);
}

#[tokio::test]
async fn unload_and_role_orders_take_effect() {
    let options = StandinOptions {
        model: "dispatch-8b".into(),
        ..engine()
    };
    let server = start(options).await;
    let mut unload = order("u", 1, 1, "");
    unload["action"] = "unload".into();
    let mut role = order("r", 1, 2, "");
    role["action"] = "role".into();
    role["role"] = "prefill".into();
    post(&server, "/v1/orders", &unload).await;
    post(&server, "/v1/orders", &role).await;
    until("both are done", || done(&server, 2)).await;
    let state = server.order_state();
    assert_eq!((state.models.len(), state.role.as_str()), (0, "prefill"));
}

#[tokio::test(start_paused = true)]
async fn loads_that_run_at_once_share_the_weight_store() {
    let store = Arc::new(WeightStore::new(64 << 20));
    let started = Instant::now();
    let fetches = (0..2).map(|_| {
        let store = Arc::clone(&store);
        tokio::spawn(async move { store.fetch(128 << 20).await })
    });
    for fetch in fetches.collect::<Vec<_>>() {
        fetch.await.unwrap();
    }
    // By the paused clock: 256 MiB less the burst of one, at 64 MiB a second.
    let spent = started.elapsed();
    assert!(spent >= Duration::from_millis(3_984), "took {spent:?}");
    assert!(spent < Duration::from_secs(5), "took {spent:?}");
}
