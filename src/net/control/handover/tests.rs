//! Unit tests of `handover.rs`.

use super::*;

fn path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("handover-{}-{name}", std::process::id()))
}

/// Guards what is handed over: the least time and the worst that was seen of a request; torn, odd and stale lines,
/// and times that no class allows, tell nothing.
#[test]
fn what_was_left_is_read_and_the_rest_passed_over() {
    let (path, clock) = (path("read"), Clock::new());
    let now = clock.now();
    let (near, stale, far) = (now + 3000.0, now - 6000.0, now + 9000.0);
    let text = format!(
        "1 {near:.0} taken a\n1 {near:.0} ran a\n1 {near:.0} taken b\n1 {stale:.0} ran c\n1 {far:.0} ran d\n\
         2 {near:.0} ran e\n1 NaN ran f\n1 {near:.0} ran g h\n1 {near:.0} ra"
    );
    std::fs::write(&path, [text.as_bytes(), b"\xff\xfe"].concat()).expect("a file");
    let handover = Handover::open(path.clone(), clock, 8000.0).expect("a handover");
    let known: Vec<_> = "abcdefgh"
        .chars()
        .map(|id| {
            handover
                .previous_record(&id.to_string())
                .map(|k| k.may_have_run)
        })
        .collect();
    assert_eq!(
        known,
        [Some(true), Some(false), None, None, None, None, None, None]
    );
    assert!((handover.previous_record("a").expect("known").deadline - near).abs() <= 1.0);
    std::fs::remove_file(path).expect("the file");
}

/// Guards the file's size, and what must not run twice against being forgotten with the rest.
#[test]
fn the_file_stays_small_and_keeps_what_must_not_run_twice() {
    let (path, clock) = (path("size"), Clock::new());
    let end = clock.now() + 3000.0;
    let mut handover = Handover::open(path.clone(), clock, 8000.0).expect("a handover");
    handover.record_sent(&"unsafe".into(), end);
    for i in 0..3 * MOST {
        handover.record_accepted(&format!("safe-{i}").into(), end);
    }
    assert!(handover.own.len() <= MOST + 1);
    let length = std::fs::metadata(&path).expect("the file").len();
    assert!(length <= COMPACT + 64, "{length} bytes");
    let next = Handover::open(path.clone(), clock, 8000.0).expect("a handover");
    assert_eq!(
        next.previous_record("unsafe")
            .map(|known| known.may_have_run),
        Some(true)
    );
    std::fs::remove_file(path).expect("the file");
}
