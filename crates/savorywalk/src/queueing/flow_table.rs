use super::VirtualTime;
use super::workspace_flow::WorkspaceFlow;
use crate::prelude::*;

/// Index of a workspace in the flow table; the queue's trees hold it instead
/// of the name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowIndex(u32);

/// Workspaces that have stages at a pool or are ahead of its virtual time, by
/// name and by index.
#[derive(Debug, Default)]
pub(super) struct FlowTable {
    flows: Vec<Option<WorkspaceFlow>>,
    free: Vec<FlowIndex>,
    indexes: FastMap<Arc<str>, FlowIndex>,
}

impl FlowTable {
    pub(super) fn find(&self, workspace: &str) -> Option<FlowIndex> {
        self.indexes.get(workspace).copied()
    }

    pub(super) fn get(&self, index: FlowIndex) -> Option<&WorkspaceFlow> {
        self.flows.get(index.0 as usize)?.as_ref()
    }

    pub(super) fn get_mut(&mut self, index: FlowIndex) -> Option<&mut WorkspaceFlow> {
        self.flows.get_mut(index.0 as usize)?.as_mut()
    }

    /// Adds a workspace, which must not be in the table yet.
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
        self.indexes.insert(name, index);
        index
    }

    pub(super) fn remove(&mut self, index: FlowIndex) {
        let slot = self.flows.get_mut(index.0 as usize);
        if let Some(flow) = slot.and_then(Option::take) {
            self.indexes.remove(&flow.name);
            self.free.push(index);
        }
    }

    pub(super) fn len(&self) -> usize {
        self.indexes.len()
    }
}
