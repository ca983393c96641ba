use super::*;
use crate::configuration::configuration_from_json;
use crate::orders::OrderVerdict;

const OLD_LEASE: Duration = Duration::from_secs(9);
const PACE: Duration = Duration::from_secs(10);

/// A planner with the log's book and three empty engines.
struct Harness {
    planner: OrderPlanner,
    book: OrderBook,
    now: Instant,
    index: u64,
}

fn configuration() -> Configuration {
    configuration_from_json(
        br#"{"pools": {"engines": {"kind": "generate"}}, "limits": {"weight_loads_per_minute": 6},
            "models": {"dispatch-8b": {"version": "2", "pools": ["engines"], "replicas": 3}}}"#,
    )
    .unwrap()
}

fn endpoints() -> Vec<EndpointView> {
    let view = |number| EndpointView {
        endpoint: format!("engine-{number}"),
        pool: "engines".into(),
        ..EndpointView::default()
    };
    (1..=3).map(view).collect()
}

impl Harness {
    fn elected(term: u64, book: OrderBook) -> Self {
        let mut harness = Self {
            planner: OrderPlanner::new("control-1"),
            book,
            now: Instant::now(),
            index: term * 100,
        };
        let event = PlannerEvent::Elected {
            term,
            old_lease: OLD_LEASE,
        };
        harness.planner.handle(harness.now, event);
        harness
    }

    fn tick(&mut self) -> Vec<PlannerAction> {
        let event = PlannerEvent::Tick {
            configuration: &configuration(),
            endpoints: &endpoints(),
            book: &self.book,
        };
        self.planner.handle(self.now, event)
    }

    /// Puts the proposals of `actions` into the log and tells the planner.
    fn log(&mut self, actions: Vec<PlannerAction>) -> Vec<PlannerAction> {
        let mut next = Vec::new();
        for action in actions {
            let PlannerAction::Propose(command) = action else {
                next.push(action);
                continue;
            };
            self.index += 1;
            let outcome = self.book.apply(0, self.index, &command);
            let (Some(OrderStep::Logged(order)), Some(OrderVerdict::Logged(number))) =
                (command.step, outcome.outcome)
            else {
                continue;
            };
            let event = PlannerEvent::Logged { order, number };
            next.extend(self.planner.handle(self.now, event));
        }
        next
    }

    fn step(&mut self) -> Vec<PlannerAction> {
        let actions = self.tick();
        self.log(actions)
    }
}

#[test]
fn nothing_is_ordered_before_the_old_lease_is_over() {
    let mut harness = Harness::elected(1, OrderBook::default());
    harness.now += OLD_LEASE - Duration::from_millis(1);
    assert!(harness.tick().is_empty());
    harness.now += Duration::from_millis(1);
    assert_eq!(harness.tick().len(), 1);
}

#[test]
fn an_order_is_logged_before_it_is_sent_and_loads_are_paced() {
    let mut harness = Harness::elected(1, OrderBook::default());
    harness.now += OLD_LEASE;
    let proposed = harness.tick();
    assert!(matches!(proposed[..], [PlannerAction::Propose(_)]));
    assert!(harness.tick().is_empty(), "the proposal is on its way");
    let sent = harness.log(proposed);
    assert!(matches!(sent[..], [PlannerAction::Send { .. }]));
    harness.now += PACE - Duration::from_millis(1);
    assert!(harness.step().is_empty());
    harness.now += Duration::from_millis(1);
    assert!(matches!(harness.step()[..], [PlannerAction::Send { .. }]));
    assert_eq!(harness.book.outstanding().count(), 2);
}

#[test]
fn a_proposal_that_failed_is_planned_again() {
    let mut harness = Harness::elected(1, OrderBook::default());
    harness.now += OLD_LEASE;
    harness.tick();
    let event = PlannerEvent::NotLogged {
        endpoint: "engine-1",
    };
    harness.planner.handle(harness.now, event);
    harness.now += PACE;
    assert_eq!(harness.tick().len(), 1);
}

#[test]
fn a_deposed_leader_sends_nothing_also_when_its_order_was_logged() {
    let mut harness = Harness::elected(1, OrderBook::default());
    harness.now += OLD_LEASE;
    let proposed = harness.tick();
    harness.planner.handle(harness.now, PlannerEvent::Deposed);
    assert!(harness.log(proposed).is_empty());
    assert!(harness.tick().is_empty());
}

#[test]
fn a_new_leader_reads_an_old_order_back_only_when_nobody_can_execute_it() {
    let mut old = Harness::elected(1, OrderBook::default());
    old.now += OLD_LEASE;
    old.step();
    let mut new = Harness::elected(2, old.book);
    let elected = new.now;
    let touches = |actions: &[PlannerAction]| {
        let text = format!("{actions:?}");
        text.contains("engine-1")
    };
    while new.now < elected + OLD_LEASE + ORDER_TIME_LIMIT {
        assert!(!touches(&new.step()), "{:?}", new.now - elected);
        new.now += Duration::from_millis(500);
    }
    let actions = new.step();
    let read = actions.iter().find_map(|action| match action {
        PlannerAction::ReadBack { endpoint, number } if endpoint == "engine-1" => Some(*number),
        _ => None,
    });
    let event = PlannerEvent::Ended {
        endpoint: "engine-1",
        number: read.expect("it reads engine-1 back"),
        result: OrderResult::ReadBack,
    };
    let closing = new.planner.handle(new.now, event);
    new.log(closing);
    let mut outstanding = new.book.outstanding();
    assert!(outstanding.all(|it| it.number != read));
}

#[test]
fn an_answer_to_another_order_closes_nothing() {
    let mut harness = Harness::elected(1, OrderBook::default());
    harness.now += OLD_LEASE;
    harness.step();
    let event = PlannerEvent::Ended {
        endpoint: "engine-1",
        number: FencingNumber { term: 1, index: 9 },
        result: OrderResult::Done,
    };
    assert!(harness.planner.handle(harness.now, event).is_empty());
}
