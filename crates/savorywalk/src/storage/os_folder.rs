use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use super::DiskFolder;

/// A folder of the operating system.
#[derive(Debug)]
pub struct OsFolder {
    path: PathBuf,
    open: Option<OpenFile>,
}

/// The file that was written last stays open, since the log writes one at a time.
#[derive(Debug)]
struct OpenFile {
    name: String,
    file: File,
}

impl OsFolder {
    /// The folder at `path`, which is made when it is not there.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        Ok(Self {
            path: path.to_path_buf(),
            open: None,
        })
    }

    fn file(&mut self, name: &str) -> io::Result<&File> {
        let open = match self.open.take() {
            Some(open) if open.name == name => open,
            Some(_) | None => OpenFile {
                name: name.to_string(),
                file: OpenOptions::new().write(true).open(self.path.join(name))?,
            },
        };
        Ok(&self.open.insert(open).file)
    }
}

impl DiskFolder for OsFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            if let Ok(name) = entry.file_name().into_string() {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let file = File::create(self.path.join(name))?;
        let name = name.to_string();
        self.open = Some(OpenFile { name, file });
        Ok(())
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all_at(bytes, offset)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
