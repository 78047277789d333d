//! Folders of clusters in the system's folder for temporary files. Their names contain the id of the process that
//! created them, so that a later cluster can remove what a killed process left behind.

use std::io;
use std::path::Path;

/// The prefix of the names of cluster folders; the id of the process that created the folder follows.
const FOLDER_PREFIX: &str = "cometspool-fault-injection-";
/// The prefix of the names of files of scripted peers; the id of the process that created the file follows.
const FILE_PREFIX: &str = "cometspool-";
/// The exit code after an interrupt, by the convention of shells (128 + SIGINT).
const EXIT_INTERRUPTED: i32 = 130;

fn own_prefix() -> String {
    format!("{FOLDER_PREFIX}{}-", std::process::id())
}

/// Creates a folder for a cluster of this process; it is removed when dropped.
pub(super) fn create_folder() -> io::Result<tempfile::TempDir> {
    tempfile::Builder::new().prefix(&own_prefix()).tempdir()
}

/// Removes from a folder the files and folders of clusters and tests whose processes no longer run.
pub(super) fn remove_leftovers(folder: &Path) {
    let Ok(entries) = std::fs::read_dir(folder) else {
        return;
    };
    for entry in entries.flatten() {
        let name = entry.file_name().to_string_lossy().into_owned();
        let suffix = name
            .strip_prefix(FOLDER_PREFIX)
            .or_else(|| name.strip_prefix(FILE_PREFIX));
        let id = suffix
            .and_then(|suffix| suffix.split('-').next())
            .and_then(|id| id.parse::<u32>().ok());
        if id.is_some_and(|id| !Path::new("/proc").join(id.to_string()).exists()) {
            // Another process may be removing the same entry.
            let _ = std::fs::remove_dir_all(entry.path())
                .or_else(|_| std::fs::remove_file(entry.path()));
        }
    }
}

/// Makes an interrupt (SIGINT) end this process with nothing left behind: gateway processes end with the thread that
/// started them, and the interrupt handler removes the folders of this process's clusters.
pub fn exit_on_interrupt() {
    std::thread::spawn(|| {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
        else {
            return;
        };
        if runtime.block_on(tokio::signal::ctrl_c()).is_ok() {
            remove_own_folders();
            std::process::exit(EXIT_INTERRUPTED);
        }
    });
}

fn remove_own_folders() {
    let prefix = own_prefix();
    let entries = std::fs::read_dir(std::env::temp_dir())
        .into_iter()
        .flatten()
        .flatten();
    for entry in entries {
        if entry.file_name().to_string_lossy().starts_with(&prefix) {
            // The next cluster retries a folder that cannot be removed, see `remove_leftovers`.
            let _ = std::fs::remove_dir_all(entry.path());
        }
    }
}
