//! Schedules: reading and writing, generation from a seed, and shrinking.

use cometspool_fault_injection::schedule::{shrink, FaultAction, Schedule};

/// A generated schedule can be written and read, and a seed generates the same schedule each time. The error for a
/// process that does not exist names the fault and the process; unknown keys are errors too.
#[test]
fn generated_schedules_survive_writing_and_reading() {
    for seed in 0..200 {
        let schedule = Schedule::generate(seed, 5, 10.0, 8);
        assert_eq!(schedule, Schedule::generate(seed, 5, 10.0, 8));
        assert_eq!(
            Schedule::read(&schedule.write()).expect("a schedule"),
            schedule
        );
    }
    let text =
        "seed = 1\nprocesses = 2\nseconds = 1.0\n[[fault]]\nat = 0\nact = \"pause\"\nwho = [2]\n";
    let error = Schedule::read(text).expect_err("no process 2").to_string();
    assert!(
        error.contains("fault 1") && error.contains("process 2"),
        "{error}"
    );
    assert!(Schedule::read("seed = 1\nprocesses = 2\nseconds = 1.0\nnonsense = 1\n").is_err());
}

/// Shrinking keeps only the two of twenty faults that are needed for the failure, and no candidate has more faults than
/// the schedule.
#[test]
fn shrinking_keeps_only_the_faults_that_matter() {
    let (schedule, kill, blackhole) = (0..100)
        .find_map(|seed| {
            let schedule = Schedule::generate(seed, 5, 10.0, 20);
            let kill = schedule
                .faults
                .iter()
                .position(|fault| matches!(fault.action, FaultAction::Kill { .. }))?;
            let blackhole = schedule
                .faults
                .iter()
                .position(|fault| matches!(fault.action, FaultAction::Blackhole { .. }))?;
            Some((schedule, kill, blackhole))
        })
        .expect("a schedule with a kill and a blackhole");
    let contains = |candidate: &Schedule, index: usize| {
        candidate
            .faults
            .iter()
            .any(|fault| fault.action == schedule.faults[index].action)
    };
    let mut runs = 0;
    let smallest = shrink(&schedule, |candidate| {
        runs += 1;
        assert!(candidate.faults.len() <= schedule.faults.len());
        contains(candidate, kill) && contains(candidate, blackhole)
    });
    assert_eq!(smallest.faults.len(), 2);
    assert!(
        contains(&smallest, kill) && contains(&smallest, blackhole) && runs < 100,
        "{runs} runs"
    );
}

/// Arguments of [`Schedule::generate`] (seed, processes, seconds, faults), each with the expected text of the schedule.
const GENERATED: [(u64, usize, f64, usize, &str); 3] = [
    (1, 5, 10.0, 6, include_str!("generated/seed-1.toml")),
    (100, 5, 8.0, 8, include_str!("generated/seed-100.toml")),
    (500, 7, 7.0, 10, include_str!("generated/seed-500.toml")),
];

/// The 64-bit FNV-1a hash of the texts of the schedules of seeds 0 to 499, each for 5 processes, 10 s and 8 faults.
const DIGEST: u64 = 0x7614_5ece_eb01_9afc;

/// A seed must generate the same schedule in every version, since seeds are recorded instead of schedules.
#[test]
fn a_seed_generates_the_same_schedule_in_every_version() {
    for (seed, processes, seconds, faults, text) in GENERATED {
        let schedule = Schedule::generate(seed, processes, seconds, faults);
        assert_eq!(schedule.write(), text, "seed {seed}");
    }
    let mut digest = 0xcbf2_9ce4_8422_2325_u64;
    for seed in 0..500 {
        for byte in Schedule::generate(seed, 5, 10.0, 8).write().bytes() {
            digest = (digest ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
    assert_eq!(digest, DIGEST, "{digest:#x}");
}

/// The names of fields in schedules, histories and reports stay the same: stored files contain them and tools read
/// them.
#[test]
fn the_stored_forms_keep_their_field_names() {
    let keys = |value: serde_json::Value| -> Vec<String> {
        let map = value.as_object().expect("an object");
        map.keys().cloned().collect()
    };
    let conditions =
        serde_json::to_value(cometspool_fault_injection::link::LinkConditions::default());
    assert_eq!(
        keys(conditions.expect("a value")),
        [
            "bytes_per_s",
            "cut",
            "damage",
            "delay_ms",
            "duplicate",
            "loss",
            "refuse",
            "reorder",
            "spread_ms",
        ]
    );
    let behavior =
        serde_json::to_value(cometspool_fault_injection::stub_services::BackendBehavior::default());
    assert_eq!(
        keys(behavior.expect("a value")),
        ["fails", "full", "hangs", "slots", "work_ms"]
    );
    let counters = cometspool_fault_injection::link::LinkCounters::default();
    assert_eq!(
        keys(counters.to_json()),
        [
            "bytes",
            "damaged",
            "datagram_bytes",
            "datagrams",
            "delayed",
            "duplicated",
            "ended",
            "held",
            "lost",
            "refusals",
            "reordered",
        ]
    );
    let history = cometspool_fault_injection::history::History::default();
    history.record("rig", "start", serde_json::json!({"process": "n0"}));
    let event = serde_json::to_value(&history.events()[0]);
    assert_eq!(
        keys(event.expect("a value")),
        ["at_us", "process", "what", "who"]
    );
}
