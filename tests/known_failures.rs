//! The script of the continuous integration that runs the tests listed as known to fail.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// What a test program prints of a test whose panic has several lines.
const FAILED_RUN: &str = "\
running 1 test
test keeps_its_limit ... FAILED

failures:

---- keeps_its_limit stdout ----

thread 'keeps_its_limit' panicked at tests/limits.rs:3:5:
customers: 1 over the limit:
Fleet { gateways: 300, cores: 1 }, seed 2: 63.0 of 25.7


failures:
    keeps_its_limit

test result: FAILED. 0 passed; 1 failed
";

/// How the script ended, and what it printed.
struct Run {
    succeeded: bool,
    output: String,
}

/// Runs the script on a list of known failures, with a stand-in for the command that runs the tests: it lists the test
/// `keeps_its_limit`, and running it ends with this status and output.
fn run(name: &str, list: &str, status: i32, output: &str) -> Run {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).expect("a folder");
    let write = |file: &str, text: &str| -> PathBuf {
        let path = folder.join(file);
        std::fs::write(&path, text).expect("a file");
        path
    };
    let list = write("list.txt", list);
    let output = write("output.txt", output);
    let command = write(
        "command",
        &format!(
            "#!/bin/sh\ncase \"$*\" in *--list*) echo 'keeps_its_limit: test';; *) cat {}; exit {status};; esac\n",
            output.display()
        ),
    );
    std::fs::set_permissions(&command, PermissionsExt::from_mode(0o755)).expect("a script");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known-failures");
    let run = Command::new(script)
        .arg(list)
        .arg(command)
        .output()
        .expect("the script");
    Run {
        succeeded: run.status.success(),
        output: String::from_utf8_lossy(&[run.stdout, run.stderr].concat()).into_owned(),
    }
}

/// Guards against an entry that names no test and is taken for one that passes.
#[test]
fn an_entry_that_names_no_test_fails_the_script() {
    let run = run("no_test", "keeps_its_limits: reason; issue 1\n", 0, "");
    assert!(!run.succeeded, "{}", run.output);
    assert!(run.output.contains("'keeps_its_limits'"), "{}", run.output);
}

/// Guards against a report without what was over which limit.
#[test]
fn all_lines_of_a_known_failure_are_printed() {
    let list = "keeps_its_limit: reason; issue 1\n";
    let run = run("failure", list, 101, FAILED_RUN);
    assert!(run.succeeded, "{}", run.output);
    for line in [
        "known to fail: keeps_its_limit: reason; issue 1",
        "customers: 1 over the limit:",
        "Fleet { gateways: 300, cores: 1 }, seed 2: 63.0 of 25.7",
    ] {
        assert!(run.output.contains(line), "{line} of\n{}", run.output);
    }
}

#[test]
fn a_listed_test_that_passes_is_reported() {
    let list = "\nkeeps_its_limit: reason; issue 1\n";
    let run = run("passes", list, 0, "test result: ok. 1 passed\n");
    assert!(run.succeeded, "{}", run.output);
    assert!(run.output.contains("it passes now"), "{}", run.output);
}

/// A test that ends without a report, as when it does not compile, is no known failure.
#[test]
fn a_listed_test_that_does_not_run_fails_the_script() {
    let list = "keeps_its_limit: reason; issue 1\n";
    let run = run("does_not_run", list, 101, "error: could not compile\n");
    assert!(!run.succeeded, "{}", run.output);
}
