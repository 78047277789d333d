//! Unit tests of `handover.rs`.

use super::*;

/// A temporary path that is unique to this process and `name`.
fn path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("handover-{}-{name}", std::process::id()))
}

/// Guards against a hand-over of wrong records: of several records of a request, the earliest deadline applies, and the
/// request may have run if any record says so. Torn, malformed and expired lines, and deadlines that no class allows,
/// are skipped.
#[test]
fn replay_merges_the_records_of_a_request_and_skips_implausible_lines() {
    let path = path("read");
    let clock = Clock::new();
    let now = clock.now();
    let near = now + 3000.0;
    let stale = now - 6000.0;
    let far = now + 9000.0;
    let text = format!(
        "1 {near:.0} taken a\n1 {near:.0} ran a\n1 {near:.0} taken b\n1 {stale:.0} ran c\n1 {far:.0} ran d\n\
         2 {near:.0} ran e\n1 NaN ran f\n1 {near:.0} ran g h\n1 {near:.0} ra"
    );
    std::fs::write(&path, [text.as_bytes(), b"\xff\xfe"].concat()).expect("a file");
    let handover = Handover::open(path.clone(), clock, 8000.0).expect("a handover");
    let states: Vec<_> = "abcdefgh"
        .chars()
        .map(|id| {
            handover
                .previous_record(&id.to_string())
                .map(|record| record.may_have_run)
        })
        .collect();
    assert_eq!(
        states,
        [Some(true), Some(false), None, None, None, None, None, None]
    );
    assert!((handover.previous_record("a").expect("known").deadline - near).abs() <= 1.0);
    std::fs::remove_file(path).expect("the file");
}

/// Guards against a file that grows without bound, and against evicting the record of a request that may have run.
#[test]
fn compaction_bounds_the_file_and_retains_requests_that_may_have_run() {
    let path = path("size");
    let clock = Clock::new();
    let end = clock.now() + 3000.0;
    let mut handover = Handover::open(path.clone(), clock, 8000.0).expect("a handover");
    handover.record_sent(&"unsafe".into(), end);
    for i in 0..3 * MAX_RECORDS {
        handover.record_accepted(&format!("safe-{i}").into(), end);
    }
    assert!(handover.current.len() <= MAX_RECORDS + 1);
    let length = std::fs::metadata(&path).expect("the file").len();
    assert!(length <= COMPACTION_BYTES + 64, "{length} bytes");
    let next = Handover::open(path.clone(), clock, 8000.0).expect("a handover");
    assert_eq!(
        next.previous_record("unsafe")
            .map(|record| record.may_have_run),
        Some(true)
    );
    std::fs::remove_file(path).expect("the file");
}

/// The content of the file at `path`.
fn file_content(path: &std::path::Path) -> String {
    std::fs::read_to_string(path).expect("the file")
}

/// Guards the format of the file, which is read by later versions of the program: no header, one line per record with
/// the format version, the deadline in whole Unix milliseconds, the state and the id.
#[test]
fn records_are_appended_in_the_fixed_line_format() {
    let path = path("append");
    let clock = Clock::new();
    let deadline = (clock.now() + 3000.0).floor();
    let mut handover = Handover::open(path.clone(), clock, 8000.0).expect("a handover");
    assert_eq!(file_content(&path), "");
    handover.record_accepted(&"a".into(), deadline);
    assert_eq!(file_content(&path), format!("1 {deadline} taken a\n"));
    handover.record_sent(&"a".into(), deadline + 0.25);
    // Already recorded as sent, so nothing is written.
    handover.record_sent(&"a".into(), deadline + 7.0);
    handover.record_sent(&"b/ü".into(), deadline + 0.75);
    let after = deadline + 1.0;
    let expected = format!("1 {deadline} taken a\n1 {deadline} ran a\n1 {after} ran b/ü\n");
    assert_eq!(file_content(&path), expected);
    assert!(!path.with_extension("new").exists());
    std::fs::remove_file(path).expect("the file");
}

