use super::{RegistryError, RegistryNode, Result};
use crate::control::{ControlBody, ControlVerdict};
use crate::evacuation::EvacuationCommand;
use crate::prelude::*;

/// Orders to evacuate data centres. See docs/design/evacuations.md.
impl RegistryNode {
    /// Proposes an order on a data centre and waits until it is decided. After that, each
    /// entry receives the order with its next confirmed view.
    ///
    /// # Errors
    ///
    /// Fails when the data centre is unknown, when there is no majority, or when another
    /// order on the data centre was decided in between.
    pub async fn evacuate(&self, data_center: &str, evacuated: bool) -> Result<()> {
        self.check_data_center(data_center)?;
        let orders_before = self.count_orders(data_center).await?;
        let command = EvacuationCommand {
            data_center: data_center.into(),
            evacuated,
            orders_before,
        };
        let verdict = self.decide(ControlBody::Evacuation(command)).await?;
        let ControlVerdict::Evacuation(outcome) = verdict else {
            let reason = format!("control answered something else: {verdict:?}");
            return Err(RegistryError::Unavailable(reason));
        };
        log_event!(
            info,
            "evacuation_decided",
            data_center = data_center,
            evacuated = evacuated,
            orders_before = orders_before,
            in_force = outcome.in_force,
            revision = outcome.revision
        );
        if outcome.in_force {
            return Ok(());
        }
        let reason = format!("another order on data centre {data_center} came between");
        Err(RegistryError::Unavailable(reason))
    }

    /// Number of orders on a data centre that were decided so far, confirmed by a majority.
    /// The confirmation round also leaves time to detect that the caller has left; its order
    /// must then not be proposed any more.
    async fn count_orders(&self, data_center: &str) -> Result<u64> {
        if !self.confirm().await {
            let reason = "no majority confirms what was decided".to_string();
            return Err(RegistryError::Unavailable(reason));
        }
        let Some(voter) = self.voter() else {
            return Err(RegistryError::Unavailable("the voter restarts".into()));
        };
        let cell = voter.cell();
        Ok(cell.read_evacuations(|evacuations| evacuations.order_count(data_center)))
    }

    /// Rejects an order on a data centre that neither the settings nor listed endpoints name.
    fn check_data_center(&self, data_center: &str) -> Result<()> {
        let mut known = self.table().data_centers();
        known.extend(self.data_centers.iter().cloned());
        if known.contains(data_center) {
            return Ok(());
        }
        if self.data_centers.is_empty() && Instant::now() < self.listing_complete_at {
            let reason = format!("data centre {data_center} is not listed yet");
            return Err(RegistryError::Unavailable(reason));
        }
        let known: Vec<String> = known.into_iter().collect();
        Err(RegistryError::UnknownDataCenter {
            name: data_center.into(),
            known: known.join(", "),
        })
    }
}
