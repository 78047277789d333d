//! Maps wire names to settings.

use super::flat::FlatSettings;
use super::{ConnectionSettings, Metric, Names, ParsedSettings, SettingsError};
use crate::policy_api::{
    Ceiling, Class, DeduplicationScope, DiscoveryMode, Idempotency, LoadReportMode, Plan, Settings,
    ZoneId,
};

/// The words that the setting `registry_mode` accepts.
const DISCOVERY_MODES: [(&str, DiscoveryMode); 2] = [
    ("pushed", DiscoveryMode::Pushed),
    ("on_request", DiscoveryMode::OnRequest),
];
/// The words that the setting `report.via` accepts.
const LOAD_REPORT_MODES: [(&str, LoadReportMode); 3] = [
    ("off", LoadReportMode::Off),
    ("inline", LoadReportMode::Inline),
    ("on_probe", LoadReportMode::OnHealthCheck),
];
/// The words that the setting `group` of a class accepts.
const DEDUPLICATION_SCOPES: [(&str, DeduplicationScope); 3] = [
    ("all", DeduplicationScope::All),
    ("zone", DeduplicationScope::Zone),
    ("cell", DeduplicationScope::Cell),
];

/// Parses settings from `path=value` lines.
///
/// # Errors
/// [`SettingsError`] for the first value that cannot be used.
pub fn parse(text: &str) -> Result<ParsedSettings, SettingsError> {
    let flat = FlatSettings::from_lines(text);
    let names = parse_names(&flat)?;
    Ok(ParsedSettings {
        settings: parse_settings(&flat)?,
        report_metrics: names
            .metrics
            .iter()
            .map(|name| Metric::from_wire_name(name))
            .collect(),
        names,
        connections: parse_connections(&flat)?,
    })
}

fn parse_names(flat: &FlatSettings<'_>) -> Result<Names, SettingsError> {
    Ok(Names {
        classes: flat.entry_names("grades")?,
        plans: flat.entry_names("plans")?,
        zones: flat.list("zones"),
        metrics: flat.list("report.names"),
    })
}

fn parse_settings(flat: &FlatSettings<'_>) -> Result<Settings, SettingsError> {
    let base = Settings::default();
    Ok(Settings {
        gateways: flat.get("fleet_size", base.gateways)?,
        gateway_index: flat.get("me", base.gateway_index)?,
        zone: ZoneId(flat.get("my_zone", base.zone.0)?),
        tick: flat.number("tick", base.tick)?,
        classes: parse_entries(flat, "grades", parse_class)?,
        plans: parse_entries(flat, "plans", parse_plan)?,
        max_units: flat.number("extra.max_units", base.max_units)?,
        meter_period: flat.number("extra.meter", base.meter_period)?,
        discovery: flat.choice("registry_mode", base.discovery, &DISCOVERY_MODES)?,
        load_reports: flat.choice("report.via", base.load_reports, &LOAD_REPORT_MODES)?,
        max_attempts: flat.get("policy_limits.send_cap", base.max_attempts)?,
        hedging: flat.get("policy_limits.second_copies", base.hedging)?,
        cancellation: flat.get("policy_limits.cancel", base.cancellation)?,
        health_checks: flat.get("policy_limits.probes", base.health_checks)?,
        retry_after: flat.get("policy_limits.retry_after", base.retry_after)?,
        max_retry_after: flat.number("policy_limits.max_retry_after", base.max_retry_after)?,
        cross_zone_cost: flat.number("charges.cross_zone", base.cross_zone_cost)?,
        answer_slack: flat.number("rules.answer_slack", base.answer_slack)?,
        drain_grace: flat.number("rules.stop_sending_within", base.drain_grace)?,
        poll_interval: flat.number("rules.ask_within", base.poll_interval)?,
        start_capacity: flat.number("rules.start_capacity", base.start_capacity)?,
        warm_up: flat.number("rules.warm_up", base.warm_up)?,
        overload_factor: flat.number("rules.overload_factor", base.overload_factor)?,
        overload_window: flat.number("rules.fall", base.overload_window)?,
    })
}

fn parse_connections(flat: &FlatSettings<'_>) -> Result<ConnectionSettings, SettingsError> {
    let base = ConnectionSettings::default();
    Ok(ConnectionSettings {
        dial_timeout: flat.number("policy_limits.dial_timeout", base.dial_timeout)?,
        idle_timeout: flat.number("policy_limits.idle_close", base.idle_timeout)?,
        handshake_cost: flat.number("charges.handshake", base.handshake_cost)?,
        connection_cost: flat.number("charges.connection", base.connection_cost)?,
    })
}

/// Parses all entries of a list. `parse_entry` parses one of them, given the prefix of its paths, such as `plans.0`.
fn parse_entries<T>(
    flat: &FlatSettings<'_>,
    list: &str,
    parse_entry: impl Fn(&FlatSettings<'_>, &str) -> Result<T, SettingsError>,
) -> Result<Vec<T>, SettingsError> {
    let count: usize = flat.get(&format!("{list}.count"), 0)?;
    let mut entries = Vec::new();
    for index in 0..count {
        entries.push(parse_entry(flat, &format!("{list}.{index}"))?);
    }
    Ok(entries)
}

fn parse_class(flat: &FlatSettings<'_>, prefix: &str) -> Result<Class, SettingsError> {
    let path = |key: &str| format!("{prefix}.{key}");
    let base = Class::default();
    let default_scope = DeduplicationScope::Cell;
    let with_key = Idempotency::WithKey {
        scope: flat.choice(&path("group"), default_scope, &DEDUPLICATION_SCOPES)?,
        retention: flat.number(&path("memory_span"), 0.0)?,
    };
    let idempotency_words = [
        ("safe", Idempotency::Idempotent),
        ("keyed", with_key),
        ("unsafe", Idempotency::NonIdempotent),
    ];
    Ok(Class {
        latency_objective: flat.number(&path("aim"), base.latency_objective)?,
        deadline: flat.number(&path("give_up"), base.deadline)?,
        priority_weight: flat.number(&path("credit"), base.priority_weight)?,
        late_priority_weight: flat.number(&path("late_worth"), base.late_priority_weight)?,
        idempotency: flat.choice(&path("idempotency"), base.idempotency, &idempotency_words)?,
        streaming: flat.get(&path("streaming"), base.streaming)?,
    })
}

fn parse_plan(flat: &FlatSettings<'_>, prefix: &str) -> Result<Plan, SettingsError> {
    let path = |key: &str| format!("{prefix}.{key}");
    let base = Plan::default();
    let ceiling = Ceiling {
        rate: flat.number(&path("cap_rate"), 0.0)?,
        burst: flat.number(&path("never_over_depth"), 0.0)?,
        slack: flat.number(&path("hard_slack"), 0.0)?,
    };
    Ok(Plan {
        rate: flat.number(&path("per_second"), base.rate)?,
        burst: flat.number(&path("peak_units"), base.burst)?,
        max_concurrency: flat.get(&path("max_out"), base.max_concurrency)?,
        weight_factor: flat.number(&path("pays"), base.weight_factor)?,
        over_quota_weight: flat.number(&path("excess_worth"), base.over_quota_weight)?,
        over_quota_cost: flat.number(&path("over_cost"), base.over_quota_cost)?,
        // A ceiling without a rate counts as no ceiling, whatever its burst.
        ceiling: (ceiling.rate > 0.0).then_some(ceiling),
    })
}
