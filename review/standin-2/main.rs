//! Cases of the second review. `cases NAME FOLDER` plays one from the root of the repository, writes
//! FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.

mod control_memory;
mod deployment;
mod endless_event;
mod http;
mod large_bodies;
mod platform;
mod record;

use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Longest time that a case may take; its processes end with it.
const MAX_TIME: Duration = Duration::from_secs(116);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: cases NAME FOLDER");
        exit(2);
    };
    let record = Arc::new(record::Record::create(&PathBuf::from(folder)));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let top = std::env::current_dir().expect("the root of the repository");
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        eprintln!("the case took too long");
        platform::kill_all();
        exit(2);
    });
    let play = match name.as_str() {
        "control-memory" => control_memory::play,
        "endless-event" => endless_event::play,
        "large-bodies" => large_bodies::play,
        _ => {
            eprintln!("no case {name}");
            exit(2);
        }
    };
    let played = std::panic::catch_unwind(|| play(&top, has_trouble, &record));
    platform::kill_all();
    match played.unwrap_or_else(|_| Err("it met an error of its own".into())) {
        Ok(true) => {
            record.say("the rule held");
            exit(0);
        }
        Ok(false) => {
            record.say("the rule was broken");
            exit(1);
        }
        Err(reason) => {
            record.say(&format!("the case could not run: {reason}"));
            exit(2);
        }
    }
}
