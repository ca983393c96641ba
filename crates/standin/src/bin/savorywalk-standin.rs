//! Runs the stand-ins of a deployment as one process, for trials by hand and
//! for benches: engines, stage pools and plain services on loopback.

use std::net::SocketAddr;
use std::sync::Arc;

use savorywalk_standin::{AnnounceTarget, Deployment, EndpointServer, start_announcer, token_for};
use tokio::signal::unix::{SignalKind, signal};

use arguments::SavorywalkStandin;

mod arguments {
    #![allow(missing_docs, unreachable_pub, reason = "the macro writes these items")]

    xflags::xflags! {
        /// Runs the stand-ins of a deployment on loopback until SIGTERM or Ctrl-C.
        cmd savorywalk-standin {
            /// Deployment: roadside or airport.
            required --deployment name: String
            /// Address of an entry's listener for endpoints; may be repeated.
            repeated --entry address: String
        }
    }
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    savorywalk::telemetry::init_logging("info");
    let arguments = SavorywalkStandin::from_env_or_exit();
    let deployment = Deployment::from_name(&arguments.deployment);
    let deployment = deployment.ok_or("no such deployment; use roadside or airport")?;
    let mut entries = Vec::new();
    for address in &arguments.entry {
        entries.push(address.parse::<SocketAddr>()?);
    }
    let target = AnnounceTarget {
        entries,
        token: token_for("endpoint"),
        everywhere: true,
        address: None,
    };
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut servers = Vec::new();
    for planned in deployment.plan().endpoints {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Arc::new(EndpointServer::start(planned.options, address).await?);
        start_announcer(&server, target.clone());
        servers.push(server);
    }
    log::info!("event=standins_ready count={}", servers.len());
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
