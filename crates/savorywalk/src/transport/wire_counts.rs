use std::ops::AddAssign;

/// Bytes of the IPv4 and UDP headers around one datagram's payload.
const DATAGRAM_HEADER_BYTES: u64 = 28;

/// What the open connections have put on the wire, acknowledgements and pings
/// included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WireCounts {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes sent, with the headers of IP and UDP.
    pub bytes_sent: u64,
    /// Datagrams received.
    pub datagrams_received: u64,
    /// Bytes received, with the headers of IP and UDP.
    pub bytes_received: u64,
}

impl WireCounts {
    pub(super) fn of(quic: &quinn::Connection) -> Self {
        let stats = quic.stats();
        let (sent, received) = (stats.udp_tx, stats.udp_rx);
        Self {
            datagrams_sent: sent.datagrams,
            bytes_sent: sent.bytes + sent.datagrams * DATAGRAM_HEADER_BYTES,
            datagrams_received: received.datagrams,
            bytes_received: received.bytes + received.datagrams * DATAGRAM_HEADER_BYTES,
        }
    }
}

impl AddAssign for WireCounts {
    fn add_assign(&mut self, other: Self) {
        self.datagrams_sent += other.datagrams_sent;
        self.bytes_sent += other.bytes_sent;
        self.datagrams_received += other.datagrams_received;
        self.bytes_received += other.bytes_received;
    }
}
