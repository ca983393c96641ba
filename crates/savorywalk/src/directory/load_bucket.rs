use super::EndpointLoad;

/// Counts that a half byte can stand for: two steps for each doubling, so that
/// a count is at most a third off up to 192.
const COUNTS: [u32; 16] = [0, 1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192];

/// An endpoint's load in one byte: requests running and requests queued, each
/// rounded down to one of 16 counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadBucket(u8);

impl LoadBucket {
    /// The bucket of a load.
    pub fn of(load: EndpointLoad) -> Self {
        Self(step(load.running) << 4 | step(load.queued))
    }

    /// The bucket that a byte stands for.
    pub fn from_byte(byte: u8) -> Self {
        Self(byte)
    }

    /// The byte that stands for it.
    pub fn byte(self) -> u8 {
        self.0
    }

    /// The load that it stands for.
    pub fn load(self) -> EndpointLoad {
        EndpointLoad {
            running: COUNTS[usize::from(self.0 >> 4)],
            queued: COUNTS[usize::from(self.0 & 15)],
        }
    }
}

fn step(count: u32) -> u8 {
    let above = COUNTS.partition_point(|bound| *bound <= count);
    above.saturating_sub(1) as u8
}

#[cfg(test)]
#[path = "load_bucket_tests.rs"]
mod tests;
