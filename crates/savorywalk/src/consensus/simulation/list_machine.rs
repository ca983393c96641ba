use crate::prelude::*;

/// A replicated state machine that stores every command in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct ListMachine {
    pub(super) commands: Vec<u64>,
}

impl ListMachine {
    pub(super) fn apply(&mut self, payload: &[u8]) {
        self.commands.push(command(payload));
    }

    pub(super) fn snapshot(&self) -> Bytes {
        let bytes = self
            .commands
            .iter()
            .flat_map(|command| command.to_le_bytes());
        bytes.collect::<Vec<u8>>().into()
    }

    pub(super) fn restore(state: &[u8]) -> Self {
        let commands = state.chunks(8).map(command).collect();
        Self { commands }
    }
}

fn command(payload: &[u8]) -> u64 {
    u64::from_le_bytes(payload.try_into().unwrap())
}
