//! The gateway under test, in a process of its own.

use super::fixture::{request_with, HEALTH_CHECK, LONG_TIMEOUT};
use super::{wait_for, ScriptedConnection, TestListener, MAX_WAIT};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Instant;

/// The number of the next temporary file of this process.
static NEXT_FILE_NUMBER: AtomicU32 = AtomicU32::new(0);

/// A running gateway that serves clients.
pub struct GatewayProcess {
    /// The process.
    pub child: Child,
    /// The address on which it serves clients.
    pub address: SocketAddr,
    /// The standard error of the process from the second line on; the first line says that the gateway serves.
    pub log: BufReader<ChildStderr>,
    /// The configuration with which it was started.
    pub config: Value,
    /// The path of the configuration file; the file is removed when this value is dropped.
    pub path: String,
}

/// The program as started, whether or not its configuration is valid.
pub struct SpawnedProgram {
    /// The process, with a pipe for its standard error.
    pub child: Child,
    /// The path of the configuration file, which the test that started the program has to remove.
    pub configuration_path: String,
}

/// The path of the built program: the value of the environment variable `COMETSPOOL_PROGRAM`, or else in the folder of
/// the running executable (a test, or the binary of this crate) or in the folder above.
pub fn program_path() -> PathBuf {
    if let Some(configured) = std::env::var_os("COMETSPOOL_PROGRAM") {
        return configured.into();
    }
    let executable = std::env::current_exe().expect("a path");
    let found = executable
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join("cometspool"))
        .find(|path| path.is_file());
    found.unwrap_or_else(|| panic!("no program beside {}: build it first", executable.display()))
}

/// A path in the system's folder for temporary files. It contains the id of this process, so that no other process uses
/// it.
pub fn temporary_path(name: &str) -> String {
    let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::Relaxed);
    format!(
        "{}/cometspool-{}-{number}-{name}",
        std::env::temp_dir().display(),
        std::process::id()
    )
}

/// Starts the program with a configuration file of this text and these environment variables.
pub fn spawn_with_configuration(config: &str, variables: &[(&str, &str)]) -> SpawnedProgram {
    let configuration_path = temporary_path("config.json");
    std::fs::write(&configuration_path, config).expect("a file");
    let mut command = Command::new(program_path());
    for name in ["BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_DISCOVERY"] {
        command.env_remove(name);
    }
    command
        .envs(variables.iter().copied())
        .env("BALANCER_CONFIG", &configuration_path)
        .stderr(Stdio::piped());
    SpawnedProgram {
        child: command.spawn().expect("the program starts"),
        configuration_path,
    }
}

impl GatewayProcess {
    /// Starts the program with these settings, the address of a discovery service, and an initial endpoint list (JSON
    /// null for none).
    pub fn start(settings: Value, discovery: SocketAddr, known: Value) -> GatewayProcess {
        GatewayProcess::start_with_descriptor_limit(256, settings, discovery, known)
    }

    /// Starts the program with a limit on its file descriptors.
    pub fn start_with_descriptor_limit(
        descriptors: u32,
        settings: Value,
        discovery: SocketAddr,
        known: Value,
    ) -> GatewayProcess {
        let limits = json!({"cores": 1.0, "memory_mb": 192, "sockets": descriptors});
        GatewayProcess::start_with_limits(limits, settings, discovery, known)
    }

    /// Starts the program with a limit on its memory, in megabytes.
    pub fn start_with_memory_limit(
        megabytes: u32,
        settings: Value,
        discovery: SocketAddr,
        known: Value,
    ) -> GatewayProcess {
        let limits = json!({"cores": 1.0, "memory_mb": megabytes, "sockets": 256});
        GatewayProcess::start_with_limits(limits, settings, discovery, known)
    }

