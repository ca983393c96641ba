//! Routine jobs of the developers; `cargo xtask --help` lists them.

mod arguments;
mod capacity;
mod fault_check;
mod generate;
mod known_red;
mod link_check;
mod repository;
mod settings_page;
mod settings_table;

use std::error::Error;
use std::process;

use arguments::{Xtask, XtaskCmd};

fn main() -> Result<(), Box<dyn Error>> {
    match Xtask::from_env_or_exit().subcommand {
        XtaskCmd::Test(_) => {
            run_tests();
            Ok(())
        }
        XtaskCmd::Generate(_) => generate::write(),
        XtaskCmd::Check(_) => generate::check(),
        XtaskCmd::CheckLinks(_) => check_links(),
        XtaskCmd::CheckFaults(_) => check_faults(),
        XtaskCmd::Capacity(arguments) => {
            let root = repository::root();
            match arguments.check {
                true => Ok(capacity::check(&root)?),
                false => Ok(capacity::write(&root)?),
            }
        }
    }
}

fn run_tests() {
    if let Err(error) = known_red::run_tests(&repository::root()) {
        exit_on(&[error.to_string()]);
    }
}

fn check_links() -> Result<(), Box<dyn Error>> {
    exit_on(&link_check::problems(&repository::root())?);
    println!("every link leads to a file");
    Ok(())
}

fn check_faults() -> Result<(), Box<dyn Error>> {
    let summary = fault_check::summary(&repository::root())?;
    exit_on(&summary.problems);
    println!(
        "fault matrix: {} cells tested, {} that cannot happen, {} open",
        summary.tested, summary.impossible, summary.open
    );
    Ok(())
}

/// Prints problems and exits with 1 when there are any.
fn exit_on(problems: &[String]) {
    if problems.is_empty() {
        return;
    }
    for problem in problems {
        eprintln!("{problem}");
    }
    process::exit(1);
}
