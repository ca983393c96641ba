use super::{MemberIdentity, MemberState};
use crate::prelude::*;

/// Input to the membership state machine of one daemon.
#[derive(Clone, Copy, Debug)]
pub enum MembershipEvent<'a> {
    /// Time has passed. Expected every 100 to 200 ms.
    Tick,
    /// A message was received.
    Received {
        /// Name of the sender, as its certificate states it.
        from: &'a str,
        /// The encoded message.
        payload: &'a [u8],
    },
    /// This daemon is about to stop.
    Leave,
}

/// Output of the membership state machine, which its caller carries out.
#[derive(Clone, Debug)]
pub enum MembershipAction {
    /// Send a message. The protocol tolerates its loss.
    Send {
        /// Name of the receiver.
        to: Arc<str>,
        /// The encoded message.
        payload: Bytes,
    },
    /// The state of a member has changed, so a new view has to be published.
    Changed {
        /// Identity of the member.
        identity: Arc<MemberIdentity>,
        /// Its new state.
        state: MemberState,
    },
    /// Another region can no longer be reached, or can be reached again.
    RegionReachable {
        /// Name of the other region.
        region: Arc<str>,
        /// Whether one of its members answers this daemon's probes.
        reachable: bool,
    },
}
