use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use super::deployment_size::{TARGET, TODAY};
use super::slope_book::{MeasuredSlope, SlopeBook, shown};
use super::{Result, SlopeError};

const PAGE: &str = "docs/CAPACITY.md";
const SLOPES: &str = "docs/measurements/slopes.ini";
const BEGIN: &str = "<!-- capacity:begin -->";
const END: &str = "<!-- capacity:end -->";

/// Writes the tables into the page.
pub(crate) fn write(root: &Path) -> Result<()> {
    let page = made_page(root)?;
    let file = root.join(PAGE);
    fs::write(&file, page).map_err(|error| SlopeError::File {
        file: PAGE.into(),
        error,
    })
}

/// Fails when the page's tables differ from what the slopes give.
pub(crate) fn check(root: &Path) -> Result<()> {
    if made_page(root)? == read(root, PAGE)? {
        return Ok(());
    }
    Err(SlopeError::Stale)
}

fn made_page(root: &Path) -> Result<String> {
    let book = SlopeBook::parse(&read(root, SLOPES)?)?;
    let page = read(root, PAGE)?;
    let (head, rest) = page.split_once(BEGIN).ok_or(SlopeError::NoMark(BEGIN))?;
    let (_, tail) = rest.split_once(END).ok_or(SlopeError::NoMark(END))?;
    Ok(format!("{head}{BEGIN}\n{}{END}{tail}", tables(&book)))
}

fn read(root: &Path, file: &str) -> Result<String> {
    fs::read_to_string(root.join(file)).map_err(|error| SlopeError::File {
        file: file.into(),
        error,
    })
}

fn tables(book: &SlopeBook) -> String {
    let mut text = String::from(
        "\n| role | quantity | today | target | budget | within | mechanism |\n| --- | --- | ---: | ---: | ---: | --- | --- |\n",
    );
    for slope in &book.slopes {
        push_row(&mut text, slope);
    }
    text.push_str("\n| role | quantity | formula | command |\n| --- | --- | --- | --- |\n");
    for slope in &book.slopes {
        let _ = writeln!(
            text,
            "| {} | {}, {} | {} | `{}` |",
            slope.role,
            slope.quantity,
            slope.unit,
            slope.formula(),
            slope.command
        );
    }
    text.push('\n');
    text
}

fn push_row(text: &mut String, slope: &MeasuredSlope) {
    let (today, target) = (slope.at(&TODAY), slope.at(&TARGET));
    let (budget, within) = match slope.budget {
        None => ("–".to_string(), "–".to_string()),
        Some(budget) if target <= budget => (shown(budget), "yes".to_string()),
        Some(budget) => (shown(budget), format!("**no**, by {:.1}×", target / budget)),
    };
    let _ = writeln!(
        text,
        "| {} | {}, {} | {} | {} | {budget} | {within} | {} |",
        slope.role,
        slope.quantity,
        slope.unit,
        shown(today),
        shown(target),
        slope.mechanism
    );
}
