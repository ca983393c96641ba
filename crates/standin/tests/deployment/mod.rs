//! What the tests over real sockets share: an entry, stand-ins and a client.

#![allow(
    dead_code,
    unused_imports,
    unreachable_pub,
    clippy::unwrap_used,
    reason = "test code: each file uses a part, and a failure should panic"
)]

mod test_deployment;

pub use test_deployment::{TestDeployment, TestReply, TestRequest, until};
