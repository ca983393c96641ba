use std::sync::Weak;

use crate::gateway::gateway_node::GatewayNode;
use crate::prelude::*;

/// Interval between two probes of lost paths, one endpoint at a time: an entry costs endpoints
/// two connections a second at most, however many paths it has lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Finds out when lost paths are back, while there are any.
pub(in crate::gateway) async fn run(node: Weak<GatewayNode>) {
    loop {
        let Some(current) = node.upgrade() else {
            return;
        };
        match current.connector.take_probe() {
            Some(path) => {
                let view = current.view.load_full();
                let member = view.roster.member(&path.pool, &path.endpoint);
                current
                    .connector
                    .probe(&path, member.map(Arc::as_ref))
                    .await;
                drop(current);
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
            None => current.connector.until_path_lost().await,
        }
    }
}
