//! Processes of the built programs, with signals; a guard ends each.

#![allow(dead_code, reason = "each test uses a part of it")]

use {
    serde_json::Value,
    std::{
        fs::{self, File},
        path::PathBuf,
        process::{Child, Command, ExitStatus, Stdio},
        time::{Duration, Instant},
    },
};

/// How long a process may take to end after it was killed.
const KILL_MAX: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The programs of this project.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Program {
    Entry,
    Keeper,
    Standin,
}

impl Program {
    fn path(self) -> &'static str {
        match self {
            Self::Entry => env!("CARGO_BIN_EXE_ggt-entry"),
            Self::Keeper => env!("CARGO_BIN_EXE_ggt-keeper"),
            Self::Standin => env!("CARGO_BIN_EXE_ggt-standin"),
        }
    }
}

/// A directory that is removed with its guard.
#[derive(Debug)]
pub struct TempDir(PathBuf);

impl TempDir {
    pub fn new() -> Self {
        let name = format!("ggt-{}-{:x}", std::process::id(), rand::random::<u64>());
        let path = std::env::temp_dir().join(name);
        fs::create_dir(&path).unwrap();
        Self(path)
    }

    pub fn path(&self) -> &std::path::Path {
        &self.0
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A running process; dropping it kills and reaps it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    dir: TempDir,
}

impl Process {
    /// Starts a program with these settings.
    pub fn start(program: Program, settings: &Value) -> Self {
        let dir = TempDir::new();
        let file = dir.path().join("settings.json");
        fs::write(&file, settings.to_string()).unwrap();
        let log = File::create(dir.path().join("log")).unwrap();
        let child = Command::new(program.path())
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        Self { child, dir }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns what the process has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(self.dir.path().join("log")).unwrap_or_default()
    }

    /// Stops the process for a while.
    pub fn freeze(&self) {
        self.signal("STOP");
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal("CONT");
    }

    /// Asks for a planned stop.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Kills the process and does not wait.
    pub fn kill_at_once(&self) {
        self.signal("KILL");
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        self.wait(KILL_MAX);
    }

    /// Returns whether the process has not ended yet.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the end of the process, or returns `None` when it takes longer.
    pub fn wait(&mut self, longest: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return Some(status);
            }
            if start.elapsed() > longest {
                return None;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.id().to_string())
            .status();
        assert!(status.unwrap().success(), "cannot send SIG{name}");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("--- log of process {} ---\n{}", self.id(), self.log());
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
