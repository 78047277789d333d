//! Schedules: read and written, drawn alike from one seed, cut down to what fails.

use cometspool_fault_injection::schedule::{shrink, Act, Schedule};

/// Guards the text form: what is drawn can be written, read and played again; a seed draws the same each time; a number that
/// stands for nothing is named.
#[test]
fn what_is_drawn_can_be_written_and_read() {
    for seed in 0..200 {
        let drawn = Schedule::draw(seed, 5, 10.0, 8);
        assert_eq!(drawn, Schedule::draw(seed, 5, 10.0, 8));
        assert_eq!(Schedule::read(&drawn.write()).expect("a schedule"), drawn);
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

/// Guards the cutting down: of twenty faults the two that matter stay, in their order, and no play is of more than before.
#[test]
fn a_failing_schedule_is_cut_down_to_what_fails() {
    let (drawn, kill, cut) = (0..100)
        .find_map(|seed| {
            let drawn = Schedule::draw(seed, 5, 10.0, 20);
            let kill = drawn
                .faults
                .iter()
                .position(|fault| matches!(fault.act, Act::Kill { .. }))?;
            let cut = drawn
                .faults
                .iter()
                .position(|fault| matches!(fault.act, Act::Cut { .. }))?;
            Some((drawn, kill, cut))
        })
        .expect("a schedule with a kill and a cut");
    let has = |schedule: &Schedule, number: usize| {
        schedule
            .faults
            .iter()
            .any(|fault| fault.act == drawn.faults[number].act)
    };
    let mut played = 0;
    let least = shrink(&drawn, |schedule| {
        played += 1;
        assert!(schedule.faults.len() <= drawn.faults.len());
        has(schedule, kill) && has(schedule, cut)
    });
    assert_eq!(least.faults.len(), 2);
    assert!(
        has(&least, kill) && has(&least, cut) && played < 100,
        "{played} plays"
    );
}

/// Schedules that stand as text in a file of their own: the seed, processes, seconds, faults, and the text.
const GENERATED: [(u64, usize, f64, usize, &str); 3] = [
    (1, 5, 10.0, 6, include_str!("generated/seed-1.toml")),
    (100, 5, 8.0, 8, include_str!("generated/seed-100.toml")),
    (500, 7, 7.0, 10, include_str!("generated/seed-500.toml")),
];

/// FNV-1a over the texts of the schedules of seeds 0 to 499, five processes, 10 s, eight faults each.
const DIGEST: u64 = 0x7614_5ece_eb01_9afc;

/// A seed must generate the same schedule in every version, since seeds are recorded instead of schedules.
#[test]
fn a_seed_generates_the_same_schedule_in_every_version() {
    for (seed, processes, seconds, faults, text) in GENERATED {
        let schedule = Schedule::draw(seed, processes, seconds, faults);
        assert_eq!(schedule.write(), text, "seed {seed}");
    }
    let mut digest = 0xcbf2_9ce4_8422_2325_u64;
    for seed in 0..500 {
        for byte in Schedule::draw(seed, 5, 10.0, 8).write().bytes() {
            digest = (digest ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
    assert_eq!(digest, DIGEST, "{digest:#x}");
}

/// The names of fields in schedules, histories and figures are read by tools and by stored files.
#[test]
fn the_stored_forms_keep_their_field_names() {
    let keys = |value: serde_json::Value| -> Vec<String> {
        let map = value.as_object().expect("an object");
        map.keys().cloned().collect()
    };
    let quality = serde_json::to_value(cometspool_fault_injection::link::Quality::default());
    assert_eq!(
        keys(quality.expect("a value")),
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
    let manner = serde_json::to_value(cometspool_fault_injection::standins::Manner::default());
    assert_eq!(
        keys(manner.expect("a value")),
        ["fails", "full", "hangs", "slots", "work_ms"]
    );
    let acted = cometspool_fault_injection::link::Acted::default();
    assert_eq!(
        keys(acted.figures()),
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
    history.note("rig", "start", serde_json::json!({"process": "n0"}));
    let event = serde_json::to_value(&history.events()[0]);
    assert_eq!(
        keys(event.expect("a value")),
        ["at_us", "process", "what", "who"]
    );
}
