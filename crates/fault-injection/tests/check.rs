//! Each checker on histories that must fail, and on their nearest neighbours that must not.

use cometspool_fault_injection::check::{all, final_answers, no_crash, unsafe_once, Checker};
use cometspool_fault_injection::history::read;

/// A history in short: a line each, `who what field=value …`; the time is the line's number.
fn history(text: &str) -> Vec<cometspool_fault_injection::history::Event> {
    let lines = text
        .split(';')
        .map(str::trim)
        .enumerate()
        .map(|(at, line)| {
            let mut words = line.split(' ');
            let mut event =
                serde_json::json!({"at_us": at, "who": words.next(), "what": words.next()});
            for word in words {
                let (key, value) = word.split_once('=').expect("key=value");
                event[key] =
                    serde_json::from_str(value).unwrap_or_else(|_| value.replace('_', " ").into());
            }
            event.to_string()
        });
    read(&lines.collect::<Vec<_>>().join("\n")).expect("a history")
}

/// Guards the guards: a checker that finds nothing in these would find nothing anywhere.
#[test]
fn each_checker_finds_what_it_is_for_and_nothing_beside_it() {
    const ASKED: &str = "clients asked id=a process=n0 effect=unsafe";
    let cases: [(Checker, &str, usize); 18] = [
        (final_answers, "clients answered id=a status=200 own=true", 0),
        (final_answers, "clients answered id=a status=200 own=false", 1),
        (final_answers, "clients answered id=a status=502; clients answered id=a status=502", 1),
        (final_answers, "clients unanswered id=a process=n0 why=late", 1),
        (final_answers, "clients unanswered id=a process=n0 why=not-taken", 0),
        (final_answers, "rig signal process=n0 signal=SIGKILL; clients unanswered id=a process=n0 why=broken", 0),
        (final_answers, "rig signal process=n1 signal=SIGKILL; clients unanswered id=a process=n0 why=broken", 1),
        (unsafe_once, "backend-0 ran id=a", 0),
        (unsafe_once, "backend-0 ran id=a; backend-1 ran id=a", 1),
        (unsafe_once, "backend-0 ran id=a; clients answered id=a status=429", 1),
        (unsafe_once, "clients answered id=a status=503; backend-0 ran id=a", 1),
        (unsafe_once, "backend-0 turned-away id=a; clients answered id=a status=429", 0),
        (no_crash, "rig ended process=n0 status=exit_status:_1", 1),
        (no_crash, "rig signal process=n0 signal=SIGKILL; rig ended process=n0 status=signal:_9", 0),
        (no_crash, "rig signal process=n0 signal=SIGTERM; rig ended process=n0 status=exit_status:_0", 0),
        (no_crash, "rig signal process=n0 signal=SIGTERM; rig ended process=n0 status=exit_status:_70", 1),
        (
            no_crash,
            "rig signal process=n0 signal=SIGKILL; rig start process=n0; rig ended process=n0 status=signal:_6",
            1,
        ),
        (all, "backend-0 ran id=a; clients answered id=a status=200 own=true", 0),
    ];
    for (checker, text, expected) in cases {
        let found = checker(&history(&format!("{ASKED}; {text}")));
        assert_eq!(found.len(), expected, "{text}: {found:?}");
    }
    // A spell of trouble that is over before a request excuses nothing.
    let text = "rig signal process=n0 signal=SIGSTOP; rig signal process=n0 signal=SIGCONT";
    let found = final_answers(&history(&format!(
        "{text}; {ASKED}; clients unanswered id=a process=n0 why=late"
    )));
    assert_eq!(found.len(), 1, "{found:?}");
}
