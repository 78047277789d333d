//! One gateway process of a cluster: its configuration, folder and log, and the faults that are injected into it.

use crate::history::{History, CLUSTER};
use crate::scripted_peers::program_path;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Map, Value};
use std::fs::OpenOptions;
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::thread::JoinHandle;

/// The bits that [`Process::corrupt_file`] changes in one byte.
const CORRUPTED_BITS: u8 = 0x10;

/// A member of a cluster, whether or not its process is running.
pub struct Process {
    /// The name of the process in its configuration, in logs and in the history.
    pub name: String,
    /// The configuration for its next start; [`Process::reload`] applies it while the process runs.
    pub config: Value,
    /// The folder with the configuration, the log and the data of this process.
    pub folder: PathBuf,
    history: Arc<History>,
    running: Option<Running>,
    /// Whether the process got SIGTERM since its start.
    is_terminating: bool,
    /// The cores on which the process may run, in the notation of `taskset`; `None` for all.
    pub cores: Option<String>,
}

struct Running {
    child: Child,
    /// The thread that reads the standard error of the process.
    log_reader: JoinHandle<()>,
}

impl Process {
    /// Prepares a process with a folder of its own below `folder`, without starting it.
    ///
    /// # Errors
    ///
    /// Returns the error of a folder that cannot be created.
    pub fn new(
        name: &str,
        folder: &Path,
        config: Value,
        history: Arc<History>,
    ) -> io::Result<Process> {
        let folder = folder.join(name);
        std::fs::create_dir_all(folder.join("data"))?;
        Ok(Process {
            name: name.to_owned(),
            config,
            folder,
            history,
            running: None,
            is_terminating: false,
            cores: None,
        })
    }

    /// The folder of the files that outlive the process.
    pub fn data_folder(&self) -> PathBuf {
        self.folder.join("data")
    }

    /// The process id, if the process is running.
    pub fn id(&self) -> Option<u32> {
        self.running.as_ref().map(|running| running.child.id())
    }

