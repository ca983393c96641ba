//! The `savorywalk` program: arguments, logging, signals. Every decision is in
//! the library.

mod arguments;
mod audit_command;
mod check_report;
mod command_error;
mod config_command;
mod demo;
mod demo_deployment;
mod demo_progress;
mod demo_report;
mod demo_request;
mod explain_command;
mod keys;
mod operator_client;
mod operator_error;
mod report_writer;
mod serve;
mod settings_check;
mod status_command;

use std::process::ExitCode;

use arguments::{Savorywalk, SavorywalkCmd};
use command_error::CommandError;

/// Result of a command.
type Result<T> = std::result::Result<T, CommandError>;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Savorywalk::from_env_or_exit();
    match run(arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let code = error.exit_code();
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::from(code)
        }
    }
}

async fn run(arguments: Savorywalk) -> Result<()> {
    match arguments.subcommand {
        SavorywalkCmd::Demo(arguments) => demo::run(arguments).await,
        SavorywalkCmd::Serve(arguments) => serve::run(&arguments.settings).await,
        SavorywalkCmd::Check(arguments) => settings_check::run(&arguments.settings),
        SavorywalkCmd::Keys(arguments) => keys::run(arguments),
        SavorywalkCmd::Config(arguments) => config_command::run(arguments).await,
        SavorywalkCmd::Explain(arguments) => explain_command::run(arguments),
        SavorywalkCmd::Status(arguments) => status_command::run(arguments).await,
        SavorywalkCmd::Audit(arguments) => audit_command::run(arguments).await,
    }
}
