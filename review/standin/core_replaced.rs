//! Machines of the core are replaced one after the other.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Record, cannot_run, random};
use crate::http;
use crate::worker::{Kind, Worker};

/// `catchUpS` of the deployment: a machine counts as lost for so long after it has started.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Pause between the removal of a machine and the start of its successor.
const SUCCESSOR: Duration = Duration::from_secs(1);
const REPLACEMENTS: u64 = 4;
/// How long the operator goes on asking at the end; `recoverS` is 12 s.
const LAST_READS: Duration = Duration::from_secs(25);
const REQUESTS: usize = 24;

fn manifest(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"status-ping","host":"pule25.example","pathPrefix":"/ping/","kind":"safe","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"dispatch-api","maxAttempts":2,"public":false,"sticky":false,"resumable":false}}],"services":[{{"name":"dispatch-api","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}}]}}"#
    )
}

/// Sends requests to all fronts; returns how many are served.
fn count_served(fleet: &Fleet, record: &Record) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        let id = format!("{:016x}", random().wrapping_add(number as u64));
        let headers = [
            ("Host", "pule25.example"),
            ("X-Request-Id", id.as_str()),
            ("X-Api-Key", "9dnn2ctnfzs989anu6ws"),
            ("X-Deadline-Remaining", "3000"),
        ];
        let front = fleet.front(number % fleet.fronts);
        let answer = http::call(
            front,
            "GET",
            "/ping/x",
            &headers,
            b"",
            Duration::from_secs(3),
        );
        let status = answer.map_or(0, |answer| answer.status);
        record.line(&format!(
            "client: request {id} to {front} is answered {status}"
        ));
        served += usize::from(status == 200);
        thread::sleep(Duration::from_millis(20));
    }
    served
}

/// Reads the manifest back as the operator does, at each daemon of the core in turn.
fn read_back(fleet: &Fleet, record: &Record, limit: Duration) -> Option<String> {
    let start = Instant::now();
    let (mut calls, mut last) = (0, String::new());
    while start.elapsed() < limit {
        for control in fleet.controls() {
            let answer = http::call(
                control,
                "GET",
                "/config/get",
                &[],
                b"",
                Duration::from_secs(1),
            );
            calls += 1;
            match answer {
                Some(answer) if answer.status == 200 => {
                    return Some(String::from_utf8_lossy(&answer.body).into());
                }
                Some(answer) => {
                    last = format!(
                        "{} {}",
                        answer.status,
                        String::from_utf8_lossy(&answer.body)
                    )
                }
                None => last = "no answer".into(),
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.line(&format!(
        "operator: {calls} reads of the manifest in {limit:?} bring none; the last answer: {last}"
    ));
    None
}

pub fn run(root: &Path, folder: &Path, has_trouble: bool) -> bool {
    let record = Arc::new(Record::new(&folder.join("record.txt")));
    let mut fleet = Fleet::new(root, 5, 6);
    fleet.start_all();
    if !fleet.publish(&manifest(7), &record) {
        cannot_run("the first manifest is not acknowledged");
    }
    record.line("operator: version 7 is acknowledged");
    let zones = ["bole", "kality", "piassa"];
    // Workers find control by the list of the core as it was, and by `heartbeatAddress`.
    let workers: Vec<Arc<Worker>> = (0..3)
        .map(|index| {
            Worker::start(
                "dispatch-api",
                Kind::Application { work_ms: 60 },
                fleet.worker_ip(index as u8),
                zones[index],
                fleet.controls(),
                &record,
            )
        })
        .collect();
    if !fleet.wait_ready() {
        cannot_run("the fronts are not ready");
    }
    thread::sleep(Duration::from_secs(6));
    if count_served(&fleet, &record) < REQUESTS {
        cannot_run("requests are not served at the start");
    }
    let mut newest = 7;
    for number in 1..=REPLACEMENTS {
        newest = 7 + number;
        if !fleet.publish(&manifest(newest), &record) {
            cannot_run("a manifest is not acknowledged before the last replacement");
        }
        record.line(&format!("operator: version {newest} is acknowledged"));
        if has_trouble {
            let Some(leader) = fleet.leader() else {
                cannot_run("no leader is known")
            };
            fleet.remove(leader);
            record.line(&format!(
                "platform: {} is removed for good ({number} of {REPLACEMENTS})",
                fleet.name(leader)
            ));
            thread::sleep(SUCCESSOR);
            let added = fleet.add_core();
            record.line(&format!(
                "platform: {} is added with an empty disk at another address",
                fleet.name(added)
            ));
        } else {
            thread::sleep(SUCCESSOR);
        }
        thread::sleep(CATCH_UP + Duration::from_millis(500));
    }
    record.line(&format!(
        "check: {} machines of the core run",
        fleet.core_indexes().len()
    ));
    let read = read_back(&fleet, &record, LAST_READS);
    let is_read = read.as_ref().is_some_and(|text| *text == manifest(newest));
    record.line(&format!(
        "check: the operator reads version {newest} back: {is_read}"
    ));
    let served = count_served(&fleet, &record);
    record.line(&format!(
        "check: {served} of {REQUESTS} requests are served at the end"
    ));
    println!("manifest read back: {is_read}; {served} of {REQUESTS} requests served at the end");
    drop(workers);
    is_read
}
