use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::AUTHORIZATION;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use savorywalk::directory::EndpointAnnouncement;
use tokio::task::JoinHandle;

use crate::EndpointServer;
use crate::lagged_report::LaggedReport;

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
    /// Address to announce in place of the stand-in's own one, such as that of a proxy.
    pub address: Option<SocketAddr>,
}

/// Announces `server` until it is gone or the task is aborted.
pub fn start_announcer(server: &Arc<EndpointServer>, target: AnnounceTarget) -> JoinHandle<()> {
    let announcer = EndpointAnnouncer::new(server, target);
    tokio::spawn(announcer.run())
}

struct EndpointAnnouncer {
    server: Arc<EndpointServer>,
    target: AnnounceTarget,
    client: Client<HttpConnector, Full<Bytes>>,
    incarnation: u64,
    report: LaggedReport,
}

impl EndpointAnnouncer {
    fn new(server: &Arc<EndpointServer>, target: AnnounceTarget) -> Self {
        let started = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            server: Arc::clone(server),
            target,
            client: Client::builder(TokioExecutor::new()).build_http(),
            incarnation: started.unwrap_or_default().as_micros() as u64,
            report: LaggedReport::default(),
        }
    }

    async fn run(mut self) {
        let server = Arc::clone(&self.server);
        let mut ticks = tokio::time::interval(server.options().announcement.interval);
        for sequence in 1_u64.. {
            tokio::select! {
                _ = ticks.tick() => {}
                () = server.endpoint.change_notify.notified() => {}
                () = server.gone() => return,
            }
            let announcement = self.announcement(sequence);
            let Ok(body) = serde_json::to_vec(&announcement) else {
                continue;
            };
            let body = Bytes::from(body);
            for entry in chosen(&self.target, sequence) {
                self.send(entry, body.clone()).await;
            }
        }
    }

    fn announcement(&mut self, sequence: u64) -> EndpointAnnouncement {
        let endpoint = &self.server.endpoint;
        let options = &endpoint.options;
        let (now, lags) = (Instant::now(), &options.announcement);
        self.report.record_load(now, endpoint.load());
        let events = endpoint.engine.take_cache_events();
        self.report.record_events(now, events, lags);
        EndpointAnnouncement {
            endpoint: options.name.clone(),
            address: self.target.address.unwrap_or_else(|| self.server.address()),
            pool: options.pool.clone(),
            data_center: options.data_center.clone(),
            incarnation: self.incarnation,
            sequence,
            state: endpoint.state(),
            lease_ms: lags.lease.as_millis() as u32,
            models: endpoint.desk().state().models.clone(),
            load: self.report.load(now, lags.load_lag),
            slots: options.slots,
            cache_events: self.report.events(now, lags.cache_lag),
        }
    }

    async fn send(&self, entry: SocketAddr, body: Bytes) {
        let request = Request::post(format!("http://{entry}/v1/endpoints"))
            .header(AUTHORIZATION, format!("Bearer {}", self.target.token))
            .body(Full::new(body));
        let Ok(request) = request else { return };
        match self.client.request(request).await {
            Ok(response) if response.status().is_success() => {}
            Ok(response) => log::warn!(
                "event=announcement_refused entry={entry} status={}",
                response.status().as_u16()
            ),
            Err(error) => log::warn!("event=announcement_failed entry={entry} error={error:?}"),
        }
    }
}

fn chosen(target: &AnnounceTarget, sequence: u64) -> Vec<SocketAddr> {
    if target.everywhere || target.entries.is_empty() {
        return target.entries.clone();
    }
    vec![target.entries[sequence as usize % target.entries.len()]]
}
