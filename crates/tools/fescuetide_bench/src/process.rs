//! Child processes, and building the programs that they run.

use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::OnceLock;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;

use crate::signals::ensure_not_stopped;

/// Polling interval of waits.
const POLL_INTERVAL_MS: u64 = 10;

/// A signal to send to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalKind {
    /// SIGKILL: terminates the process immediately.
    Kill,
    /// SIGTERM: requests a graceful shutdown.
    Terminate,
    /// SIGSTOP: suspends the process.
    Pause,
    /// SIGCONT: resumes a suspended process.
    Resume,
}

impl SignalKind {
    fn option(self) -> &'static str {
        match self {
            Self::Kill => "-KILL",
            Self::Terminate => "-TERM",
            Self::Pause => "-STOP",
            Self::Resume => "-CONT",
        }
    }
}

/// A child process that is killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
}

impl ChildProcess {
    /// Starts `program` with its output appended to `{name}.log` in `folder`.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        folder: &Path,
    ) -> anyhow::Result<Self> {
        let path = folder.join(format!("{name}.log"));
        let output = File::options().create(true).append(true).open(path)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
            .with_context(|| format!("cannot start {}", program.display()))?;
        Ok(Self {
            name: name.to_owned(),
            child,
        })
    }

    /// The name that the process was started with.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails when the process no longer exists.
    pub fn signal(&self, kind: SignalKind) -> anyhow::Result<()> {
        let status = Command::new("kill")
            .arg(kind.option())
            .arg(self.child.id().to_string())
            .status()?;
        anyhow::ensure!(status.success(), "cannot signal {}", self.name);
        Ok(())
    }

    /// Waits for the process to exit. Returns whether it exited within `timeout`.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be waited for.
    pub fn wait_ended(&mut self, timeout: Duration) -> anyhow::Result<bool> {
        let start = Instant::now();
        while start.elapsed() < timeout {
            if self.child.try_wait()?.is_some() {
                return Ok(true);
            }
            thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
        Ok(false)
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Polls `condition` until it returns true.
///
/// # Errors
///
/// Fails when that takes longer than `timeout` (the error names `what`) or when a termination signal was received.
pub fn wait_for(
    what: &str,
    timeout: Duration,
    mut condition: impl FnMut() -> bool,
) -> anyhow::Result<()> {
    let start = Instant::now();
    while start.elapsed() < timeout {
        if condition() {
            return Ok(());
        }
        ensure_not_stopped()?;
        thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
    anyhow::bail!("{what} took longer than {timeout:?}")
}

/// Paths of the programs that a fleet runs.
#[derive(Clone, Debug)]
pub struct ProgramPaths {
    /// `fescuetided`.
    pub daemon: PathBuf,
    /// `fescuetide-standin`.
    pub standin: PathBuf,
    /// `fescuetide`.
    pub tool: PathBuf,
}

/// Builds the fleet's programs, once per process, and returns their paths.
///
/// # Errors
///
/// Fails when the build fails.
pub fn build_programs() -> anyhow::Result<ProgramPaths> {
    static PROGRAMS: OnceLock<Result<ProgramPaths, String>> = OnceLock::new();
    let result = PROGRAMS.get_or_init(|| run_build().map_err(|error| format!("{error:#}")));
    result.clone().map_err(anyhow::Error::msg)
}

fn run_build() -> anyhow::Result<ProgramPaths> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../Cargo.toml");
    let mut command = Command::new(cargo);
    command
        .args(["build", "--quiet", "--locked", "--manifest-path"])
        .arg(&manifest)
        .args(["-p", "fescuetided", "-p", "fescuetide_standin"])
        .args(["-p", "fescuetide_cli"]);
    let profile = if cfg!(debug_assertions) {
        "debug"
    } else {
        command.arg("--release");
        "release"
    };
    let status = command.status().context("cannot run cargo")?;
    anyhow::ensure!(status.success(), "building the fleet's programs failed");
    let folder = target_folder(profile)?;
    Ok(ProgramPaths {
        daemon: folder.join("fescuetided"),
        standin: folder.join("fescuetide-standin"),
        tool: folder.join("fescuetide"),
    })
}

/// The build output folder: the nearest ancestor of the current executable that is named after the profile.
fn target_folder(profile: &str) -> anyhow::Result<PathBuf> {
    let program = std::env::current_exe()?;
    for folder in program.ancestors() {
        if folder.file_name().is_some_and(|name| name == profile) {
            return Ok(folder.to_owned());
        }
    }
    anyhow::bail!(
        "{} has no parent folder named {profile:?}",
        program.display()
    )
}
