//! Names that nearly every module needs, so that import blocks stay short.

pub use std::collections::{BTreeMap, BTreeSet, VecDeque};
pub use std::fmt;
pub use std::net::SocketAddr;
pub use std::sync::Arc;
pub use std::time::{Duration, Instant};

pub use arc_swap::ArcSwap;
pub use bytes::Bytes;
pub use serde::{Deserialize, Serialize};
pub use thiserror::Error;

pub use crate::log_event;

/// Hash map with a fast, unkeyed hasher; for keys that no outsider chooses freely.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast, unkeyed hasher; for keys that no outsider chooses freely.
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
