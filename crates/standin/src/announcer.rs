use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::AUTHORIZATION;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use savorywalk::directory::{EndpointAnnouncement, EndpointLoad, EndpointState, ModelEntry};
use tokio::task::JoinHandle;

use crate::{EndpointServer, StandinOptions};

const LEASE_MS: u32 = 3_000;
const INTERVAL: Duration = Duration::from_millis(1_000);

/// Where a stand-in announces itself: in turn to each entry, as behind the
/// platform's balancer.
#[derive(Clone, Debug)]
pub struct AnnounceTarget {
    /// Addresses of the entries' listeners for endpoints.
    pub entries: Vec<SocketAddr>,
    /// Bearer token of an endpoint credential.
    pub token: String,
    /// True to announce to every entry each time rather than to one in turn.
    pub everywhere: bool,
}

/// Announces `server` until the task is aborted.
pub fn start_announcer(
    server: &std::sync::Arc<EndpointServer>,
    target: AnnounceTarget,
) -> JoinHandle<()> {
    let server = std::sync::Arc::clone(server);
    tokio::spawn(async move {
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let incarnation = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let mut ticks = tokio::time::interval(INTERVAL);
        for sequence in 1_u64.. {
            ticks.tick().await;
            let running = server.counts().running.load(Ordering::SeqCst) as u32;
            let announcement = EndpointAnnouncement {
                incarnation: incarnation.as_micros() as u64,
                sequence,
                ..announcement(server.options(), server.address(), running)
            };
            let Ok(body) = serde_json::to_vec(&announcement) else {
                continue;
            };
            for entry in chosen(&target, sequence) {
                let request = Request::post(format!("http://{entry}/v1/endpoints"))
                    .header(AUTHORIZATION, format!("Bearer {}", target.token))
                    .body(Full::new(Bytes::from(body.clone())));
                let Ok(request) = request else { continue };
                match client.request(request).await {
                    Ok(response) if response.status().is_success() => {}
                    Ok(response) => {
                        log::warn!(
                            "event=announcement_refused entry={entry} status={}",
                            response.status().as_u16()
                        );
                    }
                    Err(error) => {
                        log::warn!("event=announcement_failed entry={entry} error={error:?}")
                    }
                }
            }
        }
    })
}

fn chosen(target: &AnnounceTarget, sequence: u64) -> Vec<SocketAddr> {
    if target.everywhere || target.entries.is_empty() {
        return target.entries.clone();
    }
    vec![target.entries[sequence as usize % target.entries.len()]]
}

fn announcement(
    options: &StandinOptions,
    address: SocketAddr,
    running: u32,
) -> EndpointAnnouncement {
    let models = match options.model.as_str() {
        "" => Vec::new(),
        name => vec![ModelEntry {
            name: name.into(),
            version: "1".into(),
            adapters: Vec::new(),
        }],
    };
    EndpointAnnouncement {
        endpoint: options.name.clone(),
        address,
        pool: options.pool.clone(),
        data_center: options.data_center.clone(),
        incarnation: 0,
        sequence: 0,
        state: EndpointState::Serving,
        lease_ms: LEASE_MS,
        models,
        load: EndpointLoad { running, queued: 0 },
        slots: options.slots,
        cache_events: Vec::new(),
    }
}
