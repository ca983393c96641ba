//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("the record");
        Self { file: Mutex::new(file), began: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let seconds = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }

    /// Writes a line that is shown as well.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
