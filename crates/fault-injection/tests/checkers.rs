//! Runs each checker on histories that break its rule, and on similar histories that do not.

use cometspool_fault_injection::check::{
    check_all, final_responses, no_crash, non_idempotent_once, Checker,
};
use cometspool_fault_injection::history::{read, Event};

/// Reads a history in short notation: events separated by semicolons, each `who what field=value …`. The time of an
/// event is its index. An underscore in a value that is not JSON stands for a space.
fn history(text: &str) -> Vec<Event> {
    let lines = text
        .split(';')
        .map(str::trim)
        .enumerate()
        .map(|(index, line)| {
            let mut words = line.split(' ');
            let mut event =
                serde_json::json!({"at_us": index, "who": words.next(), "what": words.next()});
            for word in words {
                let (key, value) = word.split_once('=').expect("key=value");
                event[key] =
                    serde_json::from_str(value).unwrap_or_else(|_| value.replace('_', " ").into());
            }
            event.to_string()
        });
    read(&lines.collect::<Vec<_>>().join("\n")).expect("a history")
}

/// Each checker finds the violations of its rule, and only those. Guards against a checker that finds nothing, with
/// which every run would pass.
#[test]
fn each_checker_finds_exactly_the_violations_of_its_rule() {
    const SENT: &str = "clients asked id=a process=n0 effect=unsafe";
    let cases: [(Checker, &str, usize); 18] = [
        (final_responses, "clients answered id=a status=200 own=true", 0),
        (final_responses, "clients answered id=a status=200 own=false", 1),
        (final_responses, "clients answered id=a status=502; clients answered id=a status=502", 1),
        (final_responses, "clients unanswered id=a process=n0 why=late", 1),
        (final_responses, "clients unanswered id=a process=n0 why=not-taken", 0),
        (final_responses, "rig signal process=n0 signal=SIGKILL; clients unanswered id=a process=n0 why=broken", 0),
        (final_responses, "rig signal process=n1 signal=SIGKILL; clients unanswered id=a process=n0 why=broken", 1),
        (non_idempotent_once, "backend-0 ran id=a", 0),
        (non_idempotent_once, "backend-0 ran id=a; backend-1 ran id=a", 1),
        (non_idempotent_once, "backend-0 ran id=a; clients answered id=a status=429", 1),
        (non_idempotent_once, "clients answered id=a status=503; backend-0 ran id=a", 1),
        (non_idempotent_once, "backend-0 turned-away id=a; clients answered id=a status=429", 0),
        (no_crash, "rig ended process=n0 status=exit_status:_1", 1),
        (no_crash, "rig signal process=n0 signal=SIGKILL; rig ended process=n0 status=signal:_9", 0),
        (no_crash, "rig signal process=n0 signal=SIGTERM; rig ended process=n0 status=exit_status:_0", 0),
        (no_crash, "rig signal process=n0 signal=SIGTERM; rig ended process=n0 status=exit_status:_70", 1),
        (
            no_crash,
            "rig signal process=n0 signal=SIGKILL; rig start process=n0; rig ended process=n0 status=signal:_6",
            1,
        ),
        (check_all, "backend-0 ran id=a; clients answered id=a status=200 own=true", 0),
    ];
    for (checker, text, expected) in cases {
        let found = checker(&history(&format!("{SENT}; {text}")));
        assert_eq!(found.len(), expected, "{text}: {found:?}");
    }
    // A process that was unavailable only before a request must not lose that request.
    let text = "rig signal process=n0 signal=SIGSTOP; rig signal process=n0 signal=SIGCONT";
    let found = final_responses(&history(&format!(
        "{text}; {SENT}; clients unanswered id=a process=n0 why=late"
    )));
    assert_eq!(found.len(), 1, "{found:?}");
}
