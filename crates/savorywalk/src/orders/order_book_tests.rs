use super::*;
use crate::orders::{ModelOrder, OrderAction, OrderKind, OrderResult};

fn logged(term: u64, endpoint: &str) -> OrderCommand {
    let model = ModelOrder {
        model: "dispatch-8b".into(),
        version: "2".into(),
    };
    let action = OrderAction {
        action: Some(OrderKind::Load(model)),
    };
    OrderCommand {
        step: Some(OrderStep::Logged(OrderLogged {
            term,
            author: "control-1".into(),
            endpoint: endpoint.into(),
            incarnation: 1,
            action: Some(action),
            time_limit_ms: 60_000,
        })),
    }
}

fn closed(term: u64, endpoint: &str, number: FencingNumber) -> OrderCommand {
    OrderCommand {
        step: Some(OrderStep::Closed(OrderClosed {
            term,
            author: "control-1".into(),
            endpoint: endpoint.into(),
            number: Some(number),
            result: OrderResult::Done.into(),
        })),
    }
}

fn apply(book: &mut OrderBook, index: u64, command: &OrderCommand) -> OrderVerdict {
    book.apply(0, index, command).outcome.unwrap()
}

#[test]
fn an_endpoint_has_one_order_at_a_time() {
    let mut book = OrderBook::default();
    let number = FencingNumber { term: 1, index: 5 };
    let first = apply(&mut book, 5, &logged(1, "engine-1"));
    assert_eq!(first, OrderVerdict::Logged(number));
    let second = apply(&mut book, 6, &logged(1, "engine-1"));
    assert_eq!(second, OrderVerdict::Busy(number));
    let end = apply(&mut book, 7, &closed(1, "engine-1", number));
    assert!(matches!(end, OrderVerdict::Closed(_)));
    let third = apply(&mut book, 8, &logged(1, "engine-1"));
    assert!(matches!(third, OrderVerdict::Logged(_)));
}

#[test]
fn an_old_leader_can_neither_log_nor_close() {
    let mut book = OrderBook::default();
    let number = FencingNumber { term: 2, index: 1 };
    apply(&mut book, 1, &logged(2, "engine-1"));
    let stale = OrderVerdict::StaleTerm(2);
    assert_eq!(apply(&mut book, 2, &logged(1, "engine-2")), stale);
    assert_eq!(apply(&mut book, 3, &closed(1, "engine-1", number)), stale);
    assert_eq!(book.outstanding().count(), 1);
}

#[test]
fn only_the_order_that_is_outstanding_can_be_closed() {
    let mut book = OrderBook::default();
    apply(&mut book, 1, &logged(1, "engine-1"));
    let other = FencingNumber { term: 1, index: 9 };
    let verdict = apply(&mut book, 2, &closed(1, "engine-1", other));
    assert!(matches!(verdict, OrderVerdict::NotOutstanding(_)));
    let restored = OrderBook::restore(book.snapshot());
    assert_eq!(restored.snapshot(), book.snapshot());
}
