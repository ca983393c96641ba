use super::EndpointNetwork;
use crate::gateway::endpoint_call::{CallError, EndpointCall};
use crate::prelude::*;
use crate::registry::IncarnationToken;

/// Timeout of connecting to an endpoint. Within a region, a round trip takes 3 ms and accepting
/// 1 ms. TCP resends a lost first packet only after a second; another endpoint is tried long
/// before that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Connects this entry to endpoints.
#[derive(Debug)]
pub(in crate::gateway) struct EndpointConnector {
    network: Arc<dyn EndpointNetwork>,
}

impl EndpointConnector {
    pub(in crate::gateway) fn new(network: Arc<dyn EndpointNetwork>) -> Self {
        Self { network }
    }

    /// Connects to an incarnation of an endpoint. The connection breaks when that incarnation
    /// ends. An error means that nothing was sent.
    pub(in crate::gateway) async fn open(
        &self,
        address: SocketAddr,
        incarnation_token: &IncarnationToken,
    ) -> Result<EndpointCall, CallError> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, self.network.connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(CallError::Unsent(error.to_string())),
            Err(_) => return Err(CallError::Unsent("connecting timed out".into())),
        };
        if let Err(error) = stream.set_nodelay(true) {
            log_event!(debug, "nodelay_not_set", error = error);
        }
        EndpointCall::start(stream, incarnation_token).await
    }
}
