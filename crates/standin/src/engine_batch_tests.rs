use super::*;

fn options(slots: u32, queue_limit: u32) -> StandinOptions {
    StandinOptions {
        slots,
        queue_limit,
        time_per_kilobyte: Duration::from_millis(40),
        time_per_token: Duration::from_millis(2),
        ..StandinOptions::default()
    }
}

fn job(id: JobId, priority: i64, tokens: usize) -> EngineJob {
    EngineJob {
        id,
        priority,
        prompt_bytes: 0,
        prefixes: Vec::new(),
        tokens,
    }
}

#[test]
fn a_job_waits_for_a_slot_and_joins_between_steps() {
    let mut batch = EngineBatch::new(&options(1, 1));
    assert!(batch.submit(job(1, 0, 2)));
    assert_eq!(batch.step().unwrap().progressed, [1]);
    assert!(batch.submit(job(2, 0, 1)));
    assert!(!batch.submit(job(3, 0, 1)), "the queue holds one");
    assert_eq!((batch.running(), batch.queued()), (1, 1));
    assert_eq!(batch.step().unwrap().progressed, [1]);
    assert_eq!(batch.step().unwrap().progressed, [2]);
    assert_eq!(batch.step(), None);
}

#[test]
fn a_step_takes_longer_the_more_jobs_are_in_it() {
    let spans: Vec<u128> = (1..=3)
        .map(|jobs| {
            let mut batch = EngineBatch::new(&options(8, 8));
            (0..jobs).for_each(|id| assert!(batch.submit(job(id, 0, 1))));
            batch.step().unwrap().span.as_micros()
        })
        .collect();
    assert_eq!(spans, [2_000, 2_200, 2_400]);
}

#[test]
fn a_lower_priority_number_is_served_first() {
    let mut batch = EngineBatch::new(&options(1, 8));
    assert!(batch.submit(job(1, 5, 1)));
    assert!(batch.submit(job(2, 0, 1)));
    assert!(batch.submit(job(3, 5, 1)));
    let order: Vec<JobId> =
        std::iter::from_fn(|| batch.step().map(|step| step.progressed[0])).collect();
    assert_eq!(order, [2, 1, 3]);
}

#[test]
fn a_cached_prefix_skips_its_part_of_the_prefill() {
    let prompt = vec![b'a'; PREFIX_BLOCK_BYTES * 4];
    let mut batch = EngineBatch::new(&options(1, 8));
    let spans: Vec<u128> = (0..2)
        .map(|id| {
            let long = EngineJob {
                prompt_bytes: prompt.len() + 512,
                prefixes: PrefixHash::of_blocks(&prompt),
                ..job(id, 0, 1)
            };
            assert!(batch.submit(long));
            let prefill = batch.step().unwrap().span;
            assert_eq!(batch.step().unwrap().progressed, [id]);
            prefill.as_micros()
        })
        .collect();
    assert_eq!(spans, [60_000, 20_000]);
}

#[test]
fn a_cancelled_job_frees_its_slot() {
    let mut batch = EngineBatch::new(&options(1, 8));
    assert!(batch.submit(job(1, 0, 100)));
    assert!(batch.submit(job(2, 0, 1)));
    assert_eq!(batch.step().unwrap().progressed, [1]);
    assert!(batch.cancel(1));
    assert!(!batch.cancel(1));
    assert_eq!(batch.step().unwrap().progressed, [2]);
}
