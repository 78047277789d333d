//! Conversion of the simulator's event records into events of the policy engine, and of the engine's actions into
//! action records.

use crate::codec::{
    CompletedAttempt, CompletedHealthCheck, IncomingRequest, ListEntry, Record, Reply,
};
use cometspool::settings::{self, Metric};
use cometspool::*;

/// Converts a record into an event; returns `None` if the policy engine has no event for the record. `metrics` gives
/// the order of the values in load reports.
pub(crate) fn event_from_record(record: Record, metrics: &[Metric]) -> Option<Event> {
    Some(match record {
        Record::EndpointList { kind, entries } => {
            let entries = entries.iter().map(backend_entry).collect();
            Event::EndpointsChanged(list_kind(kind), entries)
        }
        Record::Request(incoming) => Event::RequestArrived(request(&incoming)),
        Record::StreamStarted { request } => Event::StreamStarted(RequestId(request)),
        Record::AttemptCompleted(completed) => {
            Event::AttemptCompleted(attempt_completed(&completed, metrics))
        }
        Record::ClientDisconnected { request } => Event::ClientDisconnected(RequestId(request)),
        Record::TimerFired { timer } => Event::TimerFired(TimerId(timer)),
        Record::HealthCheckCompleted(completed) => health_check_completed(&completed, metrics),
        Record::Create { .. } | Record::Retire | Record::Unused => return None,
    })
}

fn list_kind(code: u8) -> ListKind {
    match code {
        0 => ListKind::Changes,
        1 => ListKind::Full,
        2 => ListKind::Cached,
        _ => ListKind::Failed,
    }
}

fn backend_entry(entry: &ListEntry) -> BackendEntry {
    BackendEntry {
        id: BackendId(entry.backend),
        zone: ZoneId(u32::from(entry.zone)),
        cell: CellId(u32::from(entry.cell)),
        availability: match entry.availability {
            2 => Availability::Ready,
            1 => Availability::Draining,
            _ => Availability::Removed,
        },
        started_at: (entry.started_at != 0.0).then_some(entry.started_at),
        weight: f64::from(entry.weight),
    }
}

fn request(incoming: &IncomingRequest) -> Request {
    Request {
        id: RequestId(incoming.id),
        customer: CustomerId(incoming.customer),
        plan: PlanId(incoming.plan as usize),
        class: ClassId(usize::from(incoming.class)),
        units: f64::from(incoming.units),
        deadline: incoming.deadline,
        gateway_count: f64::from(incoming.gateway_count),
        is_retry: incoming.is_retry,
        queued_for: 0.0,
    }
}

fn attempt_completed(completed: &CompletedAttempt, metrics: &[Metric]) -> AttemptCompleted {
    let usage = completed.quota_usage;
    let actual_units = completed.actual_units;
    AttemptCompleted {
        request: RequestId(completed.request),
        attempt: u32::from(completed.attempt),
        backend: BackendId(completed.backend),
        outcome: outcome(completed.outcome),
        elapsed: completed.elapsed,
        request_closed: completed.request_closed,
        quota_usage: (usage > 0).then(|| f64::from(usage - 1) / 100.0),
        actual_units: (actual_units > 0).then(|| f64::from(actual_units)),
        broken_connections: 0,
        load_report: settings::load_report(metrics, &completed.metrics),
    }
}

fn health_check_completed(completed: &CompletedHealthCheck, metrics: &[Metric]) -> Event {
    Event::HealthCheckCompleted {
        backend: BackendId(completed.backend),
        outcome: outcome(completed.outcome),
        elapsed: completed.elapsed,
        load_report: settings::load_report(metrics, &completed.metrics),
    }
}

fn outcome(code: u16) -> Outcome {
    match code {
        0 => Outcome::Ok,
        2 => Outcome::Rejected,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        _ => Outcome::Error,
    }
}

/// Appends the record for an action to the reply.
pub(crate) fn encode_action(reply: &mut Reply, instance: u32, action: Action) {
    match action {
        Action::Send {
            request,
            backend,
            timeout,
            ..
        } => reply.send(instance, request.0, backend.0, timeout.unwrap_or(0.0)),
        Action::Reject {
            request,
            retry_after,
            ..
        } => reply.reject(instance, request.0, retry_after.unwrap_or(0.0)),
        Action::Fail(request) => reply.fail(instance, request.0),
        Action::CancelAttempt { request, attempt } => {
            let attempt = attempt.min(u32::from(u16::MAX)) as u16;
            reply.cancel_attempt(instance, request.0, attempt);
        }
        Action::SetTimer { at, timer } => reply.set_timer(instance, at, timer.0),
        Action::CheckHealth(backend) => reply.check_health(instance, backend.0),
        Action::CloseIdleConnections(backend) => reply.close_idle_connections(instance, backend.0),
        // The simulator opens connections on demand, so it has no action for opening them in advance.
        Action::Preconnect { .. } => {}
        Action::Subscribe => reply.subscribe(instance),
        Action::FetchList => reply.fetch_list(instance),
        Action::Log(text) => reply.log(instance, &text),
    }
}
