//! Output of an experiment as a table on standard output.

/// Prints a row of figures for each seed from 1 to `seeds`, then the mean, the minimum and the maximum of each column.
pub(crate) fn print_table(columns: &[&str], seeds: u64, row: impl Fn(u64) -> Vec<f64>) {
    print_header(columns);
    let mut rows = Vec::new();
    for seed in 1..=seeds {
        rows.push(row(seed));
    }
    for (index, row) in rows.iter().enumerate() {
        print_row(&(index + 1).to_string(), row);
    }
    let mut means = Vec::new();
    let mut least = Vec::new();
    let mut most = Vec::new();
    for column in 0..columns.len() {
        let values = rows.iter().map(|row| row[column]);
        means.push(values.clone().sum::<f64>() / rows.len().max(1) as f64);
        least.push(values.clone().fold(f64::INFINITY, f64::min));
        most.push(values.fold(f64::NEG_INFINITY, f64::max));
    }
    print_row("mean", &means);
    print_row("least", &least);
    print_row("most", &most);
}

fn print_header(columns: &[&str]) {
    let mut line = format!("{:>6} ", "seed");
    for column in columns {
        line.push_str(&format!("{column:>16}"));
    }
    println!("{line}");
}

fn print_row(name: &str, values: &[f64]) {
    let mut line = format!("{name:>6} ");
    for value in values {
        line.push_str(&format!("{value:>16.4}"));
    }
    println!("{line}");
}
