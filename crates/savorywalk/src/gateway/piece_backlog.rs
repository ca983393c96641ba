use crate::prelude::*;

/// Backlog, in time, up to which the rate of late pieces says nothing: it is
/// worked off before any of them would be refused.
const SETTLED_WAIT: Duration = Duration::from_millis(500);

/// What waits for a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PieceBacklog {
    /// Pieces that can still be in time, by rank.
    pub timely: Vec<u32>,
    /// Pieces that can't be in time any more.
    pub late: u32,
    /// Pieces that the pool makes in a second, when calls are full.
    pub pieces_per_second: u32,
    /// Late pieces that it has made in a second lately.
    pub late_per_second: u32,
}

impl PieceBacklog {
    /// How long a piece of `rank` that can be in time waits, about.
    pub fn wait(&self, rank: u8) -> Duration {
        let before = self.timely.iter().take(usize::from(rank) + 1);
        self.time_for(before.sum())
    }

    /// How long a piece that can't be in time waits, about. It gets what the
    /// timely ones leave; that is known once there is a backlog of late ones,
    /// and until then all that the pool makes beyond the timely backlog.
    pub fn late_wait(&self) -> Duration {
        let timely: u32 = self.timely.iter().sum();
        let soon = self.time_for(timely + self.late);
        if soon < SETTLED_WAIT {
            return soon;
        }
        let rate = f64::from(self.late_per_second.max(1));
        soon.max(Duration::from_secs_f64(f64::from(self.late) / rate))
    }

    /// Counts pieces that are about to be queued.
    pub fn add(&mut self, rank: u8, pieces: u32) {
        let rank = usize::from(rank);
        if self.timely.len() <= rank {
            self.timely.resize(rank + 1, 0);
        }
        self.timely[rank] += pieces;
    }

    fn time_for(&self, pieces: u32) -> Duration {
        if self.pieces_per_second == 0 {
            return Duration::ZERO;
        }
        let rate = f64::from(self.pieces_per_second);
        Duration::from_secs_f64(f64::from(pieces) / rate)
    }
}
