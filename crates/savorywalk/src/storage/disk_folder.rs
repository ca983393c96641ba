use std::io;

/// The files of one folder, as an operating system keeps them.
///
/// Nothing lasts before the file's `sync`; no name lasts before `sync_folder`.
pub trait DiskFolder: Send + 'static {
    /// Names of all files.
    fn list(&self) -> io::Result<Vec<String>>;

    /// The whole content of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Makes an empty file, in place of one that may be there.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Writes `bytes` at `offset`.
    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Cuts a file off at `length`.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Makes a file's content last.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Gives a file another name, in place of a file that may have it.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Takes a file away.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the names of the files last.
    fn sync_folder(&mut self) -> io::Result<()>;
}
