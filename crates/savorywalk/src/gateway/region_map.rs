use super::{DataCenterFilter, GatewayError, Result};
use crate::prelude::*;

/// The region of each data centre of the deployment, from the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct RegionMap {
    regions: BTreeMap<String, String>,
}

impl RegionMap {
    /// Parses settings of the form NAME:REGION.
    ///
    /// # Errors
    ///
    /// [`GatewayError::BadSetting`] when the name or the region is missing.
    pub(super) fn parse(entries: &[String]) -> Result<Self> {
        let regions = entries.iter().map(|entry| {
            let parts = entry.split_once(':');
            let parts = parts.filter(|(name, region)| !name.is_empty() && !region.is_empty());
            let (name, region) = parts.ok_or_else(|| GatewayError::BadSetting {
                section: "cluster",
                key: "data_centers",
                value: entry.clone(),
                remedy: "write each data centre as NAME:REGION",
            })?;
            Ok((name.to_string(), region.to_string()))
        });
        let regions = regions.collect::<Result<_>>()?;
        Ok(Self { regions })
    }

    /// Names of the data centres.
    pub(super) fn data_centers(&self) -> impl Iterator<Item = &String> {
        self.regions.keys()
    }

    /// The data centres whose region is on both lists; an empty list allows all regions.
    pub(super) fn data_center_filter(&self, allowed_regions: [&[String]; 2]) -> DataCenterFilter {
        if allowed_regions.iter().all(|list| list.is_empty()) {
            return DataCenterFilter::default();
        }
        let is_allowed = |region: &String| {
            let mut lists = allowed_regions.iter();
            lists.all(|list| list.is_empty() || list.contains(region))
        };
        let data_centers = self.regions.iter();
        let allowed = data_centers.filter(|(_, region)| is_allowed(region));
        DataCenterFilter::only(allowed.map(|(name, _)| name.clone()).collect())
    }
}

#[cfg(test)]
#[path = "region_map_tests.rs"]
mod tests;
