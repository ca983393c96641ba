//! What the tests of the program share: each test is a few lines of given
//! this, run this, expect this.

#![allow(
    dead_code,
    unreachable_pub,
    clippy::unwrap_used,
    reason = "test code: each file uses a part, and a failure should panic"
)]

pub mod cluster_test;
pub mod command_test;
pub mod endpoint_set;
pub mod held_engine;
pub mod http_call;
pub mod log_lines;
pub mod serve_test;
