use serde::{Deserialize, Serialize};

/// How a stand-in treats the requests that come from now on.
///
/// On the wire it is `{"kind": "slow", "value": 10}`; see
/// docs/design/stand-ins.md for the faults that are events, not states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "value", rename_all = "snake_case")]
pub enum EndpointFault {
    /// As it should.
    #[default]
    None,
    /// Takes this many times as long.
    Slow(f64),
    /// Refuses and says that it ran nothing.
    Refuse,
    /// Runs the request, then answers with status 500.
    Fail,
    /// Breaks the connection in the middle of the answer.
    Cut,
    /// Ends the answer in the middle as if it were whole.
    CutShort,
    /// Sends neither a length nor chunks, and closes the connection in the middle of the answer.
    Unframed,
    /// Takes the request and never answers.
    Silent,
    /// Runs the request, then holds its answer back for this many milliseconds.
    Late(u64),
    /// Sends the answer twice; of a stream, each event.
    Twice,
    /// Answers for another attempt.
    Crossed,
}

impl EndpointFault {
    /// By how much the work takes longer.
    pub(crate) fn slowness(self) -> f64 {
        match self {
            Self::Slow(factor) => factor,
            Self::None
            | Self::Refuse
            | Self::Fail
            | Self::Cut
            | Self::CutShort
            | Self::Unframed
            | Self::Silent
            | Self::Late(_)
            | Self::Twice
            | Self::Crossed => 1.0,
        }
    }
}