    /// Starts the program with the `limits` object of its configuration.
    pub fn start_with_limits(
        limits: Value,
        settings: Value,
        discovery: SocketAddr,
        known: Value,
    ) -> GatewayProcess {
        GatewayProcess::start_with_configuration(json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
            "limits": limits, "known": known, "settings": settings,
        }))
    }

    /// Starts the program with this configuration, and waits until it serves.
    pub fn start_with_configuration(config: Value) -> GatewayProcess {
        // As in production, the environment variable and the configuration file give the same address.
        let variable = [("BALANCER_DISCOVERY", config["discovery"].as_str().unwrap())];
        let mut spawned = spawn_with_configuration(&config.to_string(), &variable);
        let mut log = BufReader::new(spawned.child.stderr.take().expect("a pipe"));
        let mut line = String::new();
        log.read_line(&mut line).expect("a line");
        let address = line
            .trim()
            .rsplit('=')
            .next()
            .and_then(|text| text.parse().ok());
        let address = address.unwrap_or_else(|| panic!("no address in {line:?}"));
        GatewayProcess {
            child: spawned.child,
            address,
            log,
            config,
            path: spawned.configuration_path,
        }
    }

    /// Opens a client connection.
    pub fn connect_client(&self) -> ScriptedConnection {
        ScriptedConnection::connect(self.address)
    }

    /// Opens a client connection and makes a health check on it, which must succeed.
    pub fn connect_healthy_client(&self) -> ScriptedConnection {
        let mut client = self.connect_client();
        client.write(HEALTH_CHECK);
        assert_eq!(client.read().status(), 200);
        client
    }

    /// Sends requests until one reaches a backend that has just been listed, and responds to that request with `name`.
    /// The gateway must reject the requests before it with status 429, since it does not know the backend yet.
    ///
    /// # Panics
    ///
    /// Panics if no request reaches the backend within [`MAX_WAIT`], or if a response is not the expected one.
    pub fn wait_until_served_by(&self, backend: &TestListener, name: &str) {
        let mut client = self.connect_client();
        let start = Instant::now();
        let mut number = 0;
        let mut connection = loop {
            assert!(
                start.elapsed() < MAX_WAIT,
                "{name}: no request reached the backend"
            );
            let id = format!("{name}-{number}");
            client.write(request_with(&id, "read", "wide", LONG_TIMEOUT));
            if let Some(connection) = backend.accept_unless_answered(&client) {
                break connection;
            }
            assert_eq!(client.read().status(), 429);
            number += 1;
        };
        connection.read();
        connection.respond(200, "Connection: close\r\n", name);
        assert_eq!(client.read().body, name.as_bytes());
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        let staged = format!("{}.new", self.path);
        std::fs::write(&staged, config).expect("a file");
        std::fs::rename(&staged, &self.path).expect("a file replaced");
        self.signal(Signal::SIGHUP);
    }

    /// Stops the process with SIGSTOP, and returns once the system reports it as stopped.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
        let path = format!("/proc/{}/stat", self.child.id());
        wait_for("a process that is stopped", || {
            let stat = std::fs::read_to_string(&path).expect("the process");
            stat.rsplit(')')
                .next()
                .is_some_and(|rest| rest.trim_start().starts_with('T'))
                .then_some(())
        });
    }

    /// Sends SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// The number of file descriptors that the process has open.
    pub fn descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("the process")
            .count()
    }

    /// The anonymous memory that the process has resident, in KiB; this excludes the pages of the program's file.
    pub fn resident_kib(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process");
        let value = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"))
            .expect("a running process");
        let number = value.split_whitespace().next().expect("a number");
        number.parse().expect("KiB")
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("a running process");
    }

    /// Reads the next line of the process's log.
    pub fn read_log_line(&mut self) -> String {
        let mut line = String::new();
        self.log.read_line(&mut line).expect("a line");
        line
    }

    /// Reads the next line of the process's log, without the time and the level at its start.
    pub fn read_log_event(&mut self) -> String {
        let line = self.read_log_line();
        let mut words = line.split_whitespace();
        words.next();
        words.next();
        words.collect::<Vec<&str>>().join(" ")
    }

    /// Waits until the process has exited.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().expect("an exit status")
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // The process may have exited already, and a test may have removed the file.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}
