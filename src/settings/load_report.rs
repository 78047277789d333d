//! Decodes load reports of backends: which metric each value of a report belongs to.

use crate::policy_api::LoadReport;

/// A metric of a load report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Metric {
    /// Number of requests in flight.
    InFlight,
    /// Number of queued requests.
    Queue,
    /// Fraction of the backend's processors that is busy.
    Utilisation,
    /// Recent service time, ms.
    Latency,
    /// Requests served per second.
    Throughput,
    /// Errors per second.
    Errors,
    /// A metric that this program does not know; its values are ignored.
    Unknown,
}

impl Metric {
    /// The metric with the given name in the setting `report.names`.
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

/// Builds a load report from its values, which are in the order of `metrics`.
pub fn load_report(metrics: &[Metric], values: &[f32]) -> LoadReport {
    let mut report = LoadReport::default();
    for (metric, value) in metrics.iter().zip(values) {
        set_metric(&mut report, *metric, *value);
    }
    report
}

/// Sets the value of one metric in a load report. Does nothing for [`Metric::Unknown`].
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
