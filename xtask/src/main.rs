//! Routine jobs of the developers: `cargo xtask generate`, `cargo xtask check`.

mod arguments;
mod generate;
mod settings_table;

use arguments::{Xtask, XtaskCmd};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    match Xtask::from_env_or_exit().subcommand {
        XtaskCmd::Generate(_) => generate::write(),
        XtaskCmd::Check(_) => generate::check(),
    }
}
