use super::{PieceProfile, PieceTarget};

/// Slots in the next calls to each data centre's endpoints.
///
/// Pieces beyond them don't wait for a nearby endpoint: an idle one elsewhere would stay idle
/// while the nearby ones have more work than their next calls hold.
#[derive(Debug)]
pub(super) struct NearbySlots<'a> {
    /// Slots left, by data centre.
    left: Vec<(&'a str, u32)>,
}

impl<'a> NearbySlots<'a> {
    pub(super) fn new(profile: &PieceProfile, targets: &[PieceTarget<'a>]) -> Self {
        let mut left: Vec<(&str, u32)> = Vec::new();
        for target in targets {
            let data_center = target.data_center;
            match left.iter_mut().find(|(name, _)| *name == data_center) {
                Some((_, slots)) => *slots += profile.batch,
                None => left.push((data_center, profile.batch)),
            }
        }
        Self { left }
    }

    /// Takes one slot in `data_center`; false when none is left.
    pub(super) fn try_take(&mut self, data_center: &str) -> bool {
        let known = self.left.iter_mut().find(|(name, _)| *name == data_center);
        match known {
            Some((_, slots)) if *slots > 0 => {
                *slots -= 1;
                true
            }
            Some(_) | None => false,
        }
    }
}
