//! Load reports of backends: which value stands where.

use crate::policy_api::LoadReport;

/// A value of a load report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Metric {
    /// Requests in flight.
    InFlight,
    /// Requests that are queued.
    Queue,
    /// Fraction of the processors in use.
    Utilisation,
    /// Recent service time, in ms.
    Latency,
    /// Requests served per second.
    Throughput,
    /// Errors per second.
    Errors,
    /// One that this program does not know; its values are ignored.
    Unknown,
}

impl Metric {
    /// The metric with this name in the setting `report.names`.
    pub(super) fn from_wire_name(name: &str) -> Metric {
        match name {
            "concurrent" => Metric::InFlight,
            "depth" => Metric::Queue,
            "load_share" => Metric::Utilisation,
            "mean_ms" => Metric::Latency,
            "tps" => Metric::Throughput,
            "err_ps" => Metric::Errors,
            _ => Metric::Unknown,
        }
    }
}

/// A load report from its values, which stand in the order of `metrics`.
pub fn load_report(metrics: &[Metric], values: &[f32]) -> LoadReport {
    let mut report = LoadReport::default();
    for (metric, value) in metrics.iter().zip(values) {
        set_metric(&mut report, *metric, *value);
    }
    report
}

/// Sets one value of a load report.
pub fn set_metric(report: &mut LoadReport, metric: Metric, value: f32) {
    let value = Some(f64::from(value));
    match metric {
        Metric::InFlight => report.in_flight = value,
        Metric::Queue => report.queue = value,
        Metric::Utilisation => report.utilisation = value,
        Metric::Latency => report.latency = value,
        Metric::Throughput => report.throughput = value,
        Metric::Errors => report.errors = value,
        Metric::Unknown => {}
    }
}
