use super::*;

const RATE: u32 = 12_000;

#[test]
fn detail_is_held_back_first_and_notices_last() {
    let now = Instant::now();
    let mut budget = LinkBudget::new(now, RATE);
    assert!(budget.take(now, LinkClass::Update, 13_000).is_ok());
    assert!(budget.take(now, LinkClass::Detail, 1).is_err());
    assert!(budget.take(now, LinkClass::Update, 12_000).is_ok());
    assert!(budget.take(now, LinkClass::Update, 1).is_err());
    assert!(budget.take(now, LinkClass::Notice, 24_000).is_ok());
    assert!(budget.take(now, LinkClass::Notice, 1).is_err());
    assert!(budget.take(now, LinkClass::Replication, 1 << 20).is_ok());
}

#[test]
fn the_rate_holds_over_time_for_all_classes_together() {
    let start = Instant::now();
    let mut budget = LinkBudget::new(start, RATE);
    let mut sent = 0;
    for step in 0..10_000_u64 {
        let now = start + Duration::from_millis(step * 10);
        for class in LinkClass::ALL.into_iter().filter(|class| class.budgeted()) {
            if budget.take(now, class, 500).is_ok() {
                sent += 500;
            }
        }
    }
    let burst = 2 * 2 * RATE as usize;
    assert!(sent <= 100 * RATE as usize + burst + 500, "{sent}");
    assert!(sent >= 100 * RATE as usize, "{sent}");
}

#[test]
fn the_wait_that_it_names_is_enough() {
    let now = Instant::now();
    let mut budget = LinkBudget::new(now, RATE);
    budget.take(now, LinkClass::Notice, 30_000).expect("full");
    let wait = budget.take(now, LinkClass::Detail, 100).expect_err("spent");
    assert!(budget.take(now + wait, LinkClass::Detail, 100).is_ok());
}
