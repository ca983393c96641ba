use std::sync::{Mutex, PoisonError};

use super::*;
use crate::quarantine::EndpointCrash;

fn digest(number: u8) -> Bytes {
    Bytes::from(vec![number; 16])
}

fn report(endpoint: &str, number: u8) -> QuarantineCommand {
    QuarantineCommand {
        crashes: vec![EndpointCrash {
            endpoint: endpoint.into(),
            digests: vec![digest(number)],
            prompts: Vec::new(),
        }],
        ..Default::default()
    }
}

/// All entries of a deployment report the same crashes at the same time.
#[tokio::test(start_paused = true)]
async fn concurrent_reports_are_merged_into_one_command() {
    let (batcher, reports) = QuarantineBatcher::new();
    let decided = Arc::new(Mutex::new(Vec::new()));
    let commands = Arc::clone(&decided);
    let batch_task = tokio::spawn(decide_batches(reports, move |command| {
        let mut decided = commands.lock().unwrap_or_else(PoisonError::into_inner);
        decided.push(command);
        async { Some(QuarantineOutcome::default()) }
    }));
    let entries = (0..191).map(|entry| {
        let batcher = batcher.clone();
        async move {
            batcher
                .submit(report(&format!("e-{}", entry % 2), entry))
                .await
        }
    });
    let outcomes = futures::future::join_all(entries).await;
    assert!(outcomes.iter().all(Option::is_some));
    let decided = decided.lock().unwrap_or_else(PoisonError::into_inner);
    assert_eq!(decided.len(), 1);
    assert_eq!(decided[0].crashes.len(), 2);
    assert_eq!(count_digests(&decided[0]), 191);
    batch_task.abort();
}

#[tokio::test(start_paused = true)]
async fn an_undecided_report_returns_none() {
    let (batcher, reports) = QuarantineBatcher::new();
    let batch_task = tokio::spawn(decide_batches(reports, |_| async { None }));
    assert_eq!(batcher.submit(report("e", 1)).await, None);
    batch_task.abort();
}

#[test]
fn malformed_reports_are_invalid() {
    assert!(is_valid(&report("e", 1)));
    assert!(!is_valid(&report("", 1)));
    assert!(!is_valid(&report(&"e".repeat(300), 1)));
    let mut short_digest = report("e", 1);
    short_digest.answered.push(Bytes::from_static(b"short"));
    assert!(!is_valid(&short_digest));
    let mut many_digests = report("e", 1);
    many_digests.refused = vec![digest(2); MAX_SUSPECTS];
    assert!(!is_valid(&many_digests));
    let with_forget = QuarantineCommand {
        forget_through: 9,
        ..report("e", 1)
    };
    assert!(!is_valid(&with_forget));
}
