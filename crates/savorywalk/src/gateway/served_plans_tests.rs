use super::*;

const TIMEOUT: Duration = Duration::from_secs(2);

/// Guards against a stop that cuts off plans of other entries, and against one that waits without
/// any.
#[tokio::test(start_paused = true)]
async fn a_stop_waits_for_plans_of_others_and_no_longer() {
    let plans = ServedPlans::default();
    let began = tokio::time::Instant::now();
    plans.drain(TIMEOUT).await;
    assert_eq!(began.elapsed(), Duration::ZERO);
    let (first, second) = (plans.begin(), plans.begin());
    let ending = async {
        drop(first);
        tokio::time::sleep(TIMEOUT / 2).await;
        drop(second);
    };
    tokio::join!(plans.drain(TIMEOUT), ending);
    assert_eq!(began.elapsed(), TIMEOUT / 2);
}

/// Guards against a stop that lasts as long as the slowest plan.
#[tokio::test(start_paused = true)]
async fn a_stop_waits_for_plans_of_others_for_a_limited_time() {
    let plans = ServedPlans::default();
    let began = tokio::time::Instant::now();
    let _plan = plans.begin();
    plans.drain(TIMEOUT).await;
    assert_eq!(began.elapsed(), TIMEOUT);
}
