use savorywalk::prelude::*;

use super::call_once;

/// Interval between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// Announces an endpoint of `pool` to the first registry that answers, until it is cancelled.
pub(crate) async fn announce(
    pool: &str,
    name: String,
    address: SocketAddr,
    registries: Vec<SocketAddr>,
) {
    for sequence in 1_u64.. {
        let report = format!(
            r#"{{"service":"{pool}","address":"{address}","zone":"z","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"sequence":{sequence}}}"#
        );
        let line = format!("POST /instances/{name}/heartbeat");
        for registry in &registries {
            let answer = call_once(*registry, &line, &report).await;
            if answer.is_some_and(|answer| answer.status == 200) {
                break;
            }
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
