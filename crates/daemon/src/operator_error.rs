use std::net::SocketAddr;

use miette::Diagnostic;
use savorywalk::audit::AuditGap;
use thiserror::Error;

/// Why an operator's command failed; each message names the remedy.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum OperatorError {
    /// The token file holds no token.
    #[error("the token file holds no token")]
    #[diagnostic(help("write the operator's token into it, on one line"))]
    EmptyToken,
    /// The patch is no JSON.
    #[error("the patch is no JSON object: {0}")]
    #[diagnostic(help("write a JSON Merge Patch, such as {{\"workspaces\": {{...}}}}"))]
    BadPatch(String),
    /// No answer came.
    #[error("no answer from {entry}: {error}")]
    #[diagnostic(help(
        "check the address with the [operators] section; if this was a change, read `config history` before sending it again"
    ))]
    Unreachable {
        /// The entry.
        entry: SocketAddr,
        /// What happened.
        error: String,
    },
    /// The entry refused.
    #[error("refused as {kind} (status {status}): {message}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Kind of the error.
        kind: String,
        /// What the entry says, with its remedy.
        message: String,
    },
    /// The answer can't be read.
    #[error("the answer can't be read: {0}")]
    #[diagnostic(help("use the same version of savorywalk as the entry"))]
    BadAnswer(serde_json::Error),
    /// The audit trail doesn't hold together.
    #[error("the audit trail has a gap: {0}")]
    Gap(#[from] AuditGap),
}

impl OperatorError {
    /// Whether what the operator wrote is wrong, and not the deployment.
    pub(crate) fn is_wrong_input(&self) -> bool {
        match self {
            Self::EmptyToken | Self::BadPatch(_) => true,
            Self::Refused { status, .. } => (400..500).contains(status),
            Self::Unreachable { .. } | Self::BadAnswer(_) | Self::Gap(_) => false,
        }
    }
}
