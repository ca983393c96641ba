use hyper::{Request, Response, header::HeaderMap, http};

use super::{GatewayRefusal, InvalidCall, LoadFeatures, RouteTable, TableError};
use crate::prelude::*;
use crate::registry::EndpointReport;

/// Translates between the gateway's types and the protocol that a platform uses on the
/// sockets of the gateway and the registry.
///
/// An implementation only translates: it has no state and makes no decisions. See
/// docs/design/platform.md.
pub trait WireFormat: fmt::Debug + Send + Sync + 'static {
    /// Returns the optional features that the platform's terms call for.
    fn load_features(&self, terms: &[String]) -> LoadFeatures;

    /// Parses a configuration document.
    fn read_document(&self, content: &[u8]) -> Result<RouteTable, TableError>;

    /// Parses a call to the registry; `None` if there is no such call.
    fn read_registry_call(
        &self,
        head: &http::request::Parts,
        body: &Bytes,
    ) -> Option<Result<RegistryCall, InvalidCall>>;

    /// Whether a call to the registry carries a configuration document. Other calls are small.
    fn carries_document(&self, head: &http::request::Parts) -> bool;

    /// Writes the answer to a call to the registry.
    fn registry_answer(&self, answer: &RegistryAnswer) -> Response<Bytes>;

    /// Whether a request asks if this daemon is ready.
    fn asks_readiness(&self, head: &http::request::Parts) -> bool;

    /// Parses the head of a caller's request.
    fn read_caller(&self, head: &http::request::Parts) -> CallerHead;

    /// Writes the head of the request to an endpoint.
    fn endpoint_request(
        &self,
        head: &http::request::Parts,
        forward_headers: &ForwardHeaders<'_>,
    ) -> Request<()>;

    /// Parses the head of an endpoint's answer.
    fn read_endpoint(&self, head: &http::response::Parts) -> EndpointHead;

    /// Selects the headers of an endpoint's answer that go to the caller.
    fn caller_headers(&self, head: &http::response::Parts) -> HeaderMap;

    /// Writes an answer that the gateway itself gives.
    fn refusal(&self, refusal: &GatewayRefusal, request_id: &str) -> Response<Bytes>;

    /// Writes a call with pieces of stages.
    fn piece_request(
        &self,
        pieces: &[PieceRequest<'_>],
        target: &EndpointTarget<'_>,
    ) -> Request<Bytes>;

    /// Parses the answer to a call with pieces, one outcome per piece; the error says why
    /// it is invalid.
    fn read_pieces(&self, body: &[u8]) -> Result<Vec<PieceOutcome>, String>;

    /// Writes a probe: a request that an endpoint answers at once, whatever its load, and without
    /// running anything.
    fn probe_request(&self, target: &EndpointTarget<'_>) -> Request<Bytes>;

    /// Writes a call that releases results at the endpoint that holds them.
    fn release_request(&self, handles: &[ResultHandle], address: SocketAddr) -> Request<Bytes>;
}

/// A call to the registry, by an endpoint or an operator.
#[derive(Clone, Debug)]
pub enum RegistryCall {
    /// An endpoint reports its state and address.
    Announce(EndpointReport),
    /// An endpoint accepts no new requests from now on.
    Drain(EndpointReport),
    /// An endpoint is about to exit.
    Leave {
        /// Name of the endpoint.
        endpoint: String,
        /// Start time of the incarnation in milliseconds, if it is sent.
        born_ms: Option<u64>,
    },
    /// An operator publishes a configuration document.
    Publish {
        /// Number of the document.
        number: u64,
        /// The document as it was sent.
        content: Bytes,
    },
    /// An operator starts or ends the evacuation of a data centre.
    Evacuate {
        /// Name of the data centre.
        data_center: String,
        /// Whether its endpoints should get no new requests.
        evacuated: bool,
    },
    /// An operator reads the document in force.
    ReadDocument,
}

/// An answer of the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryAnswer {
    /// The call was executed.
    Done,
    /// The announcement was accepted; later ones should be sent to this address.
    Announced(SocketAddr),
    /// The document in force.
    Document(Bytes),
    /// No document is in force yet.
    NoDocument,
    /// The call is invalid, and every daemon would reject it; the text says why.
    Invalid(String),
    /// The call can't be decided now; the text says why.
    Unavailable(String),
    /// There is no such call.
    Unknown,
}

/// What a caller sends in a request's head.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHead {
    /// Identity of the request.
    pub request_id: String,
    /// Host that the request names.
    pub host: String,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits for the answer.
    pub remaining: Option<Duration>,
    /// Tokens of the prompt and maximum tokens of the answer.
    pub tokens: Option<TokenCounts>,
    /// Parts of the prompt in order; the last one is unique to the request.
    pub prefix: Vec<PromptPart>,
    /// Number of pieces of each stage.
    pub piece_counts: Vec<u32>,
    /// Input of the stages that use no other stage's results.
    pub piece_key: String,
    /// Last event that the caller has received, when it resumes a stream.
    pub last_event: Option<u64>,
    /// Identity of the try that brought the first event of the stream that the caller resumes.
    pub resumes: Option<String>,
}

/// Size of a request to an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Length of the prompt in tokens.
    pub prompt: u64,
    /// Maximum length of the answer in tokens.
    pub answer: u64,
}

