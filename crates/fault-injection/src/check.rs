//! Checkers: what must hold of a history, whoever wrote it. None looks at a limit of time: a slow machine changes no verdict.

use crate::history::Event;
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// Something in a history that must not be.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule.
    pub rule: &'static str,
    /// What broke it.
    pub what: String,
    /// When it was seen.
    pub at_us: u64,
}

impl fmt::Display for Violation {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "{} at {} us: {}", self.rule, self.at_us, self.what)
    }
}

/// A checker.
pub type Checker = fn(&[Event]) -> Vec<Violation>;

/// All checkers by name.
pub const ALL: [(&str, Checker); 3] = [
    ("final answers", final_answers),
    ("unsafe once", unsafe_once),
    ("no crash", no_crash),
];

/// All that any checker finds.
pub fn all(events: &[Event]) -> Vec<Violation> {
    ALL.iter().flat_map(|(_, check)| check(events)).collect()
}

/// When processes were not to be relied on to answer: killed, stopped or told to end, until they were started or went on.
struct Troubled<'a>(HashMap<&'a str, Vec<(u64, u64)>>);

impl<'a> Troubled<'a> {
    fn of(events: &'a [Event]) -> Troubled<'a> {
        let mut spells: HashMap<&str, Vec<(u64, u64)>> = HashMap::new();
        for event in events.iter().filter(|event| event.who == "rig") {
            let spells = spells.entry(event.text("process")).or_default();
            match (event.what.as_str(), event.text("signal")) {
                ("signal", "SIGKILL" | "SIGSTOP" | "SIGTERM") => {
                    spells.push((event.at_us, u64::MAX));
                }
                ("start", _) | ("signal", "SIGCONT") => {
                    spells
                        .iter_mut()
                        .filter(|spell| spell.1 == u64::MAX)
                        .for_each(|spell| spell.1 = event.at_us);
                }
                _ => {}
            }
        }
        Troubled(spells)
    }

    fn within(&self, process: &str, from: u64, to: u64) -> bool {
        self.0
            .get(process)
            .is_some_and(|spells| spells.iter().any(|spell| spell.0 <= to && spell.1 >= from))
    }
}

/// Every request that a front door took is answered, once, and what is served is its own answer. One that was killed or
/// stopped meanwhile may have lost it; the rule asks nothing of a client that asks past the end of the history.
pub fn final_answers(events: &[Event]) -> Vec<Violation> {
    let troubled = Troubled::of(events);
    let mut asked: HashMap<&str, &Event> = HashMap::new();
    let mut found = Vec::new();
    let mut broken = |what: String, event: &Event| {
        found.push(Violation {
            rule: "final answers",
            what,
            at_us: event.at_us,
        });
    };
    for event in events.iter().filter(|event| event.who == "clients") {
        let id = event.text("id");
        match event.what.as_str() {
            "asked" => {
                asked.insert(id, event);
            }
            "answered" | "unanswered" => {
                let Some(ask) = asked.remove(id) else {
                    broken(
                        format!("{id} was answered without having been asked, or twice"),
                        event,
                    );
                    continue;
                };
                let served = event.number("status") == Some(200);
                if served && event.more.get("own") != Some(&true.into()) {
                    broken(
                        format!("{id} was served with somebody else's answer"),
                        event,
                    );
                }
                let lost = event.what == "unanswered" && event.text("why") != "not-taken";
                if lost && !troubled.within(event.text("process"), ask.at_us, event.at_us) {
                    broken(
                        format!(
                            "{id} was lost by {}: {}",
                            event.text("process"),
                            event.text("why")
                        ),
                        event,
                    );
                }
            }
            _ => {}
        }
    }
    found
}

/// A request that must not run twice does not, and what is refused as harmless to repeat did not run.
pub fn unsafe_once(events: &[Event]) -> Vec<Violation> {
    let effect = |event: &Event| event.what == "asked" && event.text("effect") == "unsafe";
    let mut runs: BTreeMap<&str, (u32, Option<u64>)> = events
        .iter()
        .filter(|event| effect(event))
        .map(|event| (event.text("id"), (0, None)))
        .collect();
    let mut found = Vec::new();
    for event in events {
        let Some((ran, refused)) = runs.get_mut(event.text("id")) else {
            continue;
        };
        match event.what.as_str() {
            "ran" => *ran += 1,
            "answered" if matches!(event.number("status"), Some(429 | 503)) => {
                *refused = Some(event.at_us);
            }
            _ => continue,
        }
        let what = match (*ran, *refused) {
            (2.., _) => "ran twice",
            (1, Some(_)) => "was refused as harmless to repeat, and ran",
            _ => continue,
        };
        found.push(Violation {
            rule: "unsafe once",
            what: format!("{} {what}", event.text("id")),
            at_us: event.at_us,
        });
    }
    found
}

/// No process ends but by a signal that the rig sent, or in good order after SIGTERM.
pub fn no_crash(events: &[Event]) -> Vec<Violation> {
    let mut told: HashMap<&str, &str> = HashMap::new();
    let mut found = Vec::new();
    for event in events.iter().filter(|event| event.who == "rig") {
        let process = event.text("process");
        match event.what.as_str() {
            "start" => {
                told.remove(process);
            }
            "signal" if matches!(event.text("signal"), "SIGKILL" | "SIGTERM") => {
                told.insert(process, event.text("signal"));
            }
            "ended" => {
                let status = event.text("status");
                let fine = match told.get(process) {
                    Some(&"SIGKILL") => true,
                    Some(_) => status == "exit status: 0",
                    None => false,
                };
                if !fine {
                    let what = format!("{process} ended by itself: {status}");
                    found.push(Violation {
                        rule: "no crash",
                        what,
                        at_us: event.at_us,
                    });
                }
            }
            _ => {}
        }
    }
    found
}
