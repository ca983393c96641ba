use crate::prelude::*;

const INCARNATION_BITS: u32 = 32;

/// Number of a node, the same for every replica that ever runs on it.
///
/// It is derived from the node's name, so every process computes it independently.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeNumber(u32);

/// Identity of one replica: its node and the incarnation of its data folder.
///
/// A replica whose disk was lost restarts under another incarnation, so it is
/// not bound by votes and acknowledgements of the lost one.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplicaId(u64);

impl NodeNumber {
    /// Derives the number of the node named `name`.
    pub fn from_name(name: &str) -> Self {
        Self(crc32c::crc32c(name.as_bytes()))
    }

    /// Creates a node number from its value, as tests do.
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// The number as an integer.
    pub const fn as_u32(self) -> u32 {
        self.0
    }

    /// Address of the replica that runs on the node now, of any incarnation.
    pub const fn anyone(self) -> ReplicaId {
        ReplicaId::new(self, 0)
    }
}

impl ReplicaId {
    /// The identity of one incarnation at `node`; no replica has incarnation 0.
    pub const fn new(node: NodeNumber, incarnation: u32) -> Self {
        Self(((node.0 as u64) << INCARNATION_BITS) | incarnation as u64)
    }

    /// Reads the integer form used in messages and files.
    pub const fn from_u64(value: u64) -> Self {
        Self(value)
    }

    /// The integer form used in messages and files.
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// The node on which the replica runs.
    pub const fn node(self) -> NodeNumber {
        NodeNumber((self.0 >> INCARNATION_BITS) as u32)
    }

    /// The incarnation of the replica's data folder.
    pub const fn incarnation(self) -> u32 {
        self.0 as u32
    }
}

impl fmt::Display for NodeNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:08x}", self.0)
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{:08x}", self.node(), self.incarnation())
    }
}

impl fmt::Debug for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}
