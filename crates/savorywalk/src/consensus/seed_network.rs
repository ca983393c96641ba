//! Replicas that find each other by seeds, for tests of their membership.

use super::*;
use crate::prelude::*;

const STEP: Duration = Duration::from_millis(20);
pub(super) const REPLACE_AFTER: Duration = Duration::from_millis(2_500);

/// Replicas that share one clock and whose disks sync immediately.
pub(super) struct SeedNetwork {
    now: Instant,
    pub(super) cores: BTreeMap<NodeNumber, ReplicaCore>,
    pub(super) isolated: BTreeSet<NodeNumber>,
    messages: VecDeque<Box<ReplicaMessage>>,
    max_voters: usize,
    /// Largest majority of a membership in any log since it was last set.
    pub(super) largest_quorum: usize,
}

pub(super) fn number(node: u32) -> NodeNumber {
    NodeNumber::new(node)
}

/// Number of seeds in the settings of a new replica.
const SEEDS: usize = 3;

fn options(seeds: Vec<NodeNumber>, may_found: bool, max_voters: usize) -> ReplicaOptions {
    let mut options = ReplicaOptions::new(seeds, 0);
    options.lease_margin_permille = 1_000;
    options.discovery = NodeDiscovery::Seeds {
        may_found,
        max_voters,
        replace_after: REPLACE_AFTER,
    };
    options
}

impl SeedNetwork {
    pub(super) fn new() -> Self {
        Self {
            now: Instant::now(),
            cores: BTreeMap::new(),
            isolated: BTreeSet::new(),
            messages: VecDeque::new(),
            max_voters: 5,
            largest_quorum: 0,
        }
    }

    /// A cluster of `nodes` replicas, of which up to nine vote.
    pub(super) fn founded(nodes: u32) -> Self {
        let mut network = Self::new();
        network.max_voters = 9;
        (1..=nodes).for_each(|node| network.start(node, 1, true));
        network.run(Duration::from_secs(5));
        network
    }

    pub(super) fn start(&mut self, node: u32, incarnation: u32, may_found: bool) {
        let id = ReplicaId::new(number(node), incarnation);
        let running = self
            .cores
            .keys()
            .copied()
            .filter(|seed| *seed != number(node));
        let seeds = match may_found {
            true => (1..=SEEDS as u32).map(number).collect(),
            false => running.take(SEEDS).collect(),
        };
        let mut options = options(seeds, may_found, self.max_voters);
        options.seed = u64::from(node * 31 + incarnation);
        let core = ReplicaCore::new(self.now, id, options, RecoveredState::default());
        self.cores.insert(number(node), core);
    }

    pub(super) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let nodes: Vec<NodeNumber> = self.cores.keys().copied().collect();
            for node in nodes {
                self.feed(node, ReplicaEvent::Tick);
            }
            while let Some(message) = self.messages.pop_front() {
                let to = ReplicaId::from_u64(message.to).node();
                let from = ReplicaId::from_u64(message.from).node();
                if !self.isolated.contains(&to) && !self.isolated.contains(&from) {
                    self.feed(to, ReplicaEvent::Message(message));
                }
            }
        }
    }

    fn feed(&mut self, node: NodeNumber, event: ReplicaEvent) {
        let Some(core) = self.cores.get_mut(&node) else {
            return;
        };
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let actions = core.handle(self.now, event);
            let quorum = core.membership().map_or(0, ReplicaMembership::quorum);
            self.largest_quorum = self.largest_quorum.max(quorum);
            for action in actions {
                match action {
                    ReplicaAction::Persist(batch) => {
                        let sequence = batch.sequence;
                        events.push_back(ReplicaEvent::Persisted { sequence });
                    }
                    ReplicaAction::Send(message) => self.messages.push_back(message),
                    _ => {}
                }
            }
        }
    }

    pub(super) fn leader(&self) -> &ReplicaCore {
        self.find_leader().expect("a leader")
    }

    pub(super) fn find_leader(&self) -> Option<&ReplicaCore> {
        let leads = |core: &&ReplicaCore| {
            core.role() == ReplicaRole::Leader && !self.isolated.contains(&core.id().node())
        };
        let mut leaders: Vec<&ReplicaCore> = self.cores.values().filter(leads).collect();
        leaders.sort_by_key(|core| core.term());
        leaders.pop()
    }

    pub(super) fn voters(&self) -> Vec<String> {
        let membership = self.leader().membership().expect("a membership");
        let voters = membership.voters();
        voters
            .map(|id| format!("{}.{}", id.node().as_u32(), id.incarnation()))
            .collect()
    }
}
