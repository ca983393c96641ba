//! Keys are taken away until the manifest has an empty list of tenants.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::fleet::{Fleet, Record, cannot_run, random};
use crate::http;
use crate::worker::{Kind, Worker};

/// `revokeMs` of the deployment.
const REVOKE: Duration = Duration::from_millis(5_000);
const REQUESTS: usize = 12;

fn manifest(version: u64, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"dispatch-ack","host":"pule25.example","pathPrefix":"/ack/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"dispatch-api","maxAttempts":1,"public":false,"sticky":false,"resumable":false}}],"services":[{{"name":"dispatch-api","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{tenants}]}}"#
    )
}

/// Sends requests with a key to all fronts; returns the ids and the statuses.
fn send_all(fleet: &Fleet, record: &Record, key: &str, text: &str) -> Vec<(String, u16)> {
    let mut sent = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("{:016x}", random().wrapping_add(number as u64));
        let headers = [
            ("Host", "pule25.example"),
            ("X-Request-Id", id.as_str()),
            ("X-Api-Key", key),
            ("X-Deadline-Remaining", "3000"),
        ];
        let front = fleet.front(number % fleet.fronts);
        let answer = http::call(
            front,
            "POST",
            "/ack/x",
            &headers,
            b"truck 7",
            Duration::from_secs(3),
        );
        let status = answer.map_or(0, |answer| answer.status);
        record.line(&format!(
            "client: {text}: request {id} to {front} is answered {status}"
        ));
        sent.push((id, status));
        thread::sleep(Duration::from_millis(2));
    }
    sent
}

pub fn run(root: &Path, folder: &Path, has_trouble: bool) -> bool {
    let record = Arc::new(Record::new(&folder.join("record.txt")));
    let mut fleet = Fleet::new(root, 5, 6);
    fleet.start_all();
    let first = r#"{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}"#;
    let second = r#"{"name":"vole112","apiKeys":["jnbanfqasnmgkcuyj8pj"],"priority":1}"#;
    if !fleet.publish(&manifest(7, &format!("{first},{second}")), &record) {
        cannot_run("the first manifest is not acknowledged");
    }
    record.line("operator: version 7 with the tenants bozi300 and vole112 is acknowledged");
    let zones = ["bole", "kality", "piassa"];
    let workers: Vec<Arc<Worker>> = (0..3)
        .map(|index| {
            let ip = fleet.worker_ip(index as u8);
            Worker::start(
                "dispatch-api",
                Kind::Application { work_ms: 60 },
                ip,
                zones[index],
                fleet.controls(),
                &record,
            )
        })
        .collect();
    if !fleet.wait_ready() {
        cannot_run("the fronts are not ready");
    }
    thread::sleep(Duration::from_secs(4));

    let has_run = |id: &str| {
        let runs =
            |worker: &Arc<Worker>| worker.runs.lock().unwrap().iter().any(|run| run.id == id);
        workers.iter().any(runs)
    };
    let count_run = |sent: &[(String, u16)]| sent.iter().filter(|(id, _)| has_run(id)).count();

    let with_first = send_all(&fleet, &record, "9dnn2ctnfzs989anu6ws", "key of bozi300");
    let with_second = send_all(&fleet, &record, "jnbanfqasnmgkcuyj8pj", "key of vole112");
    if count_run(&with_first) < REQUESTS || count_run(&with_second) < REQUESTS {
        cannot_run("requests with sound keys are not served");
    }
    if has_trouble {
        for (version, tenants) in [(9, second), (14, "")] {
            if !fleet.publish(&manifest(version, tenants), &record) {
                record.line(&format!("operator: version {version} is not acknowledged"));
                cannot_run("a manifest is not acknowledged");
            }
            record.line(&format!(
                "operator: version {version} with tenants [{tenants}] is acknowledged"
            ));
            thread::sleep(Duration::from_millis(1_500));
        }
    }
    thread::sleep(REVOKE + Duration::from_secs(1));
    let stranger = send_all(
        &fleet,
        &record,
        "neverheldbyanymanifes",
        "a key that no manifest held",
    );
    let with_first = send_all(
        &fleet,
        &record,
        "9dnn2ctnfzs989anu6ws",
        "key of bozi300, later",
    );
    let with_second = send_all(
        &fleet,
        &record,
        "jnbanfqasnmgkcuyj8pj",
        "key of vole112, later",
    );
    thread::sleep(Duration::from_millis(500));

    let strange_runs = count_run(&stranger);
    record.line(&format!(
        "check: {strange_runs} of {REQUESTS} requests ran whose key no manifest ever held"
    ));
    let mut is_kept = strange_runs == 0;
    if has_trouble {
        let revoked = count_run(&with_first) + count_run(&with_second);
        record.line(&format!(
            "check: {revoked} of {} requests ran whose key was taken away over revokeMs before",
            2 * REQUESTS
        ));
        is_kept &= revoked == 0;
    }
    println!("{strange_runs} requests ran with a key that no manifest ever held");
    is_kept
}
