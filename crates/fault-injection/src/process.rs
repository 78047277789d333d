//! One process of the program: its configuration, folder, log, and what can be done to it.

use crate::history::History;
use crate::scripted_peers::program_path;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};
use std::fs::OpenOptions;
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::thread::JoinHandle;

/// A place in the fleet, with or without a process in it.
pub struct Process {
    /// Its name in the configuration, in logs and in the history.
    pub name: String,
    /// What it is started with next, and what SIGHUP makes it read.
    pub config: Value,
    /// Its own folder.
    pub folder: PathBuf,
    history: Arc<History>,
    running: Option<Running>,
    /// It was told to end by itself.
    told: bool,
    /// Cores that it may run on; any unless told.
    pub cores: Option<String>,
}

struct Running {
    child: Child,
    log: JoinHandle<()>,
}

impl Process {
    /// A place for a process, in an own folder below `folder`.
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
            told: false,
            cores: None,
        })
    }

    /// Where it keeps what is to outlive it.
    pub fn data(&self) -> PathBuf {
        self.folder.join("data")
    }

    /// The id of the process that runs here.
    pub fn id(&self) -> Option<u32> {
        self.running.as_ref().map(|running| running.child.id())
    }

    /// Starts the program here. It ends with the thread that starts it, also if that is killed.
    pub fn start(&mut self) -> io::Result<()> {
        assert!(self.running.is_none(), "{} runs already", self.name);
        let path = self.write_config()?;
        let mut command = Command::new("setpriv");
        command.args(["--pdeathsig", "KILL", "--"]);
        if let Some(cores) = &self.cores {
            command.args(["taskset", "-c", cores]);
        }
        // A write over the limit of a full disk is to be an error, as on a disk, and not the process's end.
        command.args(["env", "--ignore-signal=XFSZ"]);
        command
            .arg(program_path())
            .env_clear()
            .env("BALANCER_CONFIG", &path);
        command
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut child = command.spawn()?;
        let said = child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?;
        self.history.note(
            "rig",
            "start",
            json!({"process": self.name, "pid": child.id()}),
        );
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))?;
        let (name, history) = (self.name.clone(), self.history.clone());
        let log = std::thread::spawn(move || keep_log(BufReader::new(said), file, &name, &history));
        self.running = Some(Running { child, log });
        Ok(())
    }

    fn write_config(&self) -> io::Result<PathBuf> {
        let (path, fresh) = (
            self.folder.join("config.json"),
            self.folder.join("config.new"),
        );
        std::fs::write(&fresh, self.config.to_string())?;
        std::fs::rename(&fresh, &path)?;
        Ok(path)
    }

    /// Sends a signal; nothing happens if no process runs here.
    pub fn signal(&mut self, signal: Signal) {
        let Some(id) = self.id() else { return };
        self.told |= signal == Signal::SIGTERM;
        self.history.note(
            "rig",
            "signal",
            json!({"process": self.name, "signal": signal.as_str()}),
        );
        // It may have ended by itself: whoever waits for it sees that.
        let _ = kill(Pid::from_raw(id as i32), signal);
    }

    /// SIGKILL, and waits for the end.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        self.wait();
    }

    /// Replaces its configuration and tells it.
    pub fn reload(&mut self, change: impl FnOnce(&mut Value)) -> io::Result<()> {
        change(&mut self.config);
        self.write_config()?;
        self.signal(Signal::SIGHUP);
        Ok(())
    }

    /// Waits for its end; the log is read to its last line then.
    pub fn wait(&mut self) -> Option<ExitStatus> {
        let Running { mut child, log } = self.running.take()?;
        self.told = false;
        let status = child.wait().ok();
        // A log that panicked has said so.
        let _ = log.join();
        self.history.note(
            "rig",
            "ended",
            json!({"process": self.name, "status": status.map(|s| s.to_string())}),
        );
        status
    }

    /// Waits for its end if it was told to end.
    pub fn wait_if_told(&mut self) {
        if self.told {
            self.wait();
        }
    }

    /// Whether it has ended by itself.
    pub fn crashed(&mut self) -> bool {
        let ended = self
            .running
            .as_mut()
            .is_some_and(|running| matches!(running.child.try_wait(), Ok(Some(_))));
        ended && self.wait().is_some_and(|status| !status.success())
    }

    // ---- The disk ------------------------------------------------------------------------------------

    /// Takes away all that it kept: a machine with an empty disk. The process must not run.
    pub fn wipe(&self) -> io::Result<()> {
        self.at_rest("wipe", "")?;
        std::fs::remove_dir_all(self.data())?;
        std::fs::create_dir_all(self.data())
    }

    /// Keeps a copy of what it holds now, for [`Process::put_back`].
    pub fn back_up(&self) -> io::Result<()> {
        self.at_rest("back-up", "")?;
        let backup = self.folder.join("backup");
        if backup.exists() {
            std::fs::remove_dir_all(&backup)?;
        }
        copy(&self.data(), &backup)
    }

    /// Puts the copy in the place of what it holds: a store that is older than it was.
    pub fn put_back(&self) -> io::Result<()> {
        self.at_rest("put-back", "")?;
        std::fs::remove_dir_all(self.data())?;
        copy(&self.folder.join("backup"), &self.data())
    }

    /// Cuts `bytes` off the end of one of its files: a write that a crash left torn.
    pub fn tear(&self, file: &str, bytes: u64) -> io::Result<()> {
        self.at_rest("tear", file)?;
        let file = OpenOptions::new()
            .write(true)
            .open(self.data().join(file))?;
        file.set_len(file.metadata()?.len().saturating_sub(bytes))
    }

    /// Changes one byte in the middle of one of its files.
    pub fn damage(&self, file: &str) -> io::Result<()> {
        self.at_rest("damage", file)?;
        let path = self.data().join(file);
        let mut bytes = std::fs::read(&path)?;
        let middle = bytes.len() / 2;
        *bytes.get_mut(middle).ok_or(io::ErrorKind::UnexpectedEof)? ^= 0x10;
        std::fs::write(path, bytes)
    }

    /// Lets no file of the process grow, or takes that back: to it the disk is full (the error is EFBIG and not ENOSPC).
    pub fn fill(&self, full: bool) -> io::Result<()> {
        let Some(id) = self.id() else { return Ok(()) };
        self.history
            .note("rig", "disk", json!({"process": self.name, "full": full}));
        let limit = format!("--fsize={}", if full { "0:" } else { "unlimited:" });
        let set = Command::new("prlimit")
            .args(["--pid", &id.to_string(), &limit])
            .status()?;
        // A process that has ended meanwhile has no limit to set.
        let gone = !Path::new("/proc").join(id.to_string()).exists();
        if set.success() || gone {
            Ok(())
        } else {
            Err(io::Error::other(format!("prlimit: {set}")))
        }
    }

    fn at_rest(&self, what: &str, file: &str) -> io::Result<()> {
        assert!(
            self.running.is_none(),
            "{} runs: its disk is its own",
            self.name
        );
        self.history
            .note("rig", what, json!({"process": self.name, "file": file}));
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(running) = &mut self.running {
            // It may have ended already.
            let _ = running.child.kill();
            let _ = running.child.wait();
        }
    }
}

