use super::VirtualTime;
use super::workspace_flow::WorkspaceFlow;
use crate::prelude::*;

/// Place of a workspace in the table, so that trees hold no names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowIndex(u32);

/// Workspaces that have work at a pool or owe some, by name and by place.
#[derive(Debug, Default)]
pub(super) struct FlowTable {
    flows: Vec<Option<WorkspaceFlow>>,
    free: Vec<FlowIndex>,
    places: FastMap<Arc<str>, FlowIndex>,
}

impl FlowTable {
    pub(super) fn find(&self, workspace: &str) -> Option<FlowIndex> {
        self.places.get(workspace).copied()
    }

    pub(super) fn get(&self, index: FlowIndex) -> Option<&WorkspaceFlow> {
        self.flows.get(index.0 as usize)?.as_ref()
    }

    pub(super) fn get_mut(&mut self, index: FlowIndex) -> Option<&mut WorkspaceFlow> {
        self.flows.get_mut(index.0 as usize)?.as_mut()
    }

    /// Adds a workspace that is not in the table yet.
    pub(super) fn insert(&mut self, workspace: &str, weight: u32, at: VirtualTime) -> FlowIndex {
        let name: Arc<str> = workspace.into();
        let flow = WorkspaceFlow::new(Arc::clone(&name), weight, at);
        let index = match self.free.pop() {
            Some(index) => {
                self.flows[index.0 as usize] = Some(flow);
                index
            }
            None => {
                self.flows.push(Some(flow));
                FlowIndex(self.flows.len() as u32 - 1)
            }
        };
        self.places.insert(name, index);
        index
    }

    pub(super) fn remove(&mut self, index: FlowIndex) {
        let slot = self.flows.get_mut(index.0 as usize);
        if let Some(flow) = slot.and_then(Option::take) {
            self.places.remove(&flow.name);
            self.free.push(index);
        }
    }

    pub(super) fn len(&self) -> usize {
        self.places.len()
    }
}
