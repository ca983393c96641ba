//! Checks docs/FAULTS.md: each cell of its tables names tests that stand in
//! the sources, or says why the fault can't strike there, or that it is open.
//! So a renamed or deleted test can't leave a cell that proves nothing.

use std::collections::BTreeSet;
use std::path::Path;
use std::{fs, io};

use crate::repository;

const PAGE: &str = "docs/FAULTS.md";
const CRATES: &str = "crates";
/// Folder of the platform's adapter, which is a crate by itself.
const PLATFORM: &str = "platform";
const IMPOSSIBLE: &str = "cannot happen: ";
const OPEN: &str = "open";
const TEST_ATTRIBUTES: [&str; 3] = ["#[test]", "#[tokio::test", "#[rstest"];
const UNIT_TEST_SUFFIX: &str = "_tests";

/// What the cells of the matrix say, counted.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct FaultSummary {
    pub(crate) tested: usize,
    pub(crate) impossible: usize,
    pub(crate) open: usize,
    pub(crate) problems: Vec<String>,
}

/// Checks the page below `root` against the sources.
pub(crate) fn summary(root: &Path) -> io::Result<FaultSummary> {
    let page = fs::read_to_string(root.join(PAGE))?;
    Ok(check(&page, &tests(root)?))
}

/// Checks the text of a page against names of tests.
pub(crate) fn check(page: &str, tests: &BTreeSet<String>) -> FaultSummary {
    let mut summary = FaultSummary::default();
    for (number, row) in rows(page) {
        for cell in row {
            summary.add(number, cell, tests);
        }
    }
    summary
}

impl FaultSummary {
    fn add(&mut self, line: usize, cell: &str, tests: &BTreeSet<String>) {
        let names: Vec<&str> = cell.split('`').skip(1).step_by(2).collect();
        let missing = names.iter().filter(|name| !tests.contains(**name));
        let missing = missing.map(|name| format!("line {line}: no test {name}"));
        self.problems.extend(missing);
        if !names.is_empty() {
            self.tested += 1;
        } else if cell.len() > IMPOSSIBLE.len() && cell.starts_with(IMPOSSIBLE) {
            self.impossible += 1;
        } else if cell == OPEN {
            self.open += 1;
        } else {
            let problem = format!(
                "line {line}: cell {cell:?} names no test in backticks, and is neither {OPEN:?} nor {IMPOSSIBLE:?} with a reason"
            );
            self.problems.push(problem);
        }
    }
}

/// Cells of each table row, with the row's line; the first cell, which names
/// the fault, and the heads of tables are left out.
fn rows(page: &str) -> impl Iterator<Item = (usize, Vec<&str>)> {
    let lines: Vec<&str> = page.lines().collect();
    let is_rule = |line: &str| line.starts_with("| -") || line.starts_with("|-");
    let mut rows = Vec::new();
    for (index, line) in lines.iter().enumerate() {
        let next_is_rule = lines.get(index + 1).is_some_and(|next| is_rule(next));
        if !line.starts_with('|') || is_rule(line) || next_is_rule {
            continue;
        }
        let cells = line.trim_matches('|').split('|').skip(1).map(str::trim);
        rows.push((index + 1, cells.collect()));
    }
    rows.into_iter()
}

/// Names of all tests, as `crate::module::test_name`; the crate is its folder,
/// and a unit test's module is the file that it tests.
fn tests(root: &Path) -> io::Result<BTreeSet<String>> {
    let mut names = BTreeSet::new();
    for (folder, base) in [
        (root.join(CRATES), root.join(CRATES)),
        (root.join(PLATFORM), root.to_path_buf()),
    ] {
        for file in repository::files(&folder, "rs")? {
            let module = module(file.strip_prefix(&base).unwrap_or(&file));
            let text = fs::read_to_string(&file)?;
            names.extend(test_functions(&text).map(|name| format!("{module}::{name}")));
        }
    }
    Ok(names)
}

/// `routing/src/a/b_tests.rs` is `routing::a::b`, `daemon/tests/c.rs` is
/// `daemon::c`.
fn module(path: &Path) -> String {
    let parts = path.iter().filter_map(|part| part.to_str());
    let parts = parts.filter(|part| !matches!(*part, "src" | "tests" | "mod.rs" | "lib.rs"));
    let parts = parts.map(|part| {
        let stem = part.strip_suffix(".rs").unwrap_or(part);
        stem.strip_suffix(UNIT_TEST_SUFFIX).unwrap_or(stem)
    });
    parts.collect::<Vec<_>>().join("::")
}

fn test_functions(text: &str) -> impl Iterator<Item = &str> {
    let mut is_test = false;
    text.lines().filter_map(move |line| {
        let line = line.trim_start();
        is_test |= TEST_ATTRIBUTES.iter().any(|mark| line.starts_with(mark));
        let function = line.strip_prefix("async ").unwrap_or(line);
        let name = function.strip_prefix("fn ")?.split(['(', '<']).next()?;
        std::mem::take(&mut is_test).then_some(name)
    })
}

#[cfg(test)]
#[path = "fault_check_tests.rs"]
mod tests;
