//! Answers what voters and other entries ask this process over the links.

use prost::Message;
use tokio::sync::{Semaphore, mpsc};

use super::ControlFollower;
use crate::control::{ControlAnswer, ControlReply, VoterService};
use crate::generated::control_link::control_call::Call;
use crate::generated::control_link::control_response::Response;
use crate::generated::control_link::{ControlCall, ControlResponse, StandingReply};
use crate::prelude::*;
use crate::transport::{CallRefusal, InboundCall};

/// Most calls that are answered at the same time; a further one is refused.
const MAX_CALLS: usize = 4_096;

/// What this process can answer for.
#[derive(Clone, Debug)]
pub(super) struct ControlAnswerer {
    pub(super) voter: Option<Arc<VoterService>>,
    pub(super) follower: Arc<ControlFollower>,
}

/// Answers until the hub closes.
pub(super) async fn run(mut calls: mpsc::Receiver<InboundCall>, answerer: ControlAnswerer) {
    let permits = Arc::new(Semaphore::new(MAX_CALLS));
    while let Some(call) = calls.recv().await {
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            call.reply.refuse(CallRefusal::Busy);
            continue;
        };
        let answerer = answerer.clone();
        tokio::spawn(async move {
            answerer.answer(call).await;
            drop(permit);
        });
    }
}

impl ControlAnswerer {
    async fn answer(&self, call: InboundCall) {
        let Ok(question) = ControlCall::decode(call.payload) else {
            call.reply.refuse(CallRefusal::Malformed);
            return;
        };
        let response = match (&question.call, &self.voter) {
            (Some(Call::Standing(_)), _) => self.standing(),
            (Some(Call::InForce(query)), _) => self.in_force(query.known_version),
            (_, Some(voter)) => voter.answer(question).await,
            (_, None) => response(Response::Unavailable("no voter runs here".into())),
        };
        call.reply.answer(response.encode_to_vec().into());
    }

    fn standing(&self) -> ControlResponse {
        let voter = self.voter.as_ref().map(|voter| voter.standing());
        let entry = Some(self.follower.entry_standing());
        response(Response::Standing(StandingReply { voter, entry }))
    }

    fn in_force(&self, known_version: u64) -> ControlResponse {
        let reply = self.follower.in_force(known_version);
        response(Response::Reply(ControlReply {
            reply: Some(ControlAnswer::Configuration(reply)),
        }))
    }
}

fn response(response: Response) -> ControlResponse {
    ControlResponse {
        response: Some(response),
    }
}
