use super::{Member, MemberIdentity};
use crate::prelude::*;

/// Immutable snapshot of the membership for the rest of the process.
#[derive(Clone, Debug, Default)]
pub struct MemberView {
    /// Members that are alive or only suspected, in order of their names.
    pub live: Vec<Arc<MemberIdentity>>,
    /// Region of each data centre that has a member in the table, dead ones included.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
}

impl MemberView {
    pub(super) fn from_members<'a>(members: impl Iterator<Item = &'a Member>) -> Self {
        let mut view = Self::default();
        for member in members {
            let identity = &member.identity;
            view.regions.insert(
                Arc::clone(&identity.data_center),
                Arc::clone(&identity.region),
            );
            if member.state.is_live() {
                view.live.push(Arc::clone(identity));
            }
        }
        view
    }

    /// Live members of a region, in order of their names.
    pub fn region<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a Arc<MemberIdentity>> {
        self.live
            .iter()
            .filter(move |identity| &*identity.region == region)
    }

    /// Live entries of a region, in order of their names.
    pub fn entries<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a Arc<MemberIdentity>> {
        self.region(region).filter(|identity| identity.entry)
    }
}
