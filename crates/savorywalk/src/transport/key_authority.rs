use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use miette::Diagnostic;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use time::OffsetDateTime;

use super::{InvalidPeerName, PeerName};
use crate::prelude::*;

const AUTHORITY: &str = "authority";
const CERTIFICATE_EXTENSION: &str = "pem";
const KEY_EXTENSION: &str = "key";
const KEY_MODE: u32 = 0o600;
const CERTIFICATE_MODE: u32 = 0o644;
/// Ten years; an authority is replaced by a bundle of the old and the new one.
const AUTHORITY_DAYS: i64 = 3_650;
/// A certificate is good from a little earlier on, for clocks that are behind.
const CLOCK_ALLOWANCE: time::Duration = time::Duration::hours(1);

/// Why a key or certificate could not be made.
#[derive(Debug, Error, Diagnostic)]
pub enum KeyError {
    /// A file can't be read or written.
    #[error("can't use {}: {error}", file.display())]
    #[diagnostic(help(
        "name a folder that this user may write, made by `savorywalk keys authority`"
    ))]
    File {
        /// The file.
        file: PathBuf,
        /// The system's word.
        error: io::Error,
    },
    /// An authority is there already.
    #[error("{} holds an authority already", folder.display())]
    #[diagnostic(help(
        "use `keys issue` with it, or make the next authority in a folder of its own; see docs/operators/rotate-keys.md"
    ))]
    Taken {
        /// The folder.
        folder: PathBuf,
    },
    /// The daemon's name can't stand in a certificate.
    #[error(transparent)]
    Name(#[from] InvalidPeerName),
    /// A daemon can't have the authority's name.
    #[error("a daemon can't be named `authority`; its files would replace the authority's")]
    #[diagnostic(help("give the daemon another name"))]
    Reserved,
    /// The library refused.
    #[error("the certificate could not be made: {0}")]
    #[diagnostic(help("check that authority.pem and authority.key are a pair and undamaged"))]
    Certificate(#[from] rcgen::Error),
}

type Result<T> = std::result::Result<T, KeyError>;

/// The deployment's own certificate authority, kept in a folder.
#[derive(Debug)]
pub struct KeyAuthority {
    folder: PathBuf,
    issuer: Issuer<'static, KeyPair>,
}

impl KeyAuthority {
    /// Makes a new authority in `folder`; one that is there is never replaced.
    pub fn create(folder: &Path) -> Result<Self> {
        let certificate_file = folder.join(AUTHORITY).with_extension(CERTIFICATE_EXTENSION);
        let key_file = folder.join(AUTHORITY).with_extension(KEY_EXTENSION);
        fs::create_dir_all(folder).map_err(|error| file_error(folder, error))?;
        if certificate_file.exists() || key_file.exists() {
            return Err(KeyError::Taken {
                folder: folder.to_path_buf(),
            });
        }
        let key = KeyPair::generate()?;
        let certificate = authority_params().self_signed(&key)?.pem();
        replace_file(&key_file, &key.serialize_pem(), KEY_MODE)?;
        replace_file(&certificate_file, &certificate, CERTIFICATE_MODE)?;
        Self::open(folder)
    }

    /// Opens the authority in `folder`.
    pub fn open(folder: &Path) -> Result<Self> {
        let certificate = read(&folder.join(AUTHORITY).with_extension(CERTIFICATE_EXTENSION))?;
        let key = read(&folder.join(AUTHORITY).with_extension(KEY_EXTENSION))?;
        let issuer = Issuer::from_ca_cert_pem(&certificate, KeyPair::from_pem(&key)?)?;
        Ok(Self {
            folder: folder.to_path_buf(),
            issuer,
        })
    }

    /// Issues a key and certificate for the daemon `name`, good for `days`,
    /// and returns the certificate's file. Older ones are replaced.
    pub fn issue(&self, name: &str, days: u32) -> Result<PathBuf> {
        let now = OffsetDateTime::now_utc();
        let until = now + time::Duration::days(days.into());
        self.issue_between(name, now - CLOCK_ALLOWANCE, until)
    }

    /// Issues a key and certificate that are good from `start` to `end`.
    pub fn issue_between(
        &self,
        name: &str,
        start: OffsetDateTime,
        end: OffsetDateTime,
    ) -> Result<PathBuf> {
        let name = PeerName::new(name)?;
        if name.as_str() == AUTHORITY {
            return Err(KeyError::Reserved);
        }
        let key = KeyPair::generate()?;
        let params = daemon_params(&name, start, end)?;
        let certificate = params.signed_by(&key, &self.issuer)?.pem();
        let file = self.folder.join(name.as_str());
        let key_file = file.with_extension(KEY_EXTENSION);
        let certificate_file = file.with_extension(CERTIFICATE_EXTENSION);
        replace_file(&key_file, &key.serialize_pem(), KEY_MODE)?;
        replace_file(&certificate_file, &certificate, CERTIFICATE_MODE)?;
        Ok(certificate_file)
    }
}

fn authority_params() -> CertificateParams {
    let now = OffsetDateTime::now_utc();
    let mut params = CertificateParams::default();
    params.not_before = now - CLOCK_ALLOWANCE;
    params.not_after = now + time::Duration::days(AUTHORITY_DAYS);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params.distinguished_name = rcgen::DistinguishedName::new();
    let name = format!("savorywalk authority {}", now.unix_timestamp_nanos());
    params.distinguished_name.push(DnType::CommonName, name);
    params
}

fn daemon_params(
    name: &PeerName,
    start: OffsetDateTime,
    end: OffsetDateTime,
) -> Result<CertificateParams> {
    let mut params = CertificateParams::new(vec![name.to_string()])?;
    params.not_before = start;
    params.not_after = end;
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    params.use_authority_key_identifier_extension = true;
    params.distinguished_name = rcgen::DistinguishedName::new();
    params
        .distinguished_name
        .push(DnType::CommonName, name.as_str());
    Ok(params)
}

/// Writes a new file beside `file` and renames it, so that a reader finds the
/// old text or the new one, never a part.
fn replace_file(file: &Path, text: &str, mode: u32) -> Result<()> {
    let fresh = file.with_extension("new");
    let written = (|| {
        let mut options = OpenOptions::new();
        options.write(true).create(true).truncate(true).mode(mode);
        let mut handle = options.open(&fresh)?;
        handle.write_all(text.as_bytes())?;
        handle.sync_all()?;
        fs::rename(&fresh, file)
    })();
    written.map_err(|error| file_error(file, error))
}

fn read(file: &Path) -> Result<String> {
    fs::read_to_string(file).map_err(|error| file_error(file, error))
}

fn file_error(file: &Path, error: io::Error) -> KeyError {
    KeyError::File {
        file: file.to_path_buf(),
        error,
    }
}

#[cfg(test)]
#[path = "key_authority_tests.rs"]
mod tests;
