use std::sync::atomic::AtomicBool;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use super::gateway_node::GatewayNode;
use super::gateway_view::GatewayView;
use super::piece_dispatcher::{DispatcherKey, PieceEnd};
use super::plan_admission::PlanPermit;
use super::plan_progress::{PlanProgress, StageStart};
use super::plan_request::PlanRequest;
use super::plan_results::{PlanFailure, PlanResults};
use super::stage_graph::LARGE_RESULT_BYTES;
use super::work_shard::WorkShard;
use super::{PieceSource, PieceTask, ResultHandle, ReturnTime};
use crate::prelude::*;

/// Suggested wait before a retry after a begun plan failed because endpoint time ran short.
/// This happens when a pool loses endpoints; within seconds, the loss is reported or they are
/// replaced.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Executes all stages of a request, each as soon as its inputs are complete.
pub(super) async fn run(
    node: &Arc<GatewayNode>,
    shard: &WorkShard,
    request: &PlanRequest,
    permit: &PlanPermit,
) -> Result<PlanResults, PlanFailure> {
    let mut plan = RunningPlan {
        node,
        shard,
        request,
        progress: PlanProgress::new(Arc::clone(&request.graph)),
    };
    let began = Instant::now();
    let mut done_ms = vec![0; request.graph.len()];
    let mut running = FuturesUnordered::new();
    loop {
        for start in plan.progress.start_ready() {
            running.push(run_stage(node, shard, request, permit, start));
        }
        let Some((stage, outcome)) = running.next().await else {
            break;
        };
        match outcome {
            Ok(handles) => {
                done_ms[stage] = began.elapsed().as_millis();
                permit.finish_stage(stage);
                plan.finish(stage, handles);
            }
            Err(PlanFailure::InputGone) => plan.recompute_inputs(stage)?,
            Err(failure) => return Err(failure),
        }
    }
    if !plan.progress.is_complete() {
        return Err(PlanFailure::Failed);
    }
    log_event!(
        info,
        "stages_done",
        request = request.request_id,
        shard = shard.name(),
        pieces = format!("{:?}", request.pieces),
        done_ms = format!("{done_ms:?}"),
        ms = began.elapsed().as_millis()
    );
    Ok(plan.take_final_results())
}

/// A plan with its stored results, which are released when this is dropped.
struct RunningPlan<'a> {
    node: &'a Arc<GatewayNode>,
    shard: &'a WorkShard,
    request: &'a PlanRequest,
    progress: PlanProgress,
}

impl Drop for RunningPlan<'_> {
    fn drop(&mut self) {
        let handles = self.progress.release_all();
        self.release(handles);
    }
}

impl RunningPlan<'_> {
    fn release(&self, handles: Vec<ResultHandle>) {
        for handle in handles {
            self.node.releases.release(self.shard.clone(), handle);
        }
    }

    fn finish(&mut self, stage: usize, handles: Arc<[ResultHandle]>) {
        let unneeded = self.progress.finish(stage, handles);
        self.release(unneeded);
    }

    fn recompute_inputs(&mut self, stage: usize) -> Result<(), PlanFailure> {
        let request = &self.request.request_id;
        log_event!(info, "inputs_gone", request = request, stage = stage);
        let unneeded = self.progress.recompute_inputs(stage);
        let unneeded = unneeded.map_err(|_| PlanFailure::Failed)?;
        self.release(unneeded);
        Ok(())
    }

    fn take_final_results(mut self) -> PlanResults {
        let final_results = self.progress.take_final_results();
        PlanResults::new(self.node, self.shard, final_results)
    }
}

async fn run_stage(
    node: &Arc<GatewayNode>,
    shard: &WorkShard,
    request: &PlanRequest,
    permit: &PlanPermit,
    start: StageStart,
) -> (usize, Result<Arc<[ResultHandle]>, PlanFailure>) {
    let stage = start.stage;
    if request.pieces_of(stage) == 0 {
        return (stage, Ok(Arc::default()));
    }
    let view = node.view.load_full();
    let task = build_task(&view, request, permit, start);
    let key = DispatcherKey {
        pool: request.graph.rules()[stage].pool.clone(),
        shard: shard.clone(),
    };
    (
        stage,
        run_pieces(node, &key, task, request.pieces_of(stage)).await,
    )
}

