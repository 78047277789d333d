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
