use super::log_pipe::LogPipe;
use crate::prelude::*;

const LEVEL_VARIABLE: &str = "SAVORYWALK_LOG";

/// Logs one event as one line of key=value pairs.
///
/// The first argument is the level's macro in `log`, the second the event's
/// name; values with spaces are quoted so that a line splits unambiguously.
#[macro_export]
macro_rules! log_event {
    ($level:ident, $event:literal $(, $key:ident = $value:expr)* $(,)?) => {
        ::log::$level!(
            concat!("event=", $event $(, " ", stringify!($key), "={}")*)
            $(, $crate::telemetry::LogValue(&$value))*
        )
    };
}

/// Shows a value in a log line, quoted when it would not read back as one word.
#[derive(Debug)]
pub struct LogValue<'a, T: ?Sized>(pub &'a T);

impl<T: fmt::Display + ?Sized> fmt::Display for LogValue<'_, T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.to_string();
        let plain = !text.is_empty() && !text.contains([' ', '"', '=', '\n', '\t']);
        if plain {
            return formatter.write_str(&text);
        }
        write!(formatter, "{text:?}")
    }
}

/// Starts logging to standard error; the environment goes before `level`.
pub fn init_logging(level: &str) {
    start_logging(level, env_logger::Target::Stderr);
}

/// Starts logging to standard output, as daemons do: bounded, and without ever
/// waiting for whoever reads it.
pub fn init_daemon_logging(level: &str) {
    match LogPipe::start(std::io::stdout()) {
        Ok(pipe) => start_logging(level, env_logger::Target::Pipe(Box::new(pipe))),
        Err(error) => {
            start_logging(level, env_logger::Target::Stdout);
            log_event!(warn, "log_thread_not_started", reason = error);
        }
    }
}

fn start_logging(level: &str, target: env_logger::Target) {
    use std::io::Write;
    let environment = env_logger::Env::default().filter_or(LEVEL_VARIABLE, level);
    let started = env_logger::Builder::new()
        .filter_module("ractor", log::LevelFilter::Warn)
        .parse_env(environment)
        .target(target)
        .format(|buffer, record| {
            let time = buffer.timestamp_millis();
            let level = record.level().as_str().to_lowercase();
            writeln!(buffer, "time={time} level={level} {}", record.args())
        })
        .try_init();
    if started.is_err() {
        log_event!(debug, "logging_already_started");
    }
}

#[cfg(test)]
#[path = "log_event_tests.rs"]
mod tests;
