//! The cases of the review; each is a subcommand that prints its result.
//!
//! Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.

mod core_replaced;
mod empty_tenants;
mod fleet;
mod http;
mod stopping_stream;
mod worker;

use std::path::PathBuf;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = arguments.as_slice() else {
        println!("usage: review-standin CASE ROOT FOLDER");
        exit(2);
    };
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case = case.clone();
    let run = move || match case.as_str() {
        "core-replaced" => core_replaced::run(&root, &folder, has_trouble),
        "empty-tenants" => empty_tenants::run(&root, &folder, has_trouble),
        "stopping-stream" => stopping_stream::run(&root, &folder, has_trouble),
        other => panic!("no case {other}"),
    };
    match std::panic::catch_unwind(run) {
        Ok(true) => {
            println!("the rule held");
            exit(0)
        }
        Ok(false) => {
            println!("the rule was broken; see record.txt");
            exit(1)
        }
        Err(_) => exit(2),
    }
}