fn copy(from: &Path, to: &Path) -> io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        if entry.file_type()?.is_dir() {
            copy(&entry.path(), &to.join(entry.file_name()))?;
        } else {
            std::fs::copy(entry.path(), to.join(entry.file_name()))?;
        }
    }
    Ok(())
}

/// Keeps what a process says: all of it in its log, each JSON line also as an event of its own.
fn keep_log(said: impl BufRead, mut file: impl Write, name: &str, history: &History) {
    for line in said.split(b'\n') {
        let Ok(line) = line else { return };
        let line = String::from_utf8_lossy(&line);
        // A full disk of the machine that tests is seen by what is missing from the file.
        let _ = writeln!(file, "{line}");
        let object = line
            .starts_with('{')
            .then(|| serde_json::from_str::<Value>(&line).ok())
            .flatten();
        match object {
            Some(mut object) => {
                let what = object
                    .get("what")
                    .and_then(Value::as_str)
                    .unwrap_or("says")
                    .to_owned();
                if let Some(object) = object.as_object_mut() {
                    object.remove("what");
                    // The history has its own; the process's own reading of the clock stays under this name.
                    if let Some(at) = object.remove("at_us") {
                        object.insert("said_us".to_owned(), at);
                    }
                    object.remove("who");
                    // Counters are a value of their own within the line.
                    let status = object.remove("status");
                    let status =
                        status.and_then(|text| serde_json::from_str::<Value>(text.as_str()?).ok());
                    if let Some(Value::Object(status)) = status {
                        object.extend(status);
                    }
                }
                history.note(name, &what, object);
            }
            None => history.note(name, "line", json!({"text": line})),
        }
    }
}
