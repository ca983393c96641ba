use super::*;

const CAPACITY: usize = 16 << 20;
const STEP: usize = 4 << 10;

/// Guards against bodies that each stay within their limit and together exceed the memory.
#[test]
fn bodies_that_grow_together_leave_room_for_a_small_one() {
    for count in [1, 120, 3_000] {
        let memory = BodyMemory::new(CAPACITY);
        let mut holds: Vec<BodyHold> = (0..count).map(|_| memory.hold()).collect();
        while holds.iter_mut().any(|hold| hold.grow(STEP).is_ok()) {
            assert!(memory.held() <= CAPACITY);
        }
        let mut small = memory.hold();
        assert_eq!(small.resize(STEP / 2), Ok(()), "beside {count}");
        drop((holds, small));
        assert_eq!(memory.held(), 0);
    }
}

/// Guards against a large body that is refused while nothing else is held.
#[test]
fn one_body_may_hold_half_of_the_memory() {
    let memory = BodyMemory::new(CAPACITY);
    let mut hold = memory.hold();
    assert_eq!(hold.check_room(CAPACITY / 2), Ok(()));
    assert_eq!(memory.held(), 0);
    assert_eq!(hold.resize(CAPACITY / 2), Ok(()));
    assert!(hold.grow(1).is_err());
    assert_eq!(memory.held(), CAPACITY / 2);
}

/// Guards against bodies without progress that keep room from those with it.
#[test]
fn a_stalled_body_yields_only_while_memory_is_short() {
    let memory = BodyMemory::new(CAPACITY);
    let mut stalled = memory.hold();
    stalled.resize(CAPACITY / 4).expect("room for one");
    assert_eq!(stalled.check_stalled(), Ok(()));
    let mut others: Vec<BodyHold> = (0..70).map(|_| memory.hold()).collect();
    for hold in &mut others {
        hold.resize(CAPACITY / 128).expect("room for a small one");
    }
    assert!(stalled.check_stalled().is_err());
    drop(others);
    assert_eq!(stalled.check_stalled(), Ok(()));
}

/// Guards against room that is lost when a body is dropped or shrinks while others grow.
#[test]
fn all_room_is_given_back() {
    let memory = BodyMemory::new(CAPACITY);
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                for step in 0..2_000 {
                    let mut hold = memory.hold();
                    let _refused_beside_others = hold.grow(step * 17);
                    let _refused_beside_others = hold.resize(step);
                }
            });
        }
    });
    assert_eq!(memory.held(), 0);
    assert!(memory.peak() <= CAPACITY);
}
