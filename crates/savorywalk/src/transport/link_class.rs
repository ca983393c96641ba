use crate::generated::link::MessageClass;
use crate::prelude::*;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// How soon a one-way message goes out, and how late it is dropped: the first
/// class goes first, the last is dropped first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LinkClass {
    /// The replicated log's own traffic, outside the budget for control.
    Replication,
    /// Must arrive soon: leave notices, suspicions. Sent again when its
    /// connection is replaced before it was acknowledged.
    Notice,
    /// Ordinary changes.
    Update,
    /// Load detail, stale as soon as the next one comes.
    Detail,
}

/// What a full queue gives up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropRule {
    /// The new message, with an error to its sender.
    Newest,
    /// The oldest message, which a newer one has most likely replaced.
    Oldest,
}

/// Bound of one peer's queue of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueBound {
    /// Most messages.
    pub messages: usize,
    /// Most bytes.
    pub bytes: usize,
    /// What is given up when it is full.
    pub rule: DropRule,
}

impl LinkClass {
    /// Every class, in the order in which they are sent.
    pub const ALL: [Self; 4] = [Self::Replication, Self::Notice, Self::Update, Self::Detail];

    /// Place of the class in tables.
    pub const fn index(self) -> usize {
        match self {
            Self::Replication => 0,
            Self::Notice => 1,
            Self::Update => 2,
            Self::Detail => 3,
        }
    }

    /// Whether the budget for control traffic holds the class back.
    pub const fn budgeted(self) -> bool {
        match self {
            Self::Replication => false,
            Self::Notice | Self::Update | Self::Detail => true,
        }
    }

    /// Bound of one peer's queue.
    pub const fn bound(self) -> QueueBound {
        let (messages, bytes, rule) = match self {
            Self::Replication => (1024, 8 * MIB, DropRule::Newest),
            Self::Notice => (256, 256 * KIB, DropRule::Newest),
            Self::Update => (256, MIB, DropRule::Oldest),
            Self::Detail => (64, 256 * KIB, DropRule::Oldest),
        };
        QueueBound {
            messages,
            bytes,
            rule,
        }
    }

    pub(super) const fn wire(self) -> MessageClass {
        match self {
            Self::Replication => MessageClass::Replication,
            Self::Notice => MessageClass::Notice,
            Self::Update => MessageClass::Update,
            Self::Detail => MessageClass::Detail,
        }
    }

    pub(super) const fn from_wire(class: MessageClass) -> Option<Self> {
        match class {
            MessageClass::Unspecified => None,
            MessageClass::Replication => Some(Self::Replication),
            MessageClass::Notice => Some(Self::Notice),
            MessageClass::Update => Some(Self::Update),
            MessageClass::Detail => Some(Self::Detail),
        }
    }
}

impl fmt::Display for LinkClass {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Replication => "replication",
            Self::Notice => "notice",
            Self::Update => "update",
            Self::Detail => "detail",
        })
    }
}
