use super::*;

fn queue() -> SendQueue {
    SendQueue::new(Arc::new(QueueQuota::default()))
}

fn offer(queue: &mut SendQueue, class: LinkClass, payload: Vec<u8>) -> QueueOutcome {
    queue.push(LinkChannel::Directory, class, payload.into())
}

#[test]
fn classes_go_out_in_order() {
    let mut queue = queue();
    offer(&mut queue, LinkClass::Detail, vec![1]);
    offer(&mut queue, LinkClass::Update, vec![2]);
    offer(&mut queue, LinkClass::Notice, vec![3]);
    let mut order = Vec::new();
    while let Some((class, _)) = queue.peek() {
        order.push(queue.pop(class).expect("it was there").payloads[0][0]);
    }
    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn a_full_lane_drops_old_detail_but_refuses_new_notices() {
    let mut queue = queue();
    for value in 0..LinkClass::Detail.bound().messages + 3 {
        offer(&mut queue, LinkClass::Detail, vec![value as u8]);
    }
    assert_eq!(
        queue.pop(LinkClass::Detail).expect("full").payloads[0][0],
        3
    );
    for _ in 0..LinkClass::Notice.bound().messages {
        assert_eq!(
            offer(&mut queue, LinkClass::Notice, vec![0]),
            QueueOutcome::Queued
        );
    }
    assert_eq!(
        offer(&mut queue, LinkClass::Notice, vec![0]),
        QueueOutcome::Full
    );
}

#[test]
fn the_bound_counts_bytes_too() {
    let mut queue = queue();
    let half = LinkClass::Update.bound().bytes / 2 + 1;
    assert_eq!(
        offer(&mut queue, LinkClass::Update, vec![0; half]),
        QueueOutcome::Queued
    );
    let outcome = offer(&mut queue, LinkClass::Update, vec![0; half]);
    assert_eq!(outcome, QueueOutcome::Displaced(1));
    let huge = LinkClass::Update.bound().bytes + 1;
    assert_eq!(
        offer(&mut queue, LinkClass::Update, vec![0; huge]),
        QueueOutcome::Full
    );
}

#[test]
fn many_unreachable_peers_leave_room_for_notices() {
    let quota = Arc::new(QueueQuota::default());
    let mut queues: Vec<_> = (0..400)
        .map(|_| SendQueue::new(Arc::clone(&quota)))
        .collect();
    let mut refused = 0;
    for queue in &mut queues {
        for class in [LinkClass::Detail, LinkClass::Update] {
            let payload = vec![0; class.bound().bytes];
            refused += usize::from(offer(queue, class, payload) == QueueOutcome::Full);
        }
    }
    assert!(refused > 700, "{refused}");
    for queue in &mut queues {
        assert_eq!(
            offer(queue, LinkClass::Notice, vec![0; 100]),
            QueueOutcome::Queued
        );
    }
    drop(queues);
    let mut queue = SendQueue::new(quota);
    assert_eq!(
        offer(&mut queue, LinkClass::Detail, vec![0; 100]),
        QueueOutcome::Queued
    );
}

#[test]
fn a_batch_holds_one_channel_and_is_bounded() {
    let mut queue = queue();
    queue.push(
        LinkChannel::Directory,
        LinkClass::Update,
        vec![0; MAX_BATCH_BYTES].into(),
    );
    queue.push(LinkChannel::Directory, LinkClass::Update, vec![1].into());
    queue.push(LinkChannel::Membership, LinkClass::Update, vec![2].into());
    let lengths: Vec<_> = std::iter::from_fn(|| queue.pop(LinkClass::Update))
        .map(|batch| (batch.channel, batch.payloads.len()))
        .collect();
    let expected = [
        (LinkChannel::Directory, 1),
        (LinkChannel::Directory, 1),
        (LinkChannel::Membership, 1),
    ];
    assert_eq!(lengths, expected);
}