    /// Starts the program. The system kills the program when the thread that called this function ends, also if that
    /// thread is killed.
    ///
    /// # Errors
    ///
    /// Returns the error of a file that cannot be written or a program that cannot be started.
    ///
    /// # Panics
    ///
    /// Panics if the process is running already.
    pub fn start(&mut self) -> io::Result<()> {
        assert!(self.running.is_none(), "{} is already running", self.name);
        let config_path = self.write_config()?;
        let mut child = self.command(&config_path).spawn()?;
        let stderr = child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?;
        self.history.record(
            CLUSTER,
            "start",
            json!({"process": self.name, "pid": child.id()}),
        );
        let log_file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))?;
        let name = self.name.clone();
        let history = self.history.clone();
        let log_reader = std::thread::spawn(move || {
            record_log(BufReader::new(stderr), log_file, &name, &history);
        });
        self.running = Some(Running { child, log_reader });
        Ok(())
    }

    fn command(&self, config_path: &Path) -> Command {
        let mut command = Command::new("setpriv");
        command.args(["--pdeathsig", "KILL", "--"]);
        if let Some(cores) = &self.cores {
            command.args(["taskset", "-c", cores]);
        }
        // A write beyond the limit that `set_disk_full` sets must fail, as on a full disk. SIGXFSZ, which the system
        // sends too, must not end the process.
        command.args(["env", "--ignore-signal=XFSZ"]);
        command
            .arg(program_path())
            .env_clear()
            .env("BALANCER_CONFIG", config_path)
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        command
    }

    fn write_config(&self) -> io::Result<PathBuf> {
        let path = self.folder.join("config.json");
        let staged = self.folder.join("config.new");
        std::fs::write(&staged, self.config.to_string())?;
        std::fs::rename(&staged, &path)?;
        Ok(path)
    }

    /// Sends a signal, if the process is running.
    pub fn signal(&mut self, signal: Signal) {
        let Some(id) = self.id() else { return };
        self.is_terminating |= signal == Signal::SIGTERM;
        self.history.record(
            CLUSTER,
            "signal",
            json!({"process": self.name, "signal": signal.as_str()}),
        );
        // The process may have ended by itself; the caller that waits for it finds out.
        let _ = kill(Pid::from_raw(id as i32), signal);
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        self.wait_for_exit();
    }

    /// Changes the configuration, writes it and sends SIGHUP.
    ///
    /// # Errors
    ///
    /// Returns the error of a file that cannot be written.
    pub fn reload(&mut self, change: impl FnOnce(&mut Value)) -> io::Result<()> {
        change(&mut self.config);
        self.write_config()?;
        self.signal(Signal::SIGHUP);
        Ok(())
    }

    /// Waits for the end of the process, and until its log has been read to the last line. Returns `None` if the
    /// process was not running.
    pub fn wait_for_exit(&mut self) -> Option<ExitStatus> {
        let Running {
            mut child,
            log_reader,
        } = self.running.take()?;
        self.is_terminating = false;
        let status = child.wait().ok();
        // A thread that panicked has printed the reason.
        let _ = log_reader.join();
        self.history.record(
            CLUSTER,
            "ended",
            json!({"process": self.name, "status": status.map(|status| status.to_string())}),
        );
        status
    }

    /// Waits for the end of the process if it got SIGTERM.
    pub fn wait_if_terminating(&mut self) {
        if self.is_terminating {
            self.wait_for_exit();
        }
    }

    /// Whether the process has ended without success. Its end is recorded, successful or not.
    pub fn has_crashed(&mut self) -> bool {
        let ended = self
            .running
            .as_mut()
            .is_some_and(|running| matches!(running.child.try_wait(), Ok(Some(_))));
        ended && self.wait_for_exit().is_some_and(|status| !status.success())
    }

    /// Removes all files that outlive the process, as on a machine with a new disk.
    ///
    /// # Errors
    ///
    /// Returns the error of a folder that cannot be removed or created.
    ///
    /// # Panics
    ///
    /// Panics if the process is running, as do all functions that change its files.
    pub fn wipe_disk(&self) -> io::Result<()> {
        self.record_disk_fault("wipe", "");
        std::fs::remove_dir_all(self.data_folder())?;
        std::fs::create_dir_all(self.data_folder())
    }

    /// Copies the files of the process for [`Process::restore_backup`].
    ///
    /// # Errors
    ///
    /// Returns the error of a file that cannot be copied.
    pub fn back_up(&self) -> io::Result<()> {
        self.record_disk_fault("back-up", "");
        let backup = self.folder.join("backup");
        if backup.exists() {
            std::fs::remove_dir_all(&backup)?;
        }
        copy_folder(&self.data_folder(), &backup)
    }

    /// Replaces the files of the process by the copy that [`Process::back_up`] made, so that it starts with an older
    /// state.
    ///
    /// # Errors
    ///
    /// Returns the error of a file that cannot be copied.
    pub fn restore_backup(&self) -> io::Result<()> {
        self.record_disk_fault("put-back", "");
        std::fs::remove_dir_all(self.data_folder())?;
        copy_folder(&self.folder.join("backup"), &self.data_folder())
    }

    /// Cuts `bytes` off the end of a file of the process, as a crash in the middle of a write does.
    ///
    /// # Errors
    ///
    /// Returns the error of a file that cannot be opened or truncated.
    pub fn truncate_file(&self, file: &str, bytes: u64) -> io::Result<()> {
        self.record_disk_fault("tear", file);
        let file = OpenOptions::new()
            .write(true)
            .open(self.data_folder().join(file))?;
        file.set_len(file.metadata()?.len().saturating_sub(bytes))
    }

    /// Changes one byte in the middle of a file of the process.
    ///
    /// # Errors
    ///
    /// Returns the error of a file that cannot be read or written, or that is empty.
    pub fn corrupt_file(&self, file: &str) -> io::Result<()> {
        self.record_disk_fault("damage", file);
        let path = self.data_folder().join(file);
        let mut bytes = std::fs::read(&path)?;
        let middle = bytes.len() / 2;
        *bytes.get_mut(middle).ok_or(io::ErrorKind::UnexpectedEof)? ^= CORRUPTED_BITS;
        std::fs::write(path, bytes)
    }

    /// Simulates a full disk: sets or removes a file size limit under which no file of the process can grow. A write
    /// beyond the limit fails with EFBIG, whereas on a full disk it fails with ENOSPC.
    ///
    /// # Errors
    ///
    /// Returns the error of a `prlimit` that cannot be started or fails.
    pub fn set_disk_full(&self, full: bool) -> io::Result<()> {
        let Some(id) = self.id() else { return Ok(()) };
        self.history
            .record(CLUSTER, "disk", json!({"process": self.name, "full": full}));
        let limit = format!("--fsize={}", if full { "0:" } else { "unlimited:" });
        let status = Command::new("prlimit")
            .args(["--pid", &id.to_string(), &limit])
            .status()?;
        // `prlimit` fails if the process has ended meanwhile; that is no error.
        let is_gone = !Path::new("/proc").join(id.to_string()).exists();
        if status.success() || is_gone {
            Ok(())
        } else {
            Err(io::Error::other(format!("prlimit failed: {status}")))
        }
    }

    /// Records a fault on the files of the process, which must not be running.
    fn record_disk_fault(&self, kind: &str, file: &str) {
        assert!(
            self.running.is_none(),
            "{} is running and may use its files",
            self.name
        );
        self.history
            .record(CLUSTER, kind, json!({"process": self.name, "file": file}));
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(running) = &mut self.running {
            // The process may have ended already.
            let _ = running.child.kill();
            let _ = running.child.wait();
        }
    }
}

