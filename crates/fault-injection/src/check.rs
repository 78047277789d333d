//! Checkers of rules that must hold for every history, whether a cluster or a simulation recorded it. No rule contains
//! a time limit, so that a slow machine changes no result.

use crate::history::{Event, CLIENTS, CLUSTER};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The name of the rule, as in [`CHECKERS`].
    pub rule: &'static str,
    /// What happened, and to which request or process.
    pub description: String,
    /// When the violation was observed, µs of the history's clock.
    pub at_us: u64,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} at {} us: {}",
            self.rule, self.at_us, self.description
        )
    }
}

/// A function that finds the violations of one rule.
pub type Checker = fn(&[Event]) -> Vec<Violation>;

/// All checkers, by the names of their rules.
pub const CHECKERS: [(&str, Checker); 3] = [
    (FINAL_RESPONSES, final_responses),
    (NON_IDEMPOTENT_ONCE, non_idempotent_once),
    (NO_CRASH, no_crash),
];

// The names under which violations are reported.
const FINAL_RESPONSES: &str = "final answers";
const NON_IDEMPOTENT_ONCE: &str = "unsafe once";
const NO_CRASH: &str = "no crash";

/// The violations of all rules.
pub fn check_all(events: &[Event]) -> Vec<Violation> {
    CHECKERS
        .iter()
        .flat_map(|(_, check)| check(events))
        .collect()
}

/// A period in which a process may lose requests, µs.
struct Period {
    start_us: u64,
    /// [`u64::MAX`] while the period has not ended.
    end_us: u64,
}

/// The periods in which processes may lose requests: from a signal that kills, stops or terminates a process until the
/// process is started or resumed.
struct UnavailablePeriods<'a> {
    /// By the name of the process.
    periods: HashMap<&'a str, Vec<Period>>,
}

impl<'a> UnavailablePeriods<'a> {
    fn from_events(events: &'a [Event]) -> UnavailablePeriods<'a> {
        let mut unavailable = UnavailablePeriods {
            periods: HashMap::new(),
        };
        for event in events.iter().filter(|event| event.source == CLUSTER) {
            let periods = unavailable
                .periods
                .entry(event.text("process"))
                .or_default();
            match (event.kind.as_str(), event.text("signal")) {
                ("signal", "SIGKILL" | "SIGSTOP" | "SIGTERM") => periods.push(Period {
                    start_us: event.at_us,
                    end_us: u64::MAX,
                }),
                ("start", _) | ("signal", "SIGCONT") => {
                    for period in periods
                        .iter_mut()
                        .filter(|period| period.end_us == u64::MAX)
                    {
                        period.end_us = event.at_us;
                    }
                }
                _ => {}
            }
        }
        unavailable
    }

    /// Whether a process was unavailable at any time from `start_us` to `end_us`.
    fn overlaps(&self, process: &str, start_us: u64, end_us: u64) -> bool {
        self.periods.get(process).is_some_and(|periods| {
            periods
                .iter()
                .any(|period| period.start_us <= end_us && period.end_us >= start_us)
        })
    }
}

/// Every request that a gateway accepted gets exactly one response, and a successful response belongs to its request. A
/// process that was unavailable between the request and its end may lose the request. A request that is still open at
/// the end of the history breaks no rule.
pub fn final_responses(events: &[Event]) -> Vec<Violation> {
    let unavailable = UnavailablePeriods::from_events(events);
    let mut sent: HashMap<&str, &Event> = HashMap::new();
    let mut violations = Vec::new();
    for event in events.iter().filter(|event| event.source == CLIENTS) {
        let id = event.text("id");
        match event.kind.as_str() {
            "asked" => {
                sent.insert(id, event);
            }
            "answered" | "unanswered" => {
                let descriptions = match sent.remove(id) {
                    Some(request) => response_violations(request, event, &unavailable),
                    None => vec![format!(
                        "request {id} ended without having been sent, or more than once"
                    )],
                };
                let found = descriptions.into_iter().map(|description| Violation {
                    rule: FINAL_RESPONSES,
                    description,
                    at_us: event.at_us,
                });
                violations.extend(found);
            }
            _ => {}
        }
    }
    violations
}

/// The violations of [`final_responses`] in how a request ended.
fn response_violations(
    request: &Event,
    response: &Event,
    unavailable: &UnavailablePeriods<'_>,
) -> Vec<String> {
    let id = response.text("id");
    let process = response.text("process");
    let reason = response.text("why");
    let mut descriptions = Vec::new();
    let succeeded = response.number("status") == Some(200);
    if succeeded && response.fields.get("own") != Some(&true.into()) {
        descriptions.push(format!("request {id} got the response of another request"));
    }
    let lost = response.kind == "unanswered" && reason != "not-taken";
    if lost && !unavailable.overlaps(process, request.at_us, response.at_us) {
        descriptions.push(format!(
            "request {id} to {process} got no response: {reason}"
        ));
    }
    descriptions
}

/// What the history says so far about the executions of a non-idempotent request.
#[derive(Default)]
struct Executions {
    /// How often backends ran the request.
    count: u32,
    /// Whether a response with status 429 or 503 said that the request did not run and is safe to retry.
    rejected: bool,
}

/// A non-idempotent request runs at most once, and not at all if it was rejected as safe to retry.
pub fn non_idempotent_once(events: &[Event]) -> Vec<Violation> {
    let mut requests: BTreeMap<&str, Executions> = events
        .iter()
        .filter(|event| event.kind == "asked" && event.text("effect") == "unsafe")
        .map(|event| (event.text("id"), Executions::default()))
        .collect();
    let mut violations = Vec::new();
    for event in events {
        let Some(request) = requests.get_mut(event.text("id")) else {
            continue;
        };
        match event.kind.as_str() {
            "ran" => request.count += 1,
            "answered" if matches!(event.number("status"), Some(429 | 503)) => {
                request.rejected = true;
            }
            _ => continue,
        }
        let description = match (request.count, request.rejected) {
            (2.., _) => "ran more than once",
            (1, true) => "ran, although it was rejected as safe to retry",
            _ => continue,
        };
        violations.push(Violation {
            rule: NON_IDEMPOTENT_ONCE,
            description: format!("request {} {description}", event.text("id")),
            at_us: event.at_us,
        });
    }
    violations
}

/// No process ends except by a signal that the cluster sent, and after SIGTERM only with exit status 0.
pub fn no_crash(events: &[Event]) -> Vec<Violation> {
    let mut last_signals: HashMap<&str, &str> = HashMap::new();
    let mut violations = Vec::new();
    for event in events.iter().filter(|event| event.source == CLUSTER) {
        let process = event.text("process");
        match event.kind.as_str() {
            "start" => {
                last_signals.remove(process);
            }
            "signal" if matches!(event.text("signal"), "SIGKILL" | "SIGTERM") => {
                last_signals.insert(process, event.text("signal"));
            }
            "ended" => {
                let status = event.text("status");
                let expected = match last_signals.get(process) {
                    Some(&"SIGKILL") => true,
                    Some(_) => status == "exit status: 0",
                    None => false,
                };
                if !expected {
                    violations.push(Violation {
                        rule: NO_CRASH,
                        description: format!("{process} ended unexpectedly: {status}"),
                        at_us: event.at_us,
                    });
                }
            }
            _ => {}
        }
    }
    violations
}
