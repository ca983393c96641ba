use crate::prelude::*;

/// The data centres in which a request and its stages may be processed; all by default.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DataCenterFilter(Option<Arc<BTreeSet<String>>>);

impl DataCenterFilter {
    /// Allows only the given data centres.
    pub fn only(data_centers: BTreeSet<String>) -> Self {
        Self(Some(Arc::new(data_centers)))
    }

    /// Whether work may go to a data centre.
    pub fn has(&self, data_center: &str) -> bool {
        let allowed = self.0.as_ref();
        allowed.is_none_or(|data_centers| data_centers.contains(data_center))
    }

    /// The names of the allowed data centres; `None` if all are allowed.
    pub(super) fn names(&self) -> Option<&BTreeSet<String>> {
        self.0.as_deref()
    }
}
