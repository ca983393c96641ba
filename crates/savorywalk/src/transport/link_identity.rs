use std::time::SystemTime;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::client::WebPkiServerVerifier;
use rustls::client::danger::ServerCertVerifier;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::server::danger::ClientCertVerifier;
use rustls::version::TLS13;
use rustls::{ClientConfig, RootCertStore, ServerConfig};

use super::any_certificate::AnyCertificate;
use super::certificate_files::CertificateTexts;
use super::peer_certificate::PeerCertificate;
use super::{LinkTiming, LoadError, PeerName, link_limits as limits};
use crate::prelude::*;

/// Protocol name and version, so that a stranger's QUIC is refused at once.
const PROTOCOL: &[u8] = b"savorywalk-link/1";

type Result<T> = std::result::Result<T, LoadError>;

/// Who this daemon is and whom it believes, ready for new connections.
#[derive(Clone, Debug)]
pub(super) struct LinkIdentity {
    pub(super) generation: u64,
    pub(super) texts: CertificateTexts,
    pub(super) client: quinn::ClientConfig,
    pub(super) server: quinn::ServerConfig,
}

impl LinkIdentity {
    /// Checks the files' contents: they fit together, the certificate is for
    /// `name`, it is good now and the authority has signed it.
    pub(super) fn load(
        name: &PeerName,
        generation: u64,
        texts: CertificateTexts,
        timing: LinkTiming,
    ) -> Result<Self> {
        let chain = certificates(&texts.certificate, "certificate")?;
        check_name(name, &chain)?;
        let roots = root_store(certificates(&texts.authority, "authority")?)?;
        check_chain(&chain, &roots)?;
        Self::build(generation, texts, timing)
    }

    /// Makes the identity without a check of what peers will say to it.
    pub(super) fn build(
        generation: u64,
        texts: CertificateTexts,
        timing: LinkTiming,
    ) -> Result<Self> {
        let chain = certificates(&texts.certificate, "certificate")?;
        let roots = root_store(certificates(&texts.authority, "authority")?)?;
        let key = PrivateKeyDer::from_pem_slice(&texts.key).map_err(|_| LoadError::NoPem("key"))?;
        let verifier = WebPkiServerVerifier::builder_with_provider(Arc::clone(&roots), provider());
        let verifier = verifier
            .build()
            .map_err(|error| LoadError::Verifier(error.to_string()))?;
        let client = client_config(verifier, &chain, &key, timing)?;
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider());
        let verifier = verifier
            .build()
            .map_err(|error| LoadError::Verifier(error.to_string()))?;
        let server = server_config(verifier, &chain, &key, timing)?;
        Ok(Self {
            generation,
            texts,
            client,
            server,
        })
    }
}

impl LinkIdentity {
    /// Makes a certificate for `name` that nobody has signed, to encrypt with.
    pub(super) fn ephemeral(name: &PeerName, timing: LinkTiming) -> Result<Self> {
        let made = rcgen::generate_simple_self_signed([name.to_string()]);
        let made = made.map_err(|error| LoadError::Verifier(error.to_string()))?;
        let chain = [made.cert.der().clone()];
        let key = made.signing_key.serialize_der();
        let key = PrivateKeyDer::Pkcs8(key.into());
        let verifier = Arc::new(AnyCertificate(provider()));
        let client = client_config(Arc::clone(&verifier) as _, &chain, &key, timing)?;
        let server = server_config(verifier, &chain, &key, timing)?;
        Ok(Self {
            generation: 0,
            texts: CertificateTexts::default(),
            client,
            server,
        })
    }
}

