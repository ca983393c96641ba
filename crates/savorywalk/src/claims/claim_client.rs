use super::{
    ClaimAnswer, ClaimDecision, ClaimFinish, ClaimKey, ClaimRelease, ClaimRequest, ClaimStep,
    ControlClaims, LocalClaims,
};
use crate::control::Result;
use crate::prelude::*;

/// The claim that one run asks for or holds.
#[derive(Clone, Debug)]
pub struct ClaimTicket {
    /// Which request.
    pub key: ClaimKey,
    /// SHA-256 of what the request asks for.
    pub digest: Bytes,
    /// Identity of the run, 16 bytes.
    pub run: Bytes,
}

/// How an entry claims requests.
#[derive(Debug)]
pub enum ClaimClient {
    /// In the memory of this process, for an entry without control.
    Local(LocalClaims),
    /// In the replicated log.
    Control(ControlClaims),
}

impl ClaimClient {
    /// Asks for the right to run.
    pub async fn claim(&self, ticket: &ClaimTicket) -> Result<ClaimDecision> {
        let request = ClaimRequest {
            key: Some(ticket.key.clone()),
            digest: ticket.digest.clone(),
            owner: Some(self.owner().clone()),
            run: ticket.run.clone(),
        };
        self.call(ClaimStep::Claim(request)).await
    }

    /// Records the answer of a run.
    pub async fn finish(&self, ticket: &ClaimTicket, answer: ClaimAnswer) -> Result<ClaimDecision> {
        let finish = ClaimFinish {
            key: Some(ticket.key.clone()),
            run: ticket.run.clone(),
            answer: Some(answer),
        };
        self.call(ClaimStep::Finish(finish)).await
    }

    /// Gives a claim back of which no part ran.
    pub async fn release(&self, ticket: &ClaimTicket) -> Result<ClaimDecision> {
        let release = ClaimRelease {
            key: Some(ticket.key.clone()),
            run: ticket.run.clone(),
        };
        self.call(ClaimStep::Release(release)).await
    }

    /// What is known of a key.
    pub async fn look_up(&self, key: &ClaimKey) -> Result<ClaimDecision> {
        match self {
            Self::Local(claims) => claims.look_up(key),
            Self::Control(claims) => claims.look_up(key).await,
        }
    }

    fn owner(&self) -> &super::ClaimOwner {
        match self {
            Self::Local(claims) => claims.owner(),
            Self::Control(claims) => claims.owner(),
        }
    }

    async fn call(&self, step: ClaimStep) -> Result<ClaimDecision> {
        match self {
            Self::Local(claims) => claims.call(step),
            Self::Control(claims) => claims.call(step).await,
        }
    }
}
