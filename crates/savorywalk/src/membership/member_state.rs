use crate::generated::membership as messages;

/// State of a member as another member sees it. Within one incarnation, a later state in this
/// order overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed its probes and has not refuted the suspicion yet.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Announced that it stops.
    Left,
}

impl MemberState {
    /// Whether the member is alive or only suspected, so that messages are still sent to it.
    pub fn is_live(self) -> bool {
        match self {
            Self::Alive | Self::Suspect => true,
            Self::Dead | Self::Left => false,
        }
    }

    pub(super) fn to_message(self) -> messages::MemberState {
        match self {
            Self::Alive => messages::MemberState::Alive,
            Self::Suspect => messages::MemberState::Suspect,
            Self::Dead => messages::MemberState::Dead,
            Self::Left => messages::MemberState::Left,
        }
    }

    pub(super) fn from_message(state: messages::MemberState) -> Option<Self> {
        match state {
            messages::MemberState::Unspecified => None,
            messages::MemberState::Alive => Some(Self::Alive),
            messages::MemberState::Suspect => Some(Self::Suspect),
            messages::MemberState::Dead => Some(Self::Dead),
            messages::MemberState::Left => Some(Self::Left),
        }
    }
}