/// One part of a prompt; requests may share parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part's text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// The incarnation of an endpoint that a call is meant for.
#[derive(Clone, Copy, Debug)]
pub struct EndpointTarget<'a> {
    /// Name of the endpoint.
    pub name: &'a str,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
}

/// What the gateway adds to the head of a request to an endpoint.
#[derive(Clone, Debug)]
pub struct ForwardHeaders<'a> {
    /// The endpoint that the request is meant for.
    pub target: EndpointTarget<'a>,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// Name of the caller's workspace, if its key belongs to one.
    pub workspace: Option<&'a str>,
    /// Rank at engines; 0 goes first.
    pub rank: Option<u8>,
    /// Results of the last stages, if the route has stages.
    pub inputs: Option<&'a [ResultHandle]>,
    /// Last event that need not be sent again.
    pub last_event: Option<u64>,
    /// Length of the body in bytes.
    pub body_bytes: u64,
}

/// What an endpoint sends in an answer's head.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointHead {
    /// Identity of the answered request.
    pub request_id: Option<String>,
    /// Whether the endpoint guarantees that the request has not run and never will.
    pub not_run: bool,
    /// Whether callers take the status as a guarantee that the request has not run.
    pub promises_not_run: bool,
    /// Whether the answer has the endpoint's signature.
    pub is_signed: bool,
    /// Whether another incarnation received the request and did not run it.
    pub is_other_incarnation: bool,
    /// Whether the request has not run because results of its stages are no longer available.
    pub inputs_gone: bool,
    /// Load that the endpoint reports.
    pub load: Option<LoadReport>,
    /// Request rate that it accepts from all entries combined.
    pub rate: AdvertisedRate,
    /// Requests that it can reject in a second, from all entries combined, without crashing.
    pub rejection_limit: Option<f64>,
    /// Back-off that it requests from this entry.
    pub backoff: BackoffRequest,
    /// Whether the endpoint announces that it is leaving and accepts no new requests.
    pub is_leaving: bool,
    /// Whether the endpoint closes the connection after the answer.
    pub closes: bool,
    /// How long the endpoint keeps the connection open without a request, if it is sent.
    pub keep_alive: Option<Duration>,
}

/// Part of the rejections that an endpoint bears for which requests are sent while it rejects
/// them: permits may exceed their rate by two fifths after a change of coordinators.
const REJECTION_SHARE: f64 = 0.5;

impl EndpointHead {
    /// The rate at which requests may be sent after this answer.
    ///
    /// An endpoint that rejects a request and crashes if it rejects too many is treated as if it
    /// advertised a rate, until it serves a request again: any request may be rejected now.
    pub(super) fn effective_rate(&self) -> AdvertisedRate {
        let is_rejection = self.not_run && !self.inputs_gone;
        let bearable = self.rejection_limit.filter(|_| is_rejection);
        match (self.rate, bearable.map(|limit| limit * REJECTION_SHARE)) {
            (AdvertisedRate::PerSecond(rate), Some(bearable)) => {
                AdvertisedRate::PerSecond(rate.min(bearable))
            }
            (_, Some(bearable)) => AdvertisedRate::PerSecond(bearable),
            (rate, None) => rate,
        }
    }
}

/// The back-off that an endpoint requests in a refusal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackoffRequest {
    /// No back-off.
    #[default]
    Absent,
    /// A back-off of this duration.
    For(Duration),
    /// A back-off whose duration can't be parsed.
    Unreadable,
}

/// The request rate that an endpoint advertises in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AdvertisedRate {
    /// No rate, so that requests are not limited.
    #[default]
    Absent,
    /// Requests per second from all entries combined, not negative.
    PerSecond(f64),
    /// A value that can't be parsed; the known limit is kept.
    Invalid,
}

/// Load that an endpoint reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of calls that it works on.
    pub running: u32,
    /// Number of calls in its queue.
    pub waiting: u32,
    /// Current duration of work at the endpoint, in hundredths of the usual one; `None` if
    /// it is not reported.
    pub pace_percent: Option<u32>,
}

/// Location of the result of a piece, in the form that endpoints exchange.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ResultHandle(pub Arc<str>);

impl ResultHandle {
    /// Address of the endpoint that holds the result; `None` if the handle can't be parsed.
    pub fn holder(&self) -> Option<SocketAddr> {
        let (address, _) = self.0.split_once('/')?;
        address.parse().ok()
    }
}

/// One piece of a call.
#[derive(Clone, Debug)]
pub struct PieceRequest<'a> {
    /// Identity of the request.
    pub request_id: &'a str,
    /// Number of the stage.
    pub stage: u32,
    /// Number of the piece within its stage.
    pub piece: u32,
    /// Time after which the result of the piece is not needed any more.
    pub remaining: Duration,
    /// Input of the piece.
    pub source: &'a PieceSource,
}

/// Input of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceSource {
    /// The request's own key, for stages that use no other stage's results.
    Key(Arc<str>),
    /// All results of the preceding stages.
    Inputs(Arc<[ResultHandle]>),
}

/// How the endpoint ended a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceOutcome {
    /// The piece is done; this is its result.
    Made(ResultHandle),
    /// Its time was over before the endpoint began it.
    Late,
    /// One of its inputs is no longer available.
    InputGone,
    /// The endpoint has no capacity for its result.
    NoRoom,
    /// The endpoint failed to execute it.
    Failed,
}
