use std::net::SocketAddrV4;

use super::{GatewayError, Result};
use crate::api::{ClientIntake, HttpHandler, HttpServer};
use crate::prelude::*;
use crate::settings::{ClusterSettings, ListenerSettings};
use crate::transport::{LinkHub, LinkOptions, PeerName};

/// Control traffic budget of a daemon, in bytes per second. Each entry polls twice a second;
/// the full table of 200 endpoints sent to a daemon that has just started is 20 KB.
const LINK_BUDGET_BYTES_PER_SECOND: u32 = 1_000_000;

/// Time allowed for a request to arrive on an open connection. Documents limit it to 15 s and
/// callers use four fifths of that, so the server never closes a connection first.
const REQUEST_TIMEOUT_MS: u32 = 20_000;

/// Maximum request body size; the document in force may set a lower limit.
const MAX_BODY_BYTES: u32 = 16 << 20;

/// Maximum request head size where no document sets another limit.
const MAX_HEAD_BYTES: u32 = 16 << 10;

/// Time allowed to notify peers that links are closing: many round trips in a region, and only
/// part of the time left for a stop.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(150);

/// Starts the links of a daemon that peers identify by its address.
pub(super) fn start(settings: &ClusterSettings) -> Result<LinkHub> {
    let address = parse("cluster", "address", &settings.address)?;
    Ok(LinkHub::start(LinkOptions::by_address(
        address,
        LINK_BUDGET_BYTES_PER_SECOND,
    ))?)
}

/// Starts the links between entries, which are used occasionally.
pub(super) fn start_occasional(settings: &ClusterSettings) -> Result<LinkHub> {
    let address = parse("cluster", "address", &settings.address)?;
    Ok(LinkHub::start(LinkOptions::occasional(
        address,
        LINK_BUDGET_BYTES_PER_SECOND,
    ))?)
}

/// Starts additional links for a daemon that only dials out over them.
pub(super) fn start_dialler(settings: &ClusterSettings) -> Result<LinkHub> {
    let address = parse("cluster", "address", &settings.address)?;
    Ok(LinkHub::start(LinkOptions::dialler(
        address,
        LINK_BUDGET_BYTES_PER_SECOND,
    ))?)
}

/// Closes the links of a daemon that stops. Peers that are not notified treat the daemon as
/// silent for a second, and hold calls for its successor at the same address.
pub(super) async fn close(hub: LinkHub) {
    if tokio::time::timeout(CLOSE_TIMEOUT, hub.close())
        .await
        .is_err()
    {
        log_event!(debug, "links_closed_unheard");
    }
}

/// Returns the names of the registry daemons listed as seeds in the settings.
pub(super) fn seeds(settings: &ClusterSettings) -> Result<Vec<PeerName>> {
    let seeds = settings.seeds.iter();
    seeds
        .map(|seed| Ok(PeerName::from_ip(*parse("cluster", "seeds", seed)?.ip())))
        .collect()
}

/// Returns the settings of a listener at `address`.
fn listener_settings(address: &str, max_connections: u32) -> ListenerSettings {
    ListenerSettings {
        address: address.to_string(),
        max_connections,
        max_body_bytes: MAX_BODY_BYTES,
        max_header_bytes: MAX_HEAD_BYTES,
        header_timeout_ms: REQUEST_TIMEOUT_MS,
        body_timeout_ms: REQUEST_TIMEOUT_MS,
        ..Default::default()
    }
}

fn parse(section: &'static str, key: &'static str, value: &str) -> Result<SocketAddrV4> {
    value.parse().map_err(|_| GatewayError::BadSetting {
        section,
        key,
        value: value.to_string(),
        remedy: "write an IPv4 number and a port",
    })
}

/// Opens a listener at `address` whose calls `handler` answers.
pub(super) async fn listen<S: HttpHandler>(
    address: &str,
    handler: S,
    intake: &ClientIntake,
    max_connections: u32,
) -> Result<HttpServer> {
    let bound = HttpServer::bind(&listener_settings(address, max_connections)).await;
    let bound = bound.map_err(|error| GatewayError::Listen {
        address: address.to_string(),
        reason: error.to_string(),
    })?;
    Ok(bound.serve(handler, intake.clone()))
}

#[cfg(test)]
#[path = "cluster_hub_tests.rs"]
mod tests;