fn build_task(
    view: &GatewayView,
    request: &PlanRequest,
    permit: &PlanPermit,
    start: StageStart,
) -> PieceTask {
    let stage = start.stage;
    let rule = &request.graph.rules()[stage];
    let input_data_center = start
        .inputs
        .as_ref()
        .and_then(|inputs| heavy_input_data_center(view, request, stage, inputs));
    let is_large = request.graph.is_large(stage);
    let preferred_data_center =
        input_data_center.or_else(|| is_large.then(|| Arc::clone(&request.near)));
    let source = match start.inputs {
        Some(inputs) => PieceSource::Inputs(inputs),
        None => PieceSource::Key(Arc::clone(&request.key)),
    };
    PieceTask {
        request_id: Arc::clone(&request.request_id),
        digest: request.digest,
        stage: stage as u32,
        rank: permit.rank(),
        due: permit.due(),
        deadline: request.deadline,
        tail: request.tail + permit.forecast().tail(stage),
        source,
        result_bytes: rule.result_bytes,
        preferred_data_center,
        data_center_filter: request.data_center_filter.clone(),
        is_rerun: request.is_rerun || start.is_rerun,
        needs_retries: request.needs_retries || start.is_rerun,
        abandoned: AtomicBool::new(false),
        begun: AtomicBool::new(false),
        isolated: AtomicBool::new(false),
    }
}

/// Has the pieces of a stage executed, in calls that they share with those of other requests.
async fn run_pieces(
    node: &Arc<GatewayNode>,
    key: &DispatcherKey,
    task: PieceTask,
    pieces: u32,
) -> Result<Arc<[ResultHandle]>, PlanFailure> {
    let mut batch = node.dispatcher(key).submit(task, pieces);
    let mut completed = CompletedPieces {
        node,
        shard: &key.shard,
        handles: BTreeMap::new(),
    };
    while completed.handles.len() < pieces as usize {
        let Some(update) = batch.updates.recv().await else {
            return Err(PlanFailure::Failed);
        };
        match update.end {
            PieceEnd::Made(handle) => drop(completed.handles.insert(update.piece, handle)),
            PieceEnd::Late => return Err(PlanFailure::Late),
            PieceEnd::Overload => {
                let return_time = ReturnTime::After(OVERLOAD_RETRY_AFTER);
                return Err(PlanFailure::begun_overload(return_time));
            }
            PieceEnd::InputGone => return Err(PlanFailure::InputGone),
            PieceEnd::Failed => return Err(PlanFailure::Failed),
        }
    }
    Ok(completed.take())
}

/// Results of a stage that is not complete, released when this is dropped.
struct CompletedPieces<'a> {
    node: &'a GatewayNode,
    shard: &'a WorkShard,
    handles: BTreeMap<u32, ResultHandle>,
}

impl CompletedPieces<'_> {
    fn take(mut self) -> Arc<[ResultHandle]> {
        std::mem::take(&mut self.handles).into_values().collect()
    }
}

impl Drop for CompletedPieces<'_> {
    fn drop(&mut self) {
        for handle in std::mem::take(&mut self.handles).into_values() {
            self.node.releases.release(self.shard.clone(), handle);
        }
    }
}

/// Returns the data centre that stores most inputs of a stage, if the inputs are large
/// together: each piece fetches all of them.
fn heavy_input_data_center(
    view: &GatewayView,
    request: &PlanRequest,
    stage: usize,
    inputs: &[ResultHandle],
) -> Option<Arc<str>> {
    let rules = request.graph.rules();
    let after = &rules[stage].after;
    let weights = after.iter().map(|input| {
        let pieces = request.pieces_of(*input);
        rules[*input].result_bytes * u64::from(pieces)
    });
    if weights.sum::<u64>() < LARGE_RESULT_BYTES {
        return None;
    }
    let pools: BTreeSet<&str> = after
        .iter()
        .map(|input| rules[*input].pool.as_str())
        .collect();
    let members = || pools.iter().flat_map(|pool| view.roster.pool(pool));
    let mut result_counts: BTreeMap<&str, usize> = BTreeMap::new();
    for holder in inputs.iter().filter_map(ResultHandle::holder) {
        let holder = members().find(|member| member.address() == holder);
        if let Some(holder) = holder {
            *result_counts.entry(holder.data_center()).or_default() += 1;
        }
    }
    let largest = result_counts.into_iter().max_by_key(|(_, count)| *count);
    largest.map(|(data_center, _)| data_center.into())
}
