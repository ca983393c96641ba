use super::LinkClass;
use crate::generated::link::Channel;
use crate::prelude::*;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// Which part of the system a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LinkChannel {
    /// The replicated log.
    Consensus,
    /// Configuration versions, patches and claims.
    Control,
    /// Heartbeats between daemons.
    Membership,
    /// Endpoints' announcements and load.
    Directory,
    /// Work that one entry has another gather with its own.
    Work,
}

/// What one peer may send on a channel; more is refused by the receiver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceiveLimit {
    /// Messages and calls a second, sustained.
    pub messages_per_second: f64,
    /// Bytes a second, sustained.
    pub bytes_per_second: f64,
}

impl LinkChannel {
    /// Every channel.
    pub const ALL: [Self; 5] = [
        Self::Consensus,
        Self::Control,
        Self::Membership,
        Self::Directory,
        Self::Work,
    ];

    /// Place of the channel in tables.
    pub const fn index(self) -> usize {
        match self {
            Self::Consensus => 0,
            Self::Control => 1,
            Self::Membership => 2,
            Self::Directory => 3,
            Self::Work => 4,
        }
    }

    /// Largest one-way message or request of a call, in bytes.
    pub const fn max_message_bytes(self) -> usize {
        match self {
            Self::Consensus => 4 * MIB,
            Self::Control => MIB,
            Self::Membership => 64 * KIB,
            Self::Directory | Self::Work => 256 * KIB,
        }
    }

    /// Largest answer to a call, in bytes. A whole configuration of 1,500
    /// workspaces goes in one answer.
    pub const fn max_reply_bytes(self) -> usize {
        match self {
            Self::Consensus => 4 * MIB,
            Self::Control => 8 * MIB,
            Self::Membership => 64 * KIB,
            Self::Directory | Self::Work => 256 * KIB,
        }
    }

    /// What one peer may send. The log's own traffic comes from a few voters;
    /// all else is far under it when the senders keep their budget.
    pub const fn receive_limit(self) -> ReceiveLimit {
        let (messages_per_second, bytes_per_second) = match self {
            Self::Consensus => (100_000.0, (256 * MIB) as f64),
            Self::Control => (5_000.0, (16 * MIB) as f64),
            Self::Membership => (1_000.0, MIB as f64),
            Self::Directory => (1_000.0, MIB as f64),
            Self::Work => (2_000.0, (4 * MIB) as f64),
        };
        ReceiveLimit {
            messages_per_second,
            bytes_per_second,
        }
    }

    /// Class of a one-way message whose sender names none.
    pub const fn default_class(self) -> LinkClass {
        match self {
            Self::Consensus => LinkClass::Replication,
            Self::Control | Self::Membership | Self::Directory | Self::Work => LinkClass::Update,
        }
    }

    pub(super) const fn wire(self) -> Channel {
        match self {
            Self::Consensus => Channel::Consensus,
            Self::Control => Channel::Control,
            Self::Membership => Channel::Membership,
            Self::Directory => Channel::Directory,
            Self::Work => Channel::Work,
        }
    }

    pub(super) const fn from_wire(channel: Channel) -> Option<Self> {
        match channel {
            Channel::Unspecified => None,
            Channel::Consensus => Some(Self::Consensus),
            Channel::Control => Some(Self::Control),
            Channel::Membership => Some(Self::Membership),
            Channel::Directory => Some(Self::Directory),
            Channel::Work => Some(Self::Work),
        }
    }
}

impl fmt::Display for LinkChannel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Consensus => "consensus",
            Self::Control => "control",
            Self::Membership => "membership",
            Self::Directory => "directory",
            Self::Work => "work",
        })
    }
}
