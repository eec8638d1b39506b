//! A process that is killed when dropped.

use std::fs::File;
use std::io;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};

use nix::sys::signal;
pub use nix::sys::signal::Signal;
use nix::unistd::Pid;

/// A running process.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program and appends its output to a file.
    pub fn start(program: &Path, args: &[&str], output: &Path) -> io::Result<Self> {
        let output = File::options().create(true).append(true).open(output)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
            .map_err(|err| io::Error::new(err.kind(), format!("{}: {err}", program.display())))?;
        Ok(Self { child })
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        signal::kill(Pid::from_raw(self.child.id() as i32), signal).map_err(io::Error::from)
    }

    /// Exit status, if the process has ended.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
