use std::path::PathBuf;

use super::LoadError;
use crate::prelude::*;

/// Files that prove who this daemon is and whom it believes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CertificateFiles {
    /// PEM file of this daemon's certificate.
    pub certificate: PathBuf,
    /// PEM file of this daemon's private key.
    pub key: PathBuf,
    /// PEM file of the authorities, one or, during a rotation, two.
    pub authority: PathBuf,
}

/// The files' contents, read together.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct CertificateTexts {
    pub(super) certificate: Vec<u8>,
    pub(super) key: Vec<u8>,
    pub(super) authority: Vec<u8>,
}

impl CertificateFiles {
    /// Reads all three.
    pub fn read(&self) -> Result<CertificateTexts, LoadError> {
        Ok(CertificateTexts {
            certificate: read(&self.certificate)?,
            key: read(&self.key)?,
            authority: read(&self.authority)?,
        })
    }
}

fn read(file: &PathBuf) -> Result<Vec<u8>, LoadError> {
    std::fs::read(file).map_err(|error| LoadError::Unreadable {
        file: file.clone(),
        error,
    })
}

/// Shows that there is a key, never the key.
impl fmt::Debug for CertificateTexts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("CertificateTexts")
            .finish_non_exhaustive()
    }
}
