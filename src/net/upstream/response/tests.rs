//! Unit tests of the interpretation of response headers.

use super::*;

/// Guards load reports: the metrics that the settings name are read, and other fields are skipped.
#[test]
fn a_load_report_is_parsed_by_the_configured_metric_names() {
    let reader = ResponseReader {
        metric_names: vec!["depth".to_owned(), "load_share".to_owned()],
        metrics: vec![Metric::Queue, Metric::Utilisation],
        max_units: 8.0,
        memory: ResponseMemory {
            agreed: MemoryBudget::new(0),
            long: MemoryBudget::new(0),
        },
    };
    let report = reader.parse_load_report("other=3, depth=2,load_share=0.61,broken");
    assert_eq!((report.queue, report.in_flight), (Some(2.0), None));
    assert!((report.utilisation.unwrap() - 0.61).abs() < 1e-6);
}
