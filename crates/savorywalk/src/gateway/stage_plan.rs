use futures::StreamExt;
use futures::stream::FuturesUnordered;

use super::gateway_node::{GatewayNode, GatewayView};
use super::piece_board::BoardKey;
use super::request_context::RequestContext;
use super::stage_order::{MadeStage, StageOrder, StageStop};
use super::stage_progress::{LARGE_RESULT_BYTES, StageProgress, StageStart};
use super::{NotRunReason, PieceSource, ResultHandle, StageForecast};
use crate::prelude::*;

/// Results of a request's stages, given up when this is dropped.
#[derive(Debug)]
pub(super) struct StageResults {
    node: Arc<GatewayNode>,
    progress: StageProgress,
    /// Where each result was gathered.
    keys: FastMap<ResultHandle, BoardKey>,
    /// When each stage was done, in milliseconds after the first began.
    done_ms: Vec<u64>,
}

impl Drop for StageResults {
    fn drop(&mut self) {
        let handles = self.progress.give_all_up();
        self.release(handles);
    }
}

impl StageResults {
    fn release(&self, handles: Vec<ResultHandle>) {
        for handle in handles {
            if let Some(key) = self.keys.get(&handle) {
                self.node.releases.release(key.clone(), handle);
            }
        }
    }

    /// When each stage was done, in milliseconds after the first began.
    pub(super) fn done_ms(&self) -> &[u64] {
        &self.done_ms
    }

    /// Results of the stages that no other one needs, for the endpoint that
    /// runs the request.
    pub(super) fn last(&self) -> Vec<ResultHandle> {
        self.progress.last_results()
    }
}

/// Has all stages of a request worked on, each as soon as its inputs are there;
/// `near` is the data centre in which the request will run.
pub(super) async fn run(
    node: &Arc<GatewayNode>,
    context: &RequestContext,
    near: &str,
) -> Result<StageResults, NotRunReason> {
    let mut results = StageResults {
        node: Arc::clone(node),
        progress: StageProgress::new(Arc::clone(&context.route)),
        keys: FastMap::default(),
        done_ms: vec![0; context.route.stages.len()],
    };
    let began = Instant::now();
    let mut running = FuturesUnordered::new();
    loop {
        for start in results.progress.start_ready() {
            running.push(run_stage(node, context, near, start));
        }
        let Some((stage, outcome)) = running.next().await else {
            return match results.progress.is_complete() {
                true => Ok(results),
                false => Err(NotRunReason::StageFailed),
            };
        };
        match outcome {
            Ok(made) => {
                results.done_ms[stage] = began.elapsed().as_millis() as u64;
                let keyed = made
                    .handles
                    .iter()
                    .map(|handle| (handle.clone(), made.key.clone()));
                results.keys.extend(keyed);
                let unneeded = results.progress.finish(stage, made.handles);
                results.release(unneeded);
            }
            Err(StageStop::InputGone) => {
                log_event!(info, "inputs_gone", request = context.id, stage = stage);
                match results.progress.lose_inputs(stage) {
                    Ok(unneeded) => results.release(unneeded),
                    Err(_) => return Err(NotRunReason::StageFailed),
                }
            }
            Err(StageStop::Late) => return Err(NotRunReason::TimeOver),
            Err(StageStop::Overload) => return Err(NotRunReason::Overload),
            Err(StageStop::Failed) => return Err(NotRunReason::StageFailed),
        }
    }
}

async fn run_stage(
    node: &Arc<GatewayNode>,
    context: &RequestContext,
    near: &str,
    start: StageStart,
) -> (usize, Result<MadeStage, StageStop>) {
    let stage = start.stage;
    let pieces = context.head.piece_counts.get(stage).copied().unwrap_or(0);
    if pieces == 0 {
        let nothing = MadeStage {
            key: BoardKey::default(),
            handles: Arc::default(),
        };
        return (stage, Ok(nothing));
    }
    let rule = &context.route.stages[stage];
    let is_large = rule.result_bytes >= LARGE_RESULT_BYTES;
    let view = node.view.load_full();
    let tail = view.table.as_ref().map(|table| {
        let forecast = StageForecast::new(table, &context.route);
        forecast.tail(stage)
    });
    let inputs_lie = start
        .inputs
        .as_ref()
        .and_then(|inputs| heavy_place(&view, context, stage, inputs));
    let wanted = inputs_lie.or_else(|| is_large.then(|| near.to_string()));
    let source = match start.inputs {
        Some(inputs) => PieceSource::Inputs(inputs),
        None => PieceSource::Key(context.head.piece_key.as_str().into()),
    };
    let order = StageOrder {
        request_id: Arc::clone(&context.id),
        stage: stage as u32,
        pool: rule.pool.clone(),
        pieces,
        rank: context.rank,
        due: context.due,
        deadline: context.deadline,
        source,
        result_bytes: rule.result_bytes,
        near: wanted.map(Arc::from),
        tail: tail.unwrap_or_default(),
    };
    (stage, node.exchange.work_on(node, order).await)
}

/// The data centre in which most inputs of a stage lie, when they are heavy:
/// each piece fetches all of them.
fn heavy_place(
    view: &GatewayView,
    context: &RequestContext,
    stage: usize,
    inputs: &[ResultHandle],
) -> Option<String> {
    let stages = &context.route.stages;
    let counts = &context.head.piece_counts;
    let weights = stages[stage].after.iter().map(|input| {
        let pieces = counts.get(*input).copied().unwrap_or(0);
        stages[*input].result_bytes * u64::from(pieces)
    });
    if weights.sum::<u64>() < LARGE_RESULT_BYTES {
        return None;
    }
    let pools: BTreeSet<&str> = stages[stage]
        .after
        .iter()
        .map(|input| stages[*input].pool.as_str())
        .collect();
    let members = || pools.iter().flat_map(|pool| view.roster.pool(pool));
    let mut places: BTreeMap<&str, usize> = BTreeMap::new();
    for keeper in inputs.iter().filter_map(ResultHandle::keeper) {
        let keeper = members().find(|member| member.address() == keeper);
        if let Some(keeper) = keeper {
            *places.entry(keeper.data_center()).or_default() += 1;
        }
    }
    let most = places.into_iter().max_by_key(|(_, count)| *count);
    most.map(|(place, _)| place.to_string())
}
