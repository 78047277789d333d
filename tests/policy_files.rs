//! Checks that the deploy file lists all source files of the policy, and that these use no clock, no I/O and no other
//! part of the program.

use std::fs;
use std::path::{Path, PathBuf};

/// The folder with the source files of the policy.
const POLICY: &str = "src/policy";

/// Crates and modules that the policy's files may import from. Everything else might be a clock, I/O or another part of
/// the program.
const ALLOWED_IMPORTS: [&str; 7] = [
    "super::",
    "crate::policy_api::",
    "crate::measure::",
    "rand_core::",
    "rand_pcg::",
    "std::collections::",
    "std::f64::consts::",
];
/// Further items that the policy's files may import.
const ALLOWED_ITEMS: [&str; 2] = ["std::sync::Arc", "std::cmp::"];

/// Paths that no line of the policy may contain, whether imported or written out.
const FORBIDDEN_PATHS: [&str; 13] = [
    "std::time",
    "std::net",
    "std::fs",
    "std::io",
    "std::env",
    "std::thread",
    "std::process",
    "Instant",
    "SystemTime",
    "println!",
    "tokio",
    "hyper",
    "tracing",
];

/// The modules of the library that the policy's files may refer to by `crate::`.
const ALLOWED_PARTS: [&str; 2] = ["policy_api::", "measure::"];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// All files below a folder, as paths relative to the root of the package.
fn policy_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(root().join(folder)).unwrap() {
        let path = folder.join(entry.unwrap().file_name());
        if root().join(&path).is_dir() {
            files.extend(policy_files(&path));
        } else {
            files.push(path);
        }
    }
    files
}

/// The files that the deploy file lists under the key `policy`.
fn listed_files() -> Vec<PathBuf> {
    let deploy = fs::read_to_string(root().join("deploy/balancer.toml")).unwrap();
    let line = deploy
        .lines()
        .find(|line| line.starts_with("policy"))
        .unwrap();
    line.split('"')
        .skip(1)
        .step_by(2)
        .map(PathBuf::from)
        .collect()
}

/// Whether an import starts with a module of the policy itself.
fn is_own_module(import: &str) -> bool {
    let first = import.split("::").next().unwrap_or_default();
    listed_files()
        .iter()
        .any(|path| path.file_stem().is_some_and(|stem| stem == first))
}

#[test]
fn the_deploy_file_lists_each_file_of_the_policy() {
    let mut files = policy_files(Path::new(POLICY));
    let mut listed = listed_files();
    files.sort();
    listed.sort();
    assert_eq!(files, listed);
    assert!(
        files.len() > 3,
        "too few files in the policy's folder: has the policy moved?"
    );
}

#[test]
fn each_file_listed_as_policy_exists() {
    for path in listed_files() {
        assert!(
            root().join(&path).is_file(),
            "{} does not exist",
            path.display()
        );
    }
}

#[test]
fn the_policy_imports_no_clock_no_io_and_no_other_part_of_the_program() {
    for path in listed_files() {
        let text = fs::read_to_string(root().join(&path)).unwrap();
        for line in text
            .lines()
            .map(str::trim)
            .filter(|line| !line.starts_with("//"))
        {
            for part in line.split("crate::").skip(1) {
                let is_allowed = ALLOWED_PARTS
                    .iter()
                    .any(|allowed| part.starts_with(allowed));
                assert!(is_allowed, "{}: {line}", path.display());
            }
            for forbidden in FORBIDDEN_PATHS {
                assert!(!line.contains(forbidden), "{}: {line}", path.display());
            }
            let import = line.strip_prefix("pub use ").or(line.strip_prefix("use "));
            if let Some(import) = import.filter(|import| !is_own_module(import)) {
                let allowed = ALLOWED_IMPORTS.iter().chain(&ALLOWED_ITEMS);
                assert!(
                    allowed.clone().any(|start| import.starts_with(start)),
                    "{}: {line}",
                    path.display()
                );
            }
        }
    }
}
