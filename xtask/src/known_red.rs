//! Runs the tests, and knows which of them are allowed to fail: those that
//! KNOWN-RED.txt lists, each with its cause. A test on the list that passes is a
//! failure, too, so that a line can't outlive its fault.

use std::path::Path;
use std::process::Command;
use std::{fmt, fs, io};

const LIST: &str = "KNOWN-RED.txt";
/// Most lines of the list. More would no longer be mended first of all.
const MOST: usize = 3;
/// End of the issue of a line that does not count against the limit.
const UNCAPPED: &str = ", uncapped";
const COMMENT: char = '#';
const SEPARATOR: char = '|';

type Result<T, E = RedError> = std::result::Result<T, E>;

/// A test that fails for a fault which is known and not mended yet.
#[derive(Debug)]
pub(crate) struct RedTest {
    /// Path of the test, as the test program prints it.
    path: String,
    /// Why it fails.
    cause: String,
    /// How the fault was seen: command and seed.
    command: String,
    /// What was seen.
    seen: String,
    /// The open issue.
    issue: String,
}

/// How a run of one listed test ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RedOutcome {
    Failed,
    Passed,
    /// It did not run: renamed, deleted, ignored, or it does not compile.
    Missing,
}

/// Why the tests as a whole are not passed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RedError {
    #[error("{LIST} can't be read: {0}")]
    Unreadable(#[from] io::Error),
    #[error("{LIST}, line {0}: write TEST | cause | command and seed | what was seen | issue")]
    Malformed(usize),
    #[error("{LIST} lists {0} tests, and {MOST} are the most: mend one first")]
    TooMany(usize),
    #[error("tests failed that {LIST} does not list")]
    Tests,
    #[error("{0} passes: take its line off {LIST}")]
    Passes(String),
    #[error("{0} did not run: give its path in {LIST} as the test program prints it")]
    NotRun(String),
}

impl fmt::Display for RedTest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.path)
    }
}

/// Runs every test of the workspace below `root`: those that are not listed must
/// pass, and those that are must fail.
pub(crate) fn run_tests(root: &Path) -> Result<()> {
    let list = read(root)?;
    run_unlisted(root, &list)?;
    for test in &list {
        match run_listed(root, test)? {
            RedOutcome::Failed => {
                let RedTest { cause, seen, .. } = test;
                let RedTest { command, issue, .. } = test;
                println!("known red: {test}: {cause}; seen: {seen}; by: {command}; {issue}");
            }
            RedOutcome::Passed => return Err(RedError::Passes(test.to_string())),
            RedOutcome::Missing => return Err(RedError::NotRun(test.to_string())),
        }
    }
    match list.len() {
        0 => println!("no test is known red"),
        count => println!("{count} tests are known red, see {LIST}"),
    }
    Ok(())
}

fn read(root: &Path) -> Result<Vec<RedTest>> {
    match fs::read_to_string(root.join(LIST)) {
        Ok(text) => parse(&text),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        Err(error) => Err(error.into()),
    }
}

/// Reads the list: a line a test, other lines empty or comments.
pub(crate) fn parse(text: &str) -> Result<Vec<RedTest>> {
    let lines = text.lines().enumerate();
    let lines = lines.filter(|(_, line)| !line.trim().is_empty() && !line.starts_with(COMMENT));
    let tests = lines.map(|(index, line)| parse_line(line).ok_or(RedError::Malformed(index + 1)));
    let tests: Vec<RedTest> = tests.collect::<Result<_>>()?;
    let capped = tests.iter().filter(|test| !test.issue.ends_with(UNCAPPED));
    match capped.count() {
        count if count > MOST => Err(RedError::TooMany(count)),
        _ => Ok(tests),
    }
}

fn parse_line(line: &str) -> Option<RedTest> {
    let parts: Vec<String> = line
        .split(SEPARATOR)
        .map(|part| part.trim().to_string())
        .collect();
    if parts.iter().any(String::is_empty) {
        return None;
    }
    let [path, cause, command, seen, issue] = <[String; 5]>::try_from(parts).ok()?;
    Some(RedTest {
        path,
        cause,
        command,
        seen,
        issue,
    })
}

fn run_unlisted(root: &Path, list: &[RedTest]) -> Result<()> {
    let mut command = Command::new("cargo");
    command.current_dir(root);
    command.args(["test", "--workspace", "--locked"]);
    if !list.is_empty() {
        command.args(["--", "--exact"]);
    }
    for test in list {
        command.args(["--skip", &test.path]);
    }
    match command.status()?.success() {
        true => Ok(()),
        false => Err(RedError::Tests),
    }
}

fn run_listed(root: &Path, test: &RedTest) -> Result<RedOutcome> {
    let mut command = Command::new("cargo");
    command.current_dir(root);
    command.args(["test", "--workspace", "--locked", "--no-fail-fast"]);
    command.args(["--lib", "--bins", "--tests"]);
    command.args(["--", "--exact", &test.path]);
    let output = command.output()?;
    Ok(outcome(
        &String::from_utf8_lossy(&output.stdout),
        &test.path,
    ))
}

/// How a test ended by what the test programs printed.
pub(crate) fn outcome(printed: &str, path: &str) -> RedOutcome {
    let has = |end: &str| {
        let line = format!("test {path} ... {end}");
        printed.lines().any(|printed| printed.trim_end() == line)
    };
    match (has("ok"), has("FAILED")) {
        (true, _) => RedOutcome::Passed,
        (false, true) => RedOutcome::Failed,
        (false, false) => RedOutcome::Missing,
    }
}

#[cfg(test)]
#[path = "known_red_tests.rs"]
mod tests;
