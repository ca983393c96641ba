use rand::seq::IndexedRandom;

use super::membership_core::{INDIRECT_PROBES, send};
use super::probe_monitor::{MonitorStep, ProbeMonitor};
use super::region_bridge::RegionBridge;
use super::{MemberIdentity, MemberView, MembershipAction, MembershipCore, PeerGraph};
use crate::prelude::*;

/// Number of members of a region that are its bridges to another region.
const BRIDGES: usize = 2;

/// Probes of neighbours and of other regions.
impl MembershipCore {
    /// Monitors the neighbours in the current view, and keeps the monitors of those that were
    /// neighbours before.
    pub(super) fn update_monitors(&mut self, now: Instant) {
        self.topology_changed = false;
        let view = self.view();
        let region = view.region(&self.own.region);
        let neighbours = PeerGraph::neighbours(&self.own.name, region, self.timing.fan_out);
        let mut before = std::mem::take(&mut self.monitors);
        for identity in neighbours {
            let known = before
                .iter()
                .position(|monitor| *monitor.identity() == identity);
            let monitor = match known {
                Some(index) => before.swap_remove(index),
                None => ProbeMonitor::new(identity, self.random_start(now)),
            };
            self.monitors.push(monitor);
        }
        self.update_bridges(now, &view);
    }

    pub(super) fn update_bridges(&mut self, now: Instant, view: &MemberView) {
        let regions: BTreeSet<&Arc<str>> =
            view.live.iter().map(|identity| &identity.region).collect();
        let mut before = std::mem::take(&mut self.bridges);
        for region in regions {
            if *region == self.own.region {
                continue;
            }
            let ours = PeerGraph::ranked(region, view.region(&self.own.region));
            let rank = ours.iter().position(|identity| *identity == self.own);
            let Some(rank) = rank.filter(|rank| *rank < BRIDGES) else {
                continue;
            };
            let known = before.iter().position(|bridge| bridge.region == *region);
            let failed = known.map_or(0, |index| before[index].failed());
            let Some(target) = bridge_target(view, &self.own.region, region, rank + failed) else {
                continue;
            };
            let bridge = match known.map(|index| before.swap_remove(index)) {
                Some(bridge) if *bridge.monitor.identity() == target => bridge,
                Some(mut bridge) => {
                    bridge.monitor = ProbeMonitor::new(target, now);
                    bridge
                }
                None => {
                    let monitor = ProbeMonitor::new(target, self.random_start(now));
                    RegionBridge::new(Arc::clone(region), monitor)
                }
            };
            self.bridges.push(bridge);
        }
    }

    pub(super) fn probe_neighbours(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let mut monitors = std::mem::take(&mut self.monitors);
        for monitor in &mut monitors {
            let number = self.allocate_number();
            let step = monitor.step(now, self.timing.probe_interval, &self.timing, number);
            let identity = monitor.identity();
            match step {
                MonitorStep::Wait => {}
                MonitorStep::Probe(number) => self.probe(identity, number, actions),
                MonitorStep::ProbeIndirectly(number) => {
                    self.probe(identity, number, actions);
                    self.probe_through_others(identity, number, actions);
                }
            }
            if monitor.is_unresponsive(&self.timing) {
                self.suspect(now, identity, actions);
            }
        }
        self.monitors = monitors;
    }

    pub(super) fn probe(
        &mut self,
        identity: &MemberIdentity,
        number: u32,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mut message = self.message_with_updates(&identity.region);
        message.probe = number;
        self.add_receiver_record(&identity.name, &mut message);
        actions.push(send(&identity.name, &message));
    }

    pub(super) fn probe_through_others(
        &mut self,
        target: &MemberIdentity,
        number: u32,
        actions: &mut Vec<MembershipAction>,
    ) {
        let view = self.view();
        let candidates: Vec<_> = view
            .region(&self.own.region)
            .filter(|identity| identity.name != self.own.name && identity.name != target.name)
            .collect();
        let helpers: Vec<_> = candidates
            .sample(&mut self.random, INDIRECT_PROBES)
            .map(|identity| Arc::clone(&identity.name))
            .collect();
        for helper in helpers {
            let mut message = self.message();
            message.probe = number;
            message.probe_target = target.name.to_string();
            actions.push(send(&helper, &message));
        }
    }

    pub(super) fn probe_regions(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let mut bridges = std::mem::take(&mut self.bridges);
        for bridge in &mut bridges {
            let number = self.allocate_number();
            let interval = self.timing.bridge_interval;
            match bridge.monitor.step(now, interval, &self.timing, number) {
                MonitorStep::Wait => {}
                MonitorStep::Probe(number) | MonitorStep::ProbeIndirectly(number) => {
                    let identity = Arc::clone(bridge.monitor.identity());
                    self.probe(&identity, number, actions);
                }
            }
            if bridge.monitor.is_unresponsive(&self.timing) {
                self.try_next_target(now, bridge, actions);
            }
        }
        self.bridges = bridges;
    }

    pub(super) fn try_next_target(
        &mut self,
        now: Instant,
        bridge: &mut RegionBridge,
        actions: &mut Vec<MembershipAction>,
    ) {
        let view = self.view();
        let ours = PeerGraph::ranked(&bridge.region, view.region(&self.own.region));
        let rank = ours
            .iter()
            .position(|identity| *identity == self.own)
            .unwrap_or(0);
        let step = rank + bridge.failed() + 1;
        let target = bridge_target(&view, &self.own.region, &bridge.region, step);
        let target = target.unwrap_or_else(|| Arc::clone(bridge.monitor.identity()));
        if bridge.record_failure(ProbeMonitor::new(target, now)) {
            actions.push(MembershipAction::RegionReachable {
                region: Arc::clone(&bridge.region),
                reachable: false,
            });
        }
    }
}

/// Member of `region` that a bridge probes. All members of both regions compute the same
/// ranking, and `step` counts along it.
fn bridge_target(
    view: &MemberView,
    own_region: &str,
    region: &str,
    step: usize,
) -> Option<Arc<MemberIdentity>> {
    let theirs = PeerGraph::ranked(own_region, view.region(region));
    let index = step.checked_rem(theirs.len())?;
    Some(Arc::clone(&theirs[index]))
}
