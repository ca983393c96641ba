//! Every bound of the links in one place, with its reason.

use crate::prelude::*;

/// Pause between a dialler's pings on a quiet connection. It bounds how long a
/// silent path can hide, and costs an idle connection one packet each way.
pub const KEEP_ALIVE: Duration = Duration::from_secs(2);

/// Silence after which a connection is given up. Four pings must be lost.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Time without any packet back, after something was sent that asks for one,
/// until a fresh connection is tried beside the suspect one. Some hundred
/// round trips within a region, and well under the 3 s for a leave notice.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1_000);

/// Pause between looks at the connections of a peer.
pub const HEALTH_INTERVAL: Duration = Duration::from_millis(250);

/// Longest handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after the first failed dial; it doubles up to [`MAX_DIAL_BACKOFF`].
pub const MIN_DIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Longest pause between dials.
pub const MAX_DIAL_BACKOFF: Duration = Duration::from_secs(5);

/// Round trip expected before one is measured; the protocol's own figure.
pub const INITIAL_ROUND_TRIP: Duration = Duration::from_millis(333);

/// Longest call. A replaced connection stays open as long, so that replacing
/// it cuts off no call.
pub const MAX_CALL_TIME: Duration = Duration::from_secs(15);

/// Time a replaced connection stays open for the calls in progress on it.
pub const RETIRE_LINGER: Duration = MAX_CALL_TIME;

/// Silence after which a connection is given up that carries a stream of bytes. Such a stream
/// belongs to a request, whose entry replaces or ends it much earlier.
pub const STREAM_IDLE_TIMEOUT: Duration = MAX_CALL_TIME;

/// Pause between looks whether calls of peers are still in progress, while a daemon stops.
pub const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time until a peer must have sent the whole of a stream it opened.
pub const STREAM_TIME: Duration = Duration::from_secs(10);

/// Quiet time after which a dialled connection is closed; its keep-alive
/// would otherwise be paid for ever for a peer that nobody speaks to.
pub const UNUSED_TIME: Duration = Duration::from_secs(120);

/// Age at which a dialled connection is replaced, so that an expired
/// certificate lives on for no longer.
pub const MAX_CONNECTION_AGE: Duration = Duration::from_secs(24 * 60 * 60);

/// Time after which an unacknowledged notice is sent again, when the peer has
/// another connection by then.
pub const NOTICE_RESEND: Duration = Duration::from_millis(500);

/// Most unidirectional streams that a peer may have open; each holds a batch.
pub const MAX_BATCH_STREAMS: u32 = 64;

/// Most calls that a peer may have open on one connection.
pub const MAX_CALL_STREAMS: u32 = 256;

/// Most bytes of one connection that wait to be read here.
pub const CONNECTION_WINDOW_BYTES: u32 = 16 * 1024 * 1024;

/// Most connections that one peer may hold to this daemon.
pub const MAX_CONNECTIONS_PER_PEER: usize = 4;

/// Most peers with which this daemon holds state; the target has 350 daemons.
pub const MAX_PEERS: usize = 4_096;

/// Most handshakes of strangers in progress; a further one is refused.
pub const MAX_HANDSHAKES: usize = 64;

/// Handshakes in progress from which on a stranger must first prove that it
/// receives at its address.
pub const VALIDATED_HANDSHAKES: usize = 16;

/// Most bytes of payload put into one batch.
pub const MAX_BATCH_BYTES: usize = 32 * 1024;

/// Bytes beside the payload that one stream is taken to cost, counted against
/// the budget: IP, UDP and QUIC headers and the acknowledgement's packet.
pub const STREAM_OVERHEAD_BYTES: usize = 120;

/// Most bytes that wait for all peers together, outside the replicated log.
/// It keeps control within its 32 MB when many peers can't be reached.
pub const QUEUED_BYTES: usize = 8 * 1024 * 1024;

/// Most messages that wait for a subscriber; a further one is dropped.
pub const SUBSCRIBER_QUEUE: usize = 1_024;

/// Most calls that wait for what serves a channel; a further one is refused.
pub const SERVER_QUEUE: usize = 1_024;

/// Seconds of its rate that a peer may send at once.
pub const RECEIVE_BURST_SECONDS: f64 = 2.0;

/// Seconds of the budget that may be sent at once after a quiet time.
pub const BUDGET_BURST_SECONDS: f64 = 2.0;

/// Budget for control traffic, in bytes a second, when the settings give none.
pub const DEFAULT_BUDGET: u32 = 12_000;

/// Most bytes of one inbound stream: the largest message of any channel and
/// the envelope around it.
pub const MAX_STREAM_BYTES: usize = 4 * 1024 * 1024 + 64 * 1024;

/// Bytes of the envelope around an answer.
pub const REPLY_ENVELOPE_BYTES: usize = 64;

/// Most requests of one peer that are read at the same time; it bounds the
/// memory that a peer can take by opening many calls and finishing none.
pub const MAX_CALL_READERS: usize = 16;

/// Failed dials after which what waits for a peer is dropped: its content is
/// stale by then, and other peers need the quota.
pub const MAX_QUEUED_DIALS: u32 = 8;

/// Age from which on one of two connections that both ends dialled at the same
/// time is retired.
pub const DUPLICATE_AGE: Duration = Duration::from_secs(1);

/// Times that an unacknowledged notice is sent again.
pub const MAX_NOTICE_RESENDS: u32 = 5;
