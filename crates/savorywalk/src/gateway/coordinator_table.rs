use crate::prelude::*;
use crate::transport::{LinkError, PeerName};

/// Time for which an unresponsive entry is avoided; by then the registry has reported whether
/// it has left the cluster.
pub(super) const AVOID_TIME: Duration = Duration::from_secs(3);

/// Interval between probes of an avoided entry.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Why a call to a coordinator has brought nothing, and what that says about the coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CoordinatorFailure {
    pub(super) evidence: FailureEvidence,
    pub(super) reason: String,
}

/// What a failed call says about its coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailureEvidence {
    /// Its link was lost or refused the call, or its answer can't be used.
    Lost,
    /// It has not even acknowledged the call.
    Silent,
    /// It has received the call, and has not answered in time.
    Late,
}

/// What is known to be wrong with a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SuspectState {
    /// It was late once. It keeps its work unless it fails to answer a probe.
    Doubted,
    /// It gets no work from this entry.
    Avoided { until: Instant },
}

/// What follows from a probe that was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeVerdict {
    /// The coordinator is avoided from now on.
    Lost,
    /// It stays avoided.
    Avoided,
    /// It may be used again, and is not probed any more.
    Expired,
}

/// Decides which coordinators this entry avoids. A state machine without I/O.
///
/// A coordinator that does not acknowledge a call may have crashed, and is avoided at once. One
/// that acknowledges it runs and can be reached; one late answer does not show that it is of no
/// use for other work. Two entries that coordinate the same shard interfere with each other, so
/// it is avoided only if it answers no probe either.
#[derive(Debug, Default)]
pub(super) struct CoordinatorTable {
    suspects: FastMap<PeerName, SuspectState>,
}

impl From<LinkError> for CoordinatorFailure {
    fn from(error: LinkError) -> Self {
        let evidence = match &error {
            LinkError::TimedOut { acknowledged, .. } => match acknowledged {
                true => FailureEvidence::Late,
                false => FailureEvidence::Silent,
            },
            LinkError::Load(_)
            | LinkError::Bind { .. }
            | LinkError::UnknownPeer(_)
            | LinkError::Name(_)
            | LinkError::Certificate { .. }
            | LinkError::Unreachable { .. }
            | LinkError::Lost { .. }
            | LinkError::TooLarge { .. }
            | LinkError::QueueFull { .. }
            | LinkError::Refused { .. }
            | LinkError::Malformed { .. }
            | LinkError::TooManyPeers(_)
            | LinkError::Closed => FailureEvidence::Lost,
        };
        Self {
            evidence,
            reason: error.to_string(),
        }
    }
}

impl From<prost::DecodeError> for CoordinatorFailure {
    fn from(error: prost::DecodeError) -> Self {
        Self::unusable(&error.to_string())
    }
}

impl CoordinatorFailure {
    /// The failure of a call whose answer can't be used.
    pub(super) fn unusable(reason: &str) -> Self {
        Self {
            evidence: FailureEvidence::Lost,
            reason: reason.to_string(),
        }
    }
}

impl FailureEvidence {
    /// Name of the evidence in logs.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Lost => "lost",
            Self::Silent => "silent",
            Self::Late => "late",
        }
    }
}

impl CoordinatorTable {
    /// Records that a call to an entry has failed. Returns the delay until its first probe if it
    /// is not probed yet.
    pub(super) fn record_failure(
        &mut self,
        now: Instant,
        entry: &PeerName,
        evidence: FailureEvidence,
    ) -> Option<Duration> {
        let avoided = SuspectState::Avoided {
            until: now + AVOID_TIME,
        };
        let (state, delay) = match evidence {
            FailureEvidence::Late => (SuspectState::Doubted, Duration::ZERO),
            FailureEvidence::Silent => (avoided, Duration::ZERO),
            FailureEvidence::Lost => (avoided, PROBE_INTERVAL),
        };
        let Some(known) = self.suspects.get_mut(entry) else {
            self.suspects.insert(entry.clone(), state);
            return Some(delay);
        };
        match state {
            SuspectState::Doubted => {}
            SuspectState::Avoided { .. } => *known = state,
        }
        None
    }

    /// Records that an entry has answered a probe.
    pub(super) fn record_answer(&mut self, entry: &PeerName) {
        self.suspects.remove(entry);
    }

    /// Records that an entry has not answered a probe.
    pub(super) fn record_unanswered(&mut self, now: Instant, entry: &PeerName) -> ProbeVerdict {
        match self.suspects.get_mut(entry) {
            Some(state @ SuspectState::Doubted) => {
                let until = now + AVOID_TIME;
                *state = SuspectState::Avoided { until };
                ProbeVerdict::Lost
            }
            Some(SuspectState::Avoided { until }) if now < *until => ProbeVerdict::Avoided,
            Some(SuspectState::Avoided { .. }) | None => {
                self.suspects.remove(entry);
                ProbeVerdict::Expired
            }
        }
    }

    /// Whether an entry gets no work from this one.
    pub(super) fn is_avoided(&self, now: Instant, entry: &PeerName) -> bool {
        match self.suspects.get(entry) {
            Some(SuspectState::Avoided { until }) => now < *until,
            Some(SuspectState::Doubted) | None => false,
        }
    }
}

#[cfg(test)]
#[path = "coordinator_table_tests.rs"]
mod tests;
