//! Tests of `.ci/known-failures`, the CI script that runs the tests listed in `KNOWN-RED.txt`.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Output of a test program in which one test fails with a panic message of several lines.
const FAILED_TEST_OUTPUT: &str = "\
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

/// The result of one run of the script.
struct ScriptRun {
    succeeded: bool,
    /// Standard output, followed by standard error.
    output: String,
}

/// Runs the script on a list of known failures, in a folder of this name. A stub replaces the command that runs the
/// tests: with `--list` it names `keeps_its_limit` as the only test; otherwise it prints `output` and exits with
/// `status`.
fn run_script(folder_name: &str, list: &str, status: i32, output: &str) -> ScriptRun {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(folder_name);
    std::fs::create_dir_all(&folder).expect("creating the folder");
    let write = |file: &str, text: &str| -> PathBuf {
        let path = folder.join(file);
        std::fs::write(&path, text).expect("writing a file");
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
    std::fs::set_permissions(&command, PermissionsExt::from_mode(0o755))
        .expect("making the stub executable");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known-failures");
    let run = Command::new(script)
        .arg(list)
        .arg(command)
        .output()
        .expect("running the script");
    ScriptRun {
        succeeded: run.status.success(),
        output: String::from_utf8_lossy(&[run.stdout, run.stderr].concat()).into_owned(),
    }
}

/// Guards against reporting an entry as a test that passes when it names no test (its name is misspelled).
#[test]
fn an_entry_that_names_no_test_fails_the_script() {
    let run = run_script("no_test", "keeps_its_limits: reason; issue 1\n", 0, "");
    assert!(!run.succeeded, "{}", run.output);
    assert!(run.output.contains("'keeps_its_limits'"), "{}", run.output);
}

/// Guards against a report that prints only the first line of a panic message, without the details that follow.
#[test]
fn all_lines_of_a_known_failure_are_printed() {
    let list = "keeps_its_limit: reason; issue 1\n";
    let run = run_script("failure", list, 101, FAILED_TEST_OUTPUT);
    assert!(run.succeeded, "{}", run.output);
    for line in [
        "known to fail: keeps_its_limit: reason; issue 1",
        "customers: 1 over the limit:",
        "Fleet { gateways: 300, cores: 1 }, seed 2: 63.0 of 25.7",
    ] {
        assert!(
            run.output.contains(line),
            "{line:?} is missing in:\n{}",
            run.output
        );
    }
}

#[test]
fn a_listed_test_that_passes_is_reported() {
    let list = "\nkeeps_its_limit: reason; issue 1\n";
    let run = run_script("passes", list, 0, "test result: ok. 1 passed\n");
    assert!(run.succeeded, "{}", run.output);
    assert!(run.output.contains("it passes now"), "{}", run.output);
}

/// Guards against accepting a run without a test report, such as a compile error, as the known failure.
#[test]
fn a_listed_test_that_does_not_run_fails_the_script() {
    let list = "keeps_its_limit: reason; issue 1\n";
    let run = run_script("does_not_run", list, 101, "error: could not compile\n");
    assert!(!run.succeeded, "{}", run.output);
}
