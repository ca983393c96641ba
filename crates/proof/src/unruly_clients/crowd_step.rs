use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{CrowdKind, CrowdTarget};

/// Size of a large body, and of a head without end, in bytes.
const LARGE_BODY: usize = 4 << 20;
const LONG_HEAD: usize = 120 << 10;

/// One step of a soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CrowdStep {
    /// A crowd connects.
    Begin,
    /// The oldest crowd leaves.
    End,
    /// A process is asked to stop.
    Stop,
    /// A process is killed.
    Kill,
    /// A process is frozen.
    Freeze,
    /// A process gets SIGHUP.
    Reload,
    /// Freezes end, and ended processes start again.
    Heal,
    /// A document is published.
    Publish,
}

impl CrowdStep {
    const ALL: [Self; 12] = [
        Self::Begin,
        Self::Begin,
        Self::Begin,
        Self::Begin,
        Self::End,
        Self::Stop,
        Self::Kill,
        Self::Freeze,
        Self::Reload,
        Self::Heal,
        Self::Heal,
        Self::Publish,
    ];

    pub(super) fn draw(random: &mut ChaCha8Rng) -> Self {
        Self::ALL[random.random_range(0..Self::ALL.len())]
    }

    /// Draws what a crowd sends, and to which port.
    pub(super) fn draw_crowd(random: &mut ChaCha8Rng) -> (CrowdTarget, CrowdKind) {
        let kinds = [
            CrowdKind::Silence,
            CrowdKind::EndlessHead(LONG_HEAD),
            CrowdKind::EndlessHead(200),
            CrowdKind::UnfinishedBody(LARGE_BODY),
            CrowdKind::UnfinishedBody(2_000),
            CrowdKind::BodyStart {
                sent: LONG_HEAD,
                length: LARGE_BODY,
            },
            CrowdKind::WholeBody(LARGE_BODY),
            CrowdKind::WholeBody(LARGE_BODY * 2),
            CrowdKind::UnfinishedChunk(LARGE_BODY),
            CrowdKind::UnfinishedChunk(2_000),
            CrowdKind::SentAhead {
                requests: 20,
                bytes: 16 << 10,
            },
            CrowdKind::SmallChunks(40_000),
            CrowdKind::UnfinishedStreams {
                streams: 20,
                bytes: LARGE_BODY,
            },
        ];
        let kind = kinds[random.random_range(0..kinds.len())];
        match random.random_range(0..11) {
            0 => (CrowdTarget::Probes, kind),
            1..=2 => (CrowdTarget::Registry, kind),
            3 => (
                CrowdTarget::Announcements,
                CrowdKind::Announcement(LONG_HEAD),
            ),
            4 => (CrowdTarget::Registry, CrowdKind::ManyTexts(LARGE_BODY)),
            _ => (CrowdTarget::Callers, kind),
        }
    }
}
