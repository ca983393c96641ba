use std::sync::{Mutex, MutexGuard, PoisonError};

use prost::Message;
use tokio::time::Instant as TokioInstant;

use super::{
    ConfigurationQuery, ConfigurationReply, ControlAnswer, ControlBody, ControlCommand,
    ControlError, ControlQuery, ControlQuestion, ControlVerdict, Result, VoterPicker, VoterService,
    unexpected,
};
use crate::generated::control_link::control_call::Call;
use crate::generated::control_link::control_response::Response;
use crate::generated::control_link::{ControlCall, ControlResponse, StandingQuery, StandingReply};
use crate::prelude::*;
use crate::transport::{LinkChannel, LinkError, LinkHub, PeerName};

/// Longest wait for one voter's answer; long enough for an election and a disk sync.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for a decision, over all attempts; long enough for a whole election.
const DECISION_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause before the next attempt after a failure, or when a voter knows no leader.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for the answer to a standing query.
const STANDING_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Client of the replicated control log: calls the voters over the links.
///
/// Only the leader decides; another voter answers with the leader's name, if it knows
/// it. A call without an answer is retried, so every command carries an id: a patch its
/// patch id, a claim its run, a lease its owner.
#[derive(Debug)]
pub struct ClusterControl {
    hub: LinkHub,
    picker: Mutex<VoterPicker>,
    local: Option<Arc<VoterService>>,
}

impl ClusterControl {
    /// A client of `voters`; `local` is this process's own voter, if it has one.
    pub fn new(hub: LinkHub, voters: Vec<PeerName>, local: Option<Arc<VoterService>>) -> Self {
        let start = crc32c::crc32c(hub.name().as_str().as_bytes()) as usize;
        Self {
            hub,
            picker: Mutex::new(VoterPicker::new(voters, start)),
            local,
        }
    }

    /// Names of all voters.
    pub fn voters(&self) -> Vec<PeerName> {
        self.picker().voters().to_vec()
    }

    pub(super) async fn propose(&self, body: ControlBody) -> Result<ControlVerdict> {
        let command = ControlCommand {
            stamp_ms: 0,
            body: Some(body),
        };
        let response = self
            .call_leader(Call::Propose(command), DECISION_TIMEOUT)
            .await?;
        let Response::Outcome(outcome) = response else {
            return Err(unexpected(&response));
        };
        let verdict = outcome.outcome;
        verdict.ok_or_else(|| ControlError::UnexpectedAnswer("nothing".into()))
    }

    pub(super) async fn query(&self, question: ControlQuestion) -> Result<ControlAnswer> {
        self.read(question, DECISION_TIMEOUT).await
    }

    async fn read(&self, question: ControlQuestion, timeout: Duration) -> Result<ControlAnswer> {
        let query = ControlQuery {
            query: Some(question),
        };
        let response = self.call_leader(Call::Query(query), timeout).await?;
        let Response::Reply(reply) = response else {
            return Err(unexpected(&response));
        };
        let answer = reply.reply;
        answer.ok_or_else(|| ControlError::UnexpectedAnswer("nothing".into()))
    }

    /// The newest committed configuration version, with its content if it is newer than
    /// `known_version`. Waits up to `timeout`.
    pub async fn newest(
        &self,
        known_version: u64,
        timeout: Duration,
    ) -> Result<ConfigurationReply> {
        let question = ControlQuestion::Configuration(ConfigurationQuery { known_version });
        match self.read(question, timeout).await? {
            ControlAnswer::Configuration(reply) => Ok(reply),
            other => Err(unexpected(&other)),
        }
    }

    /// Asks `peer` which leader its voter knows and which configuration its entry has
    /// confirmed.
    pub async fn standing(&self, peer: &PeerName) -> Result<StandingReply> {
        let call = Call::Standing(StandingQuery {});
        match self.ask(peer, call, STANDING_TIMEOUT).await? {
            Response::Standing(standing) => Ok(standing),
            other => Err(unexpected(&other)),
        }
    }

    /// Calls voters until the leader answers or `timeout` has passed.
    async fn call_leader(&self, call: Call, timeout: Duration) -> Result<Response> {
        let deadline = TokioInstant::now() + timeout;
        let mut last_failure = "no voter is named".to_string();
        while TokioInstant::now() < deadline {
            let Some(voter) = self.picker().pick() else {
                break;
            };
            let remaining = deadline.saturating_duration_since(TokioInstant::now());
            match self
                .ask(&voter, call.clone(), remaining.min(ATTEMPT_TIMEOUT))
                .await
            {
                Ok(Response::NotLeader(hint)) => {
                    self.picker().record_hint(&voter, &hint.leader);
                    last_failure = format!("{voter} does not lead");
                    if hint.leader.is_empty() {
                        tokio::time::sleep(RETRY_PAUSE).await;
                    }
                }
                Ok(Response::Unavailable(reason)) => {
                    self.picker().record_failure(&voter);
                    last_failure = format!("{voter}: {reason}");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
                Ok(response) => {
                    self.picker().record_leader(&voter);
                    return Ok(response);
                }
                Err(error) => {
                    self.picker().record_failure(&voter);
                    last_failure = error.to_string();
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
        Err(ControlError::Unavailable(last_failure))
    }

    /// Calls one process, or this process's own voter without the link.
    pub(crate) async fn ask(
        &self,
        peer: &PeerName,
        call: Call,
        timeout: Duration,
    ) -> Result<Response> {
        let call = ControlCall { call: Some(call) };
        if let Some(local) = self.local.as_ref().filter(|_| peer == self.hub.name()) {
            return match tokio::time::timeout(timeout, local.answer(call)).await {
                Ok(response) => require_response(response),
                Err(_) => Err(ControlError::Unavailable("no majority in time".into())),
            };
        }
        let payload = Bytes::from(call.encode_to_vec());
        let reply = self
            .hub
            .call(peer.as_str(), LinkChannel::Control, payload, timeout);
        let reply = reply.await.map_err(|error| link_error(&error))?;
        require_response(ControlResponse::decode(reply)?)
    }

    fn picker(&self) -> MutexGuard<'_, VoterPicker> {
        self.picker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn require_response(response: ControlResponse) -> Result<Response> {
    let response = response.response;
    response.ok_or_else(|| ControlError::UnexpectedAnswer("nothing".into()))
}

fn link_error(error: &LinkError) -> ControlError {
    ControlError::Unavailable(error.to_string())
}
