use super::{MemberIdentity, MembershipTiming};
use crate::prelude::*;

/// Failure detector for one member, by rounds of probes.
#[derive(Debug)]
pub(super) struct ProbeMonitor {
    identity: Arc<MemberIdentity>,
    round: Option<ProbeRound>,
    next_round: Instant,
    missed: u32,
}

#[derive(Debug)]
struct ProbeRound {
    number: u32,
    started: Instant,
    indirect: bool,
}

/// Probe that is due, with its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MonitorStep {
    /// Nothing is due.
    Wait,
    /// Probe directly.
    Probe(u32),
    /// Probe directly again and through others.
    ProbeIndirectly(u32),
}

impl ProbeMonitor {
    pub(super) fn new(identity: Arc<MemberIdentity>, first_round: Instant) -> Self {
        Self {
            identity,
            round: None,
            next_round: first_round,
            missed: 0,
        }
    }

    pub(super) fn identity(&self) -> &Arc<MemberIdentity> {
        &self.identity
    }

    /// Whether enough consecutive rounds were missed to suspect the member.
    pub(super) fn is_unresponsive(&self, timing: &MembershipTiming) -> bool {
        self.missed >= timing.missed_rounds
    }

    /// Returns the step that is due at `now`. If a round starts, it gets `number`.
    pub(super) fn step(
        &mut self,
        now: Instant,
        interval: Duration,
        timing: &MembershipTiming,
        number: u32,
    ) -> MonitorStep {
        if now >= self.next_round {
            self.missed += u32::from(self.round.is_some());
            self.next_round = now + interval;
            self.round = Some(ProbeRound {
                number,
                started: now,
                indirect: false,
            });
            return MonitorStep::Probe(number);
        }
        match &mut self.round {
            Some(round) if !round.indirect && now >= round.started + timing.probe_timeout => {
                round.indirect = true;
                MonitorStep::ProbeIndirectly(round.number)
            }
            Some(_) | None => MonitorStep::Wait,
        }
    }

    /// Ends the current round if it has this `number`, and returns whether it does.
    pub(super) fn acknowledge(&mut self, number: u32) -> bool {
        let is_current = self
            .round
            .as_ref()
            .is_some_and(|round| round.number == number);
        if is_current {
            self.round = None;
            self.missed = 0;
        }
        is_current
    }
}
