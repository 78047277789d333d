//! Names that the settings give to classes, plans, zones and metrics.

/// The names of classes, plans, zones and metrics, each at the index by which the policy knows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Of the request classes.
    pub classes: Vec<String>,
    /// Of the plans.
    pub plans: Vec<String>,
    /// Of the zones.
    pub zones: Vec<String>,
    /// Of the values of a load report.
    pub metrics: Vec<String>,
}

/// A name as flat settings hold it: spaces and commas, which separate values there, become underscores.
pub fn normalize_name(value: &str) -> String {
    value.replace([' ', ','], "_")
}
