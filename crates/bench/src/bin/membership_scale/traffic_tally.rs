use savorywalk::prelude::*;

use crate::virtual_daemon::Channel;

/// Bytes that carry one packet's payload: IPv4 and UDP 28, QUIC short header
/// with an 8-byte connection id 11, its tag 16, a stream frame 7, the batch
/// around the message 10.
const PACKET_OVERHEAD: usize = 72;

/// Bytes of the packet that acknowledges another.
const ACK_BYTES: usize = 60;

/// Payload of one packet.
const PACKET_PAYLOAD: usize = 1_200;

/// Bytes that each side sends to open a connection with mutual TLS; two
/// padded flights and a chain of two certificates.
const HANDSHAKE_BYTES: usize = 3_500;

/// A connection unused for so long has been closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// What one daemon has sent, received and computed.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrafficTally {
    pub(crate) sent_bytes: usize,
    pub(crate) received_bytes: usize,
    pub(crate) messages: usize,
    pub(crate) membership_messages: usize,
    pub(crate) membership_payload: usize,
    pub(crate) handshakes: usize,
    pub(crate) busy: Duration,
}

impl TrafficTally {
    pub(crate) fn total_bytes(&self) -> usize {
        self.sent_bytes + self.received_bytes
    }

    pub(crate) fn sent(&mut self, channel: Channel, payload: usize) {
        let packets = packets(payload);
        self.sent_bytes += payload + packets * PACKET_OVERHEAD;
        self.received_bytes += packets * ACK_BYTES;
        self.messages += 1;
        if channel == Channel::Membership {
            self.membership_messages += 1;
            self.membership_payload += payload;
        }
    }

    pub(crate) fn received(&mut self, payload: usize) {
        let packets = packets(payload);
        self.received_bytes += payload + packets * PACKET_OVERHEAD;
        self.sent_bytes += packets * ACK_BYTES;
    }

    pub(crate) fn opened(&mut self) {
        self.sent_bytes += HANDSHAKE_BYTES;
        self.received_bytes += HANDSHAKE_BYTES;
        self.handshakes += 1;
    }
}

/// Connections between pairs of daemons and when each was used last.
#[derive(Debug, Default)]
pub(crate) struct ConnectionTable {
    used: FastMap<(usize, usize), Instant>,
}

impl ConnectionTable {
    /// Uses the connection of a pair; tells whether it had to be opened.
    pub(crate) fn touch(&mut self, now: Instant, a: usize, b: usize) -> bool {
        let pair = (a.min(b), a.max(b));
        let before = self.used.insert(pair, now);
        before.is_none_or(|at| now > at + IDLE_TIMEOUT)
    }

    /// Connections open per daemon.
    pub(crate) fn open(&self, now: Instant, daemons: usize) -> f64 {
        let open = self.used.values().filter(|at| now <= **at + IDLE_TIMEOUT);
        2.0 * open.count() as f64 / daemons as f64
    }
}

fn packets(payload: usize) -> usize {
    payload.div_ceil(PACKET_PAYLOAD).max(1)
}
