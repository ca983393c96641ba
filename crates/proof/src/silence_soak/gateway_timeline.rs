use savorywalk::prelude::*;

/// What was done to the processes of gateways, by position.
#[derive(Debug, Default)]
pub(super) struct GatewayTimeline {
    kills: Vec<(usize, Instant)>,
    stops: Vec<(usize, Instant)>,
    starts: Vec<(usize, Instant)>,
    freezes: Vec<GatewayFreeze>,
}

/// A time in which the process of a gateway is suspended.
#[derive(Clone, Copy, Debug)]
struct GatewayFreeze {
    gateway: usize,
    began: Instant,
    ended: Option<Instant>,
}

impl GatewayTimeline {
    pub(super) fn record_kill(&mut self, gateway: usize, now: Instant) {
        self.kills.push((gateway, now));
    }

    pub(super) fn record_stop(&mut self, gateway: usize, now: Instant) {
        self.stops.push((gateway, now));
    }

    /// Records that the process of a gateway was started again.
    pub(super) fn record_start(&mut self, gateway: usize, now: Instant) {
        self.starts.push((gateway, now));
    }

    /// Records a freeze, if none of the gateway lasts.
    pub(super) fn record_freeze(&mut self, gateway: usize, now: Instant) {
        if !self.frozen().contains(&gateway) {
            self.freezes.push(GatewayFreeze {
                gateway,
                began: now,
                ended: None,
            });
        }
    }

    /// Records the end of a freeze. A process that was asked to stop meanwhile begins to stop now.
    pub(super) fn record_thaw(&mut self, gateway: usize, now: Instant) {
        let lasting = self.freezes.iter();
        let lasting = lasting.filter(|freeze| freeze.gateway == gateway && freeze.ended.is_none());
        if let Some(began) = lasting.map(|freeze| freeze.began).min() {
            let stops = self.stops.iter_mut();
            for (_, at) in stops.filter(|(stopped, at)| *stopped == gateway && *at >= began) {
                *at = now;
            }
        }
        let freezes = self.freezes.iter_mut();
        let freezes = freezes.filter(|freeze| freeze.gateway == gateway);
        for freeze in freezes {
            freeze.ended.get_or_insert(now);
        }
    }

    /// Gateways whose freezes last.
    pub(super) fn frozen(&self) -> Vec<usize> {
        let lasting = self.freezes.iter().filter(|freeze| freeze.ended.is_none());
        lasting.map(|freeze| freeze.gateway).collect()
    }

    /// Whether the gateway was killed in `from..=to`.
    pub(super) fn is_killed(&self, gateway: usize, from: Instant, to: Instant) -> bool {
        let mut kills = self.kills.iter();
        kills.any(|(killed, at)| *killed == gateway && *at >= from && *at <= to)
    }

    /// Times at which the process that a gateway had at `sent` was asked to stop; it may be asked
    /// again.
    pub(super) fn stops(&self, gateway: usize, sent: Instant) -> impl Iterator<Item = Instant> {
        let starts = self.starts.iter();
        let starts = starts.filter(|(started, at)| *started == gateway && *at <= sent);
        let start = starts.map(|(_, at)| *at).max();
        let stops = self.stops.iter();
        let stops = stops.filter(move |(stopped, _)| *stopped == gateway);
        let stops = stops.map(|(_, at)| *at);
        stops.filter(move |at| start.is_none_or(|start| *at >= start))
    }

    /// Length of the gateway's freezes that lasted at some time in `from..=to`.
    pub(super) fn frozen_time(&self, gateway: usize, from: Instant, to: Instant) -> Duration {
        let freezes = self
            .freezes
            .iter()
            .filter(|freeze| freeze.gateway == gateway);
        let freezes = freezes
            .filter(|freeze| freeze.began <= to && freeze.ended.is_none_or(|ended| ended >= from));
        freezes
            .map(|freeze| freeze.ended.unwrap_or(to).max(freeze.began) - freeze.began)
            .sum()
    }
}
