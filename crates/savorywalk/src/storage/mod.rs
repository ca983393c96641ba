//! Storage keeps what must outlast the process under one data folder.
//! See docs/design/storage.md.
