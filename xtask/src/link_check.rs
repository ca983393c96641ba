//! Checks that every relative link of the pages leads to a file, and that
//! every page that the sources name is there.

use std::path::Path;
use std::{fs, io};

use crate::repository;

const TOP_PAGES: [&str; 2] = ["README.md", "CHANGELOG.md"];
const PAGE_MENTION: &str = "docs/";
const PAGE_EXTENSION: &str = ".md";

/// Every link or mention below `root` that leads nowhere.
pub(crate) fn problems(root: &Path) -> io::Result<Vec<String>> {
    let mut pages = repository::files(&root.join("docs"), "md")?;
    pages.extend(TOP_PAGES.map(|page| root.join(page)));
    let mut problems = Vec::new();
    for page in pages {
        let text = fs::read_to_string(&page)?;
        let folder = page.parent().unwrap_or(root);
        for link in links(&text) {
            if !folder.join(link).exists() {
                problems.push(format!("{}: no {link}", shown(&page, root)));
            }
        }
    }
    for source in repository::files(&root.join("crates"), "rs")? {
        let text = fs::read_to_string(&source)?;
        for page in mentions(&text) {
            if !root.join(page).exists() {
                problems.push(format!("{}: no {page}", shown(&source, root)));
            }
        }
    }
    Ok(problems)
}

fn shown(path: &Path, root: &Path) -> String {
    path.strip_prefix(root)
        .unwrap_or(path)
        .display()
        .to_string()
}

/// Targets of relative Markdown links, without their fragments.
pub(crate) fn links(text: &str) -> impl Iterator<Item = &str> {
    text.split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next())
        .filter(|link| !link.contains("://") && !link.starts_with("mailto:"))
        .filter_map(|link| link.split('#').next())
        .filter(|link| !link.is_empty())
}

/// Pages that doc comments name, such as `docs/API.md`.
pub(crate) fn mentions(text: &str) -> impl Iterator<Item = &str> {
    let comments = text
        .lines()
        .filter(|line| line.trim_start().starts_with("//"));
    comments
        .flat_map(|line| line.split([' ', '`', '(', ')', '[', ']', ',', ';']))
        .map(|word| {
            word.split('#')
                .next()
                .unwrap_or(word)
                .trim_end_matches(['.', ':'])
        })
        .filter(|word| word.starts_with(PAGE_MENTION) && word.ends_with(PAGE_EXTENSION))
}

#[cfg(test)]
#[path = "link_check_tests.rs"]
mod tests;
