//! Unit tests of `outbox.rs`.

use super::*;

/// Guards the order and the limits of the lanes. The highest-priority lane is sent first. A full
/// lane refuses frames, except that the best-effort lane drops its oldest ones instead. No lane
/// takes up the space of another.
#[test]
fn lanes_are_sent_by_priority_and_stay_within_their_limits() {
    let frame = |byte: u8| Bytes::from(vec![byte; 40]);
    let mut outbox = Outbox::new(100);
    for byte in 0..10 {
        assert_eq!(outbox.push(Lane::BestEffort, frame(byte)), Ok(()));
    }
    assert_eq!(outbox.dropped, 8);
    assert_eq!(outbox.push(Lane::Replication, frame(20)), Ok(()));
    assert_eq!(outbox.push(Lane::Consensus, frame(30)), Ok(()));
    assert_eq!(outbox.push(Lane::Consensus, frame(31)), Ok(()));
    assert_eq!(outbox.push(Lane::Consensus, frame(32)), Err(OutboxFull));
    assert_eq!(
        outbox.push(Lane::BestEffort, Bytes::from(vec![0; 101])),
        Err(OutboxFull)
    );
    let order: Vec<u8> = std::iter::from_fn(|| outbox.pop())
        .map(|frame| frame[0])
        .collect();
    assert_eq!(order, [30, 31, 20, 8, 9]);
    assert!(outbox.is_empty() && outbox.lanes.iter().all(|lane| lane.bytes == 0));
}