fn certificates(pem: &[u8], key: &'static str) -> Result<Vec<CertificateDer<'static>>> {
    let chain: std::result::Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    match chain {
        Ok(chain) if !chain.is_empty() => Ok(chain),
        Ok(_) | Err(_) => Err(LoadError::NoPem(key)),
    }
}

fn check_name(name: &PeerName, chain: &[CertificateDer<'_>]) -> Result<()> {
    let certificate = chain.first().and_then(PeerCertificate::parse);
    let certificate = certificate.ok_or(LoadError::NoName)?;
    if certificate.name != *name {
        return Err(LoadError::OtherName {
            expected: name.clone(),
            found: certificate.name,
        });
    }
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let now = now.map_or(0, |elapsed| elapsed.as_secs() as i64);
    if certificate.not_after < now {
        return Err(LoadError::Expired { name: name.clone() });
    }
    Ok(())
}

fn root_store(authorities: Vec<CertificateDer<'static>>) -> Result<Arc<RootCertStore>> {
    let mut roots = RootCertStore::empty();
    for authority in authorities {
        roots.add(authority).map_err(LoadError::Tls)?;
    }
    Ok(Arc::new(roots))
}

/// The same check that every peer will make of this daemon.
fn check_chain(chain: &[CertificateDer<'_>], roots: &Arc<RootCertStore>) -> Result<()> {
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::clone(roots), provider());
    let verifier = verifier
        .build()
        .map_err(|error| LoadError::Verifier(error.to_string()))?;
    let (first, rest) = chain.split_first().ok_or(LoadError::NoPem("certificate"))?;
    let now = rustls::pki_types::UnixTime::now();
    match verifier.verify_client_cert(first, rest, now) {
        Ok(_) => Ok(()),
        Err(error) => Err(LoadError::Foreign(error)),
    }
}

fn client_config(
    verifier: Arc<dyn ServerCertVerifier>,
    chain: &[CertificateDer<'static>],
    key: &PrivateKeyDer<'static>,
    timing: LinkTiming,
) -> Result<quinn::ClientConfig> {
    let mut tls = ClientConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&TLS13])
        .map_err(LoadError::Tls)?
        .dangerous()
        .with_custom_certificate_verifier(verifier)
        .with_client_auth_cert(chain.to_vec(), key.clone_key())
        .map_err(LoadError::Tls)?;
    tls.alpn_protocols = vec![PROTOCOL.to_vec()];
    let crypto = QuicClientConfig::try_from(tls);
    let crypto = crypto.map_err(|error| LoadError::Verifier(error.to_string()))?;
    let mut config = quinn::ClientConfig::new(Arc::new(crypto));
    let mut transport = transport_config(timing);
    transport.keep_alive_interval(Some(timing.keep_alive));
    config.transport_config(Arc::new(transport));
    Ok(config)
}

fn server_config(
    verifier: Arc<dyn ClientCertVerifier>,
    chain: &[CertificateDer<'static>],
    key: &PrivateKeyDer<'static>,
    timing: LinkTiming,
) -> Result<quinn::ServerConfig> {
    let mut tls = ServerConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&TLS13])
        .map_err(LoadError::Tls)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.to_vec(), key.clone_key())
        .map_err(LoadError::Tls)?;
    tls.alpn_protocols = vec![PROTOCOL.to_vec()];
    // A resumed session would skip the check of a certificate that has
    // expired or whose authority is gone.
    tls.send_tls13_tickets = 0;
    let crypto = QuicServerConfig::try_from(tls);
    let crypto = crypto.map_err(|error| LoadError::Verifier(error.to_string()))?;
    let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(Arc::new(transport_config(timing)));
    config.migration(false);
    Ok(config)
}

fn transport_config(timing: LinkTiming) -> quinn::TransportConfig {
    let mut transport = quinn::TransportConfig::default();
    let idle = timing.idle_timeout.max(timing.stream_idle_timeout);
    let idle = idle.as_millis() as u32;
    transport
        .initial_rtt(timing.initial_round_trip)
        .max_idle_timeout(Some(quinn::VarInt::from_u32(idle).into()))
        .max_concurrent_uni_streams(limits::MAX_BATCH_STREAMS.into())
        .max_concurrent_bidi_streams(limits::MAX_CALL_STREAMS.into())
        .receive_window(limits::CONNECTION_WINDOW_BYTES.into())
        .datagram_receive_buffer_size(None);
    transport
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}