fn copy_folder(from: &Path, to: &Path) -> io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        let target = to.join(entry.file_name());
        if entry.file_type()?.is_dir() {
            copy_folder(&entry.path(), &target)?;
        } else {
            std::fs::copy(entry.path(), target)?;
        }
    }
    Ok(())
}

/// Copies the log of a process to a file, and records each line as an event: a JSON object as an event of the kind that
/// it names, any other line as an event of kind `line`.
fn record_log(log: impl BufRead, mut file: impl Write, name: &str, history: &History) {
    for line in log.split(b'\n') {
        let Ok(line) = line else { return };
        let line = String::from_utf8_lossy(&line);
        // A failed write, as when the test machine's own disk is full, leaves the file incomplete but not the history.
        let _ = writeln!(file, "{line}");
        let object = line
            .starts_with('{')
            .then(|| serde_json::from_str::<Map<String, Value>>(&line).ok())
            .flatten();
        match object {
            Some(mut object) => {
                let kind = prepare_event(&mut object);
                history.record(name, &kind, Value::Object(object));
            }
            None => history.record(name, "line", json!({"text": line})),
        }
    }
}

/// Turns the JSON object of a log line into the fields of an event, and returns the kind of the event.
fn prepare_event(object: &mut Map<String, Value>) -> String {
    let kind = object
        .get("what")
        .and_then(Value::as_str)
        .unwrap_or("says")
        .to_owned();
    object.remove("what");
    // The history adds its own time as `at_us`; the time that the process read from its own clock is kept as `said_us`.
    if let Some(time) = object.remove("at_us") {
        object.insert("said_us".to_owned(), time);
    }
    object.remove("who");
    // `status` holds counters as a JSON object in a string.
    let status = object
        .remove("status")
        .and_then(|text| serde_json::from_str::<Value>(text.as_str()?).ok());
    if let Some(Value::Object(status)) = status {
        object.extend(status);
    }
    kind
}
