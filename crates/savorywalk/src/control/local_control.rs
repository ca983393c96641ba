use std::sync::{Mutex, MutexGuard, PoisonError};

use super::{
    ControlAnswer, ControlBody, ControlCommand, ControlError, ControlQuery, ControlQuestion,
    ControlState, ControlVerdict, Result, StampClock,
};
use crate::configuration::ConfigurationSnapshot;

/// Control for a single process, without other replicas and without a disk.
///
/// Commands are applied in the order of their arrival. The state is lost when the
/// process ends.
#[derive(Debug)]
pub struct LocalControl {
    clock: StampClock,
    state: Mutex<ControlState>,
}

impl LocalControl {
    /// Control that starts with `configuration` in force.
    pub fn new(configuration: &ConfigurationSnapshot) -> Self {
        let source = configuration.source.clone();
        Self {
            clock: StampClock::default(),
            state: Mutex::new(ControlState::starting_at(configuration.version, source)),
        }
    }

    pub(super) fn propose(&self, body: ControlBody) -> Result<ControlVerdict> {
        let command = ControlCommand {
            stamp_ms: self.clock.now_ms(),
            body: Some(body),
        };
        let mut state = self.lock();
        let index = state.index() + 1;
        let outcome = state.apply(index, command).outcome;
        outcome.ok_or_else(|| ControlError::UnexpectedAnswer("nothing".into()))
    }

    pub(super) fn query(&self, question: ControlQuestion) -> Result<ControlAnswer> {
        let query = ControlQuery {
            query: Some(question),
        };
        let reply = self.lock().query(self.clock.now_ms(), &query).reply;
        reply.ok_or_else(|| ControlError::UnexpectedAnswer("nothing".into()))
    }

    fn lock(&self) -> MutexGuard<'_, ControlState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
