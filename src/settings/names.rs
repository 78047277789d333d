//! Names that the settings give to classes, plans, zones and metrics.

/// The names of classes, plans, zones and metrics. Each list is indexed by the number that stands for the name
/// everywhere else.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Names of the request classes, indexed by [`ClassId`](crate::ClassId).
    pub classes: Vec<String>,
    /// Names of the plans, indexed by [`PlanId`](crate::PlanId).
    pub plans: Vec<String>,
    /// Names of the zones, indexed by [`ZoneId`](crate::ZoneId).
    pub zones: Vec<String>,
    /// Names of the metrics in a load report, in the order in which a report lists their values.
    pub metrics: Vec<String>,
}

/// Converts a name to its form in flat settings, where spaces and commas separate values: both become underscores.
pub fn normalize_name(value: &str) -> String {
    value.replace([' ', ','], "_")
}
