//! Every metric is there from the start and has its place on the operators' page.

#![allow(clippy::unwrap_used, reason = "test code: a failure should panic")]

mod support;

use std::path::Path;

use support::held_engine::HeldEngine;
use support::http_call::ListenerKind::Operators;
use support::serve_test::{ServeProcess, ServeTest};

async fn metrics(daemon: &ServeProcess) -> String {
    daemon.call(Operators, "GET", "/metrics").send().await.body
}

async fn served() -> ServeProcess {
    let daemon = ServeTest::new().start();
    let engine = HeldEngine::start().await;
    engine.release();
    for pool in ["engines", "crew-roster"] {
        engine.announce(&daemon, pool).await;
    }
    assert_eq!(daemon.post("draft").send().await.status, 200);
    assert_eq!(daemon.post("fly").send().await.status, 404);
    daemon
}

#[tokio::test]
async fn gauges_tell_what_the_daemon_holds() {
    let metrics = metrics(&served().await).await;
    for line in [
        "savorywalk_ready 1",
        "savorywalk_requests_in_progress 0",
        "savorywalk_configuration_version 1",
        "savorywalk_build_info{version=\"0.1.0\"} 1",
        "savorywalk_endpoints{pool=\"engines\",state=\"serving\"} 1",
        "savorywalk_endpoints{pool=\"engines\",state=\"leaving\"} 0",
        "savorywalk_endpoints{pool=\"encoders\",state=\"serving\"} 0",
        "savorywalk_api_calls_total{listener=\"callers\",outcome=\"ok\"} 1",
        "savorywalk_api_calls_total{listener=\"callers\",outcome=\"not_found\"} 1",
        "savorywalk_requests_total{outcome=\"answered\",pipeline=\"draft\"} 1",
    ] {
        assert!(
            metrics.lines().any(|found| found == line),
            "no {line} in\n{metrics}"
        );
    }
}

#[tokio::test]
async fn every_metric_is_on_the_operators_page() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators/monitoring.md");
    let page = std::fs::read_to_string(page).unwrap();
    let metrics = metrics(&served().await).await;
    let names = metrics
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .filter_map(|line| line.split(' ').next());
    for name in names {
        assert!(
            page.contains(&format!("`{name}`")),
            "{name} is not in monitoring.md"
        );
    }
}
