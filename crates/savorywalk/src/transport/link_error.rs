use std::io;
use std::path::PathBuf;

use miette::Diagnostic;

use super::{LinkChannel, LinkClass, PeerName};
use crate::generated::link::CallRefusal;
use crate::prelude::*;

/// Why a daemon's certificate files can't be used.
#[derive(Debug, Error, Diagnostic)]
pub enum LoadError {
    /// A file can't be read.
    #[error("can't read {}: {error}", file.display())]
    #[diagnostic(help("name the files that `savorywalk keys issue` wrote in [link]"))]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The system's word.
        error: io::Error,
    },
    /// No PEM text of the right kind.
    #[error(
        "[link] {0} names a file that holds none; name the PEM file that `savorywalk keys` wrote"
    )]
    NoPem(&'static str),
    /// The certificate names no daemon.
    #[error("the certificate names no daemon; issue one by `savorywalk keys issue --name NAME`")]
    NoName,
    /// The certificate is another daemon's.
    #[error(
        "the certificate is for {found}, and [node] name is {expected}; issue one by `savorywalk keys issue --name {expected}`"
    )]
    OtherName {
        /// Name in the settings.
        expected: PeerName,
        /// Name in the certificate.
        found: PeerName,
    },
    /// The certificate has expired.
    #[error(
        "the certificate of {name} has expired; issue a new one by `savorywalk keys issue --name {name}`"
    )]
    Expired {
        /// Whose it is.
        name: PeerName,
    },
    /// The authority has not signed it.
    #[error(
        "the authority that [link] names did not sign the certificate ({0}); issue one from its folder"
    )]
    Foreign(rustls::Error),
    /// Key and certificate don't fit, or can't be used.
    #[error("certificate and key can't be used: {0}; issue both anew by `savorywalk keys issue`")]
    Tls(rustls::Error),
    /// The library refused the set-up.
    #[error("TLS can't be set up: {0}; issue certificate and key anew by `savorywalk keys issue`")]
    Verifier(String),
}

/// Why a link can't do what was asked of it.
#[derive(Debug, Error, Diagnostic)]
pub enum LinkError {
    /// The certificate files can't be used.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The address can't be bound.
    #[error("can't bind UDP {address}: {error}; write a free address of this VM in [link] address")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The system's word.
        error: io::Error,
    },
    /// No address and no connection.
    #[error(
        "no address of {0} is known and it has not connected; name it in [link] seeds or wait for membership"
    )]
    UnknownPeer(String),
    /// A name that no certificate can hold.
    #[error(transparent)]
    Name(#[from] super::InvalidPeerName),
    /// A certificate was refused, by the peer or here.
    #[error(
        "the link to {peer} was refused for a certificate ({detail}); issue a new one by `savorywalk keys issue` from an authority that both ends name"
    )]
    Certificate {
        /// The peer.
        peer: PeerName,
        /// What TLS said.
        detail: String,
    },
    /// The peer can't be reached.
    #[error("no link to {peer}: {detail}; check that it runs and that UDP passes, then try again")]
    Unreachable {
        /// The peer.
        peer: PeerName,
        /// What was met.
        detail: String,
    },
    /// A call ended without an answer.
    #[error(
        "{peer} gave no answer in time; it may have done what was asked, so repeat with the same id"
    )]
    TimedOut {
        /// The peer.
        peer: PeerName,
        /// Whether the peer has acknowledged all of the request: it runs and can be reached.
        acknowledged: bool,
    },
    /// The connection was lost with a call on it.
    #[error(
        "the link to {peer} was lost ({detail}); it may have done what was asked, so repeat with the same id"
    )]
    Lost {
        /// The peer.
        peer: PeerName,
        /// What was met.
        detail: String,
    },
    /// A message is too large for its channel.
    #[error("{bytes} bytes are over the limit of {limit} for {channel}; send less at once")]
    TooLarge {
        /// Its size.
        bytes: usize,
        /// The limit.
        limit: usize,
        /// The channel.
        channel: LinkChannel,
    },
    /// The queue is full.
    #[error("the queue of {class} messages to {peer} is full; send later")]
    QueueFull {
        /// The peer.
        peer: PeerName,
        /// The class.
        class: LinkClass,
    },
    /// The peer refused the call.
    #[error("{peer} refused the call: {}", refusal_text(*refusal))]
    Refused {
        /// The peer.
        peer: PeerName,
        /// Why.
        refusal: CallRefusal,
    },
    /// An answer can't be read.
    #[error("the answer of {peer} can't be read; check that both run the same version")]
    Malformed {
        /// The peer.
        peer: PeerName,
    },
    /// Too many peers.
    #[error("more than {0} peers; this is no deployment of one system, check the address book")]
    TooManyPeers(usize),
    /// The hub is closed.
    #[error("the links of this daemon are closed; start it again")]
    Closed,
}

fn refusal_text(refusal: CallRefusal) -> &'static str {
    match refusal {
        CallRefusal::Unspecified => "no reason; check that both run the same version",
        CallRefusal::TooLarge => "it is too large; send less at once",
        CallRefusal::TooFast => "too many calls; send fewer",
        CallRefusal::NotServed => "that daemon does not serve it; ask one with the role",
        CallRefusal::Busy => "it is busy; try again later",
        CallRefusal::Unanswered => "it gave up; repeat with the same id",
        CallRefusal::Malformed => "it can't read it; check that both run the same version",
    }
}