/// Guards the replay after a restart: the records are read, and the file is rewritten with one line per relevant
/// request.
#[test]
fn a_restart_replays_the_records_and_compacts_them_in_the_same_format() {
    let path = path("replay");
    let clock = Clock::new();
    let deadline = (clock.now() + 3000.0).floor();
    let earlier = deadline - 500.0;
    let ended = deadline - 20_000.0;
    let text = format!(
        "1 {deadline} taken a\n1 {earlier} ran a\n1 {deadline} taken b\n1 {ended} ran c\n1 {deadline} ran d\n"
    );
    std::fs::write(&path, text).expect("a file");
    std::fs::write(path.with_extension("new"), "1 0 ran left over").expect("a file");
    let mut handover = Handover::open(path.clone(), clock, 8000.0).expect("a handover");
    let record = |deadline, may_have_run| {
        Some(RequestRecord {
            deadline,
            may_have_run,
        })
    };
    assert_eq!(handover.previous_record("a"), record(earlier, true));
    assert_eq!(handover.previous_record("b"), record(deadline, false));
    assert_eq!(handover.previous_record("c"), None);
    assert_eq!(handover.previous_record("d"), record(deadline, true));
    let text = file_content(&path);
    assert!(text.ends_with('\n'));
    let mut lines: Vec<&str> = text.lines().collect();
    lines.sort_unstable();
    let mut expected = [
        format!("1 {earlier} ran a"),
        format!("1 {deadline} taken b"),
        format!("1 {deadline} ran d"),
    ];
    expected.sort_unstable();
    assert_eq!(lines, expected);
    assert!(!path.with_extension("new").exists());
    // New records are appended to the compacted file and do not hide the records of the previous process.
    handover.record_accepted(&"d".into(), deadline + 9.0);
    let after = deadline + 9.0;
    assert_eq!(file_content(&path), format!("{text}1 {after} taken d\n"));
    assert_eq!(handover.previous_record("d"), record(deadline, true));
    std::fs::remove_file(path).expect("the file");
}

/// Guards the message of a failed start: it begins with the configuration key and names the file.
#[test]
fn an_unusable_file_is_reported_with_its_path_and_source() {
    let open = |path: &str| Handover::open(path.into(), Clock::new(), 8000.0).err();
    for (path, operation) in [("/nowhere/at/all", "write"), ("/", "read")] {
        let error = open(path).expect("an error");
        let source = std::error::Error::source(&error).expect("a source");
        assert_eq!(
            error.to_string(),
            format!("handover: cannot {operation} {path}: {source}")
        );
    }
    let unwritable = open("/nowhere/at/all");
    assert!(matches!(unwritable, Some(HandoverError::Unwritable { .. })));
    let unreadable = open("/");
    assert!(matches!(unreadable, Some(HandoverError::Unreadable { .. })));
}

/// Guards against losing records during a disk outage: after one second the gateway tries a new file and writes all
/// records in memory to it.
#[tokio::test(start_paused = true)]
async fn records_that_could_not_be_written_are_written_once_the_file_can_be() {
    let folder = path("outage");
    std::fs::create_dir(&folder).expect("a folder");
    let path = folder.join("handover");
    let clock = Clock::new();
    let deadline = (clock.now() + 4000.0).floor();
    let mut handover = Handover::open(path.clone(), clock, 8000.0).expect("a handover");
    handover.suspend_writing(clock.now());
    handover.record_accepted(&"a".into(), deadline);
    assert_eq!(file_content(&path), "");
    let pause = std::time::Duration::from_millis(1001);
    tokio::time::advance(pause).await;
    handover.record_sent(&"b".into(), deadline);
    let text = file_content(&path);
    let mut lines: Vec<&str> = text.lines().collect();
    lines.sort_unstable();
    assert_eq!(
        lines,
        [
            format!("1 {deadline} ran b"),
            format!("1 {deadline} taken a")
        ]
    );
    std::fs::remove_dir_all(folder).expect("the folder");
}
