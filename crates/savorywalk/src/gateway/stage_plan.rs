use futures::StreamExt;
use futures::stream::FuturesUnordered;

use super::gateway_node::GatewayNode;
use super::piece_board::{self, PieceVerdict};
use super::request_context::RequestContext;
use super::{NotRunReason, PieceSource, PieceTask, ResultHandle};
use crate::prelude::*;

/// How often results that were lost are made again for one request.
const MAX_REMAKES: u32 = 2;

/// Size from which on a result is made in the data centre that needs it: it
/// then takes longer on the way than a request does.
const LARGE_RESULT_BYTES: u64 = 200_000;

/// Results of a request's stages, given up when this is dropped.
#[derive(Debug)]
pub(super) struct StageResults {
    node: Arc<GatewayNode>,
    stages: Vec<Option<Arc<[ResultHandle]>>>,
}

impl Drop for StageResults {
    fn drop(&mut self) {
        for stage in 0..self.stages.len() {
            self.release(stage);
        }
    }
}

impl StageResults {
    fn release(&mut self, stage: usize) {
        let handles = self.stages[stage].take();
        for handle in handles.iter().flat_map(|handles| handles.iter()) {
            self.node.releases.release(handle.clone());
        }
    }

    /// Results of the stages that no other one follows, for the endpoint that
    /// runs the request.
    pub(super) fn last(&self, context: &RequestContext) -> Vec<ResultHandle> {
        let stages = self.stages.iter().enumerate();
        let last = stages.filter(|(stage, _)| context.route.is_last_stage(*stage));
        let handles = last.flat_map(|(_, handles)| handles.iter().flat_map(|held| held.iter()));
        handles.cloned().collect()
    }
}

/// Why the stages of a request came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StageStop {
    InputGone,
    Ended(NotRunReason),
}

/// Has all stages of a request worked on, each as soon as its inputs are there;
/// `near` is the data centre in which the request will run.
pub(super) async fn run(
    node: &Arc<GatewayNode>,
    context: &RequestContext,
    near: &str,
) -> Result<StageResults, NotRunReason> {
    let count = context.route.stages.len();
    let mut results = StageResults {
        node: Arc::clone(node),
        stages: vec![None; count],
    };
    let mut is_started = vec![false; count];
    let mut is_done = vec![false; count];
    let mut running = FuturesUnordered::new();
    let mut remakes = 0;
    loop {
        for stage in 0..count {
            let inputs = &context.route.stages[stage].after;
            if is_started[stage] || !inputs.iter().all(|input| is_done[*input]) {
                continue;
            }
            is_started[stage] = true;
            let source = source_of(context, &results, stage);
            running.push(run_stage(node, context, near, stage, source));
        }
        let Some((stage, outcome)) = running.next().await else {
            return Ok(results);
        };
        match outcome {
            Ok(handles) => {
                results.stages[stage] = Some(handles);
                is_done[stage] = true;
                release_used(context, &mut results, &is_done);
            }
            Err(StageStop::InputGone) if remakes < MAX_REMAKES => {
                remakes += 1;
                log_event!(info, "inputs_gone", request = context.id, stage = stage);
                is_started[stage] = false;
                for input in &context.route.stages[stage].after {
                    results.release(*input);
                    is_started[*input] = false;
                    is_done[*input] = false;
                }
            }
            Err(StageStop::InputGone) => return Err(NotRunReason::StageFailed),
            Err(StageStop::Ended(reason)) => return Err(reason),
        }
    }
}

/// Gives up results that every stage which needs them has taken.
fn release_used(context: &RequestContext, results: &mut StageResults, is_done: &[bool]) {
    let stages = &context.route.stages;
    for stage in 0..stages.len() {
        let mut users = (0..stages.len()).filter(|user| stages[*user].after.contains(&stage));
        let is_used = !context.route.is_last_stage(stage) && users.all(|user| is_done[user]);
        if is_used {
            results.release(stage);
        }
    }
}

/// What the pieces of a stage work on. A stage whose inputs are all left out
/// works on the request's key, like one without inputs.
fn source_of(context: &RequestContext, results: &StageResults, stage: usize) -> PieceSource {
    let inputs = context.route.stages[stage].after.iter();
    let handles = inputs.flat_map(|input| results.stages[*input].iter().flat_map(|held| held.iter()));
    let handles: Vec<ResultHandle> = handles.cloned().collect();
    match handles.is_empty() {
        true => PieceSource::Key(context.head.piece_key.as_str().into()),
        false => PieceSource::Inputs(handles.into()),
    }
}

async fn run_stage(
    node: &Arc<GatewayNode>,
    context: &RequestContext,
    near: &str,
    stage: usize,
    source: PieceSource,
) -> (usize, Result<Arc<[ResultHandle]>, StageStop>) {
    let pieces = context.head.piece_counts.get(stage).copied().unwrap_or(0);
    if pieces == 0 {
        return (stage, Ok(Arc::default()));
    }
    (stage, make_pieces(node, context, near, stage, source, pieces).await)
}

async fn make_pieces(
    node: &Arc<GatewayNode>,
    context: &RequestContext,
    near: &str,
    stage: usize,
    source: PieceSource,
    pieces: u32,
) -> Result<Arc<[ResultHandle]>, StageStop> {
    let rule = &context.route.stages[stage];
    let is_large = rule.result_bytes >= LARGE_RESULT_BYTES;
    let task = PieceTask {
        request_id: Arc::clone(&context.id),
        stage: stage as u32,
        rank: context.rank,
        due: context.due,
        deadline: context.deadline,
        source,
        near: is_large.then(|| near.into()),
        abandoned: piece_board::not_abandoned(),
    };
    let mut batch = node.board(&rule.pool).submit(task, pieces);
    let mut made = MadePieces {
        node,
        handles: BTreeMap::new(),
    };
    while made.handles.len() < pieces as usize {
        let Some(news) = batch.news.recv().await else {
            return Err(StageStop::Ended(NotRunReason::StageFailed));
        };
        match news.verdict {
            PieceVerdict::Made(handle) => drop(made.handles.insert(news.piece, handle)),
            PieceVerdict::Late => return Err(StageStop::Ended(NotRunReason::TimeOver)),
            PieceVerdict::InputGone => return Err(StageStop::InputGone),
            PieceVerdict::Failed => return Err(StageStop::Ended(NotRunReason::StageFailed)),
        }
    }
    Ok(made.take())
}

/// Results of a stage that is not complete; given up when this is dropped.
struct MadePieces<'a> {
    node: &'a GatewayNode,
    handles: BTreeMap<u32, ResultHandle>,
}

impl MadePieces<'_> {
    fn take(mut self) -> Arc<[ResultHandle]> {
        std::mem::take(&mut self.handles).into_values().collect()
    }
}

impl Drop for MadePieces<'_> {
    fn drop(&mut self) {
        for handle in std::mem::take(&mut self.handles).into_values() {
            self.node.releases.release(handle);
        }
    }
}
