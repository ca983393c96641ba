use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_savorywalk");

/// Runs the program in a folder of its own and checks what it says.
pub struct CommandTest {
    folder: TempDir,
    arguments: Vec<String>,
    stdout: Option<PathBuf>,
}

/// What the program said.
pub struct CommandResult {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl CommandTest {
    /// The arguments are split at spaces.
    pub fn new(arguments: &str) -> Self {
        Self {
            folder: TempDir::new().unwrap(),
            arguments: arguments.split(' ').map(String::from).collect(),
            stdout: None,
        }
    }

    /// Puts a file into the folder.
    pub fn file(self, name: &str, text: &str) -> Self {
        let path = self.folder.path().join(name);
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(path, text).unwrap();
        self
    }

    /// Sends standard output to a file.
    pub fn stdout_to(mut self, file: &str) -> Self {
        self.stdout = Some(file.into());
        self
    }

    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// The command, ready to be started.
    pub fn command(&self) -> Command {
        let mut command = Command::new(PROGRAM);
        command
            .args(&self.arguments)
            .current_dir(self.folder.path())
            .env("NO_COLOR", "1")
            .env("LANG", "C.UTF-8")
            .env("TERM", "xterm")
            .env_remove("SAVORYWALK_LOG")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        if let Some(file) = &self.stdout {
            let file = std::fs::OpenOptions::new().write(true).open(file).unwrap();
            command.stdout(file);
        }
        command
    }

    /// Runs the program to its end.
    pub fn run(&self) -> CommandResult {
        let output = self.command().output().unwrap();
        CommandResult::from(output)
    }
}

impl From<Output> for CommandResult {
    fn from(output: Output) -> Self {
        Self {
            code: output.status.code().expect("the program ended by itself"),
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }
}
