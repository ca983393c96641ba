use std::time::Duration;

use savorywalk::configuration::{PipelineConfiguration, StageConfiguration};
use savorywalk_standin::{
    AnnouncementOptions, Deployment, DeploymentPlan, PlannedEndpoint, StandinKind, StandinOptions,
};

use crate::arrival_plan::WeightedName;

/// Times are about a seventh of real ones, so that a run takes seconds: the
/// deadline of 7 s becomes this.
const DEADLINE_MS: u32 = 1_000;
const ENGINE_SLOTS: u32 = 4;
/// Pipelines and how often each is called.
const PIPELINE_WEIGHTS: [(&str, f64); 4] = [
    ("summarise", 3.0),
    ("brief", 2.0),
    ("draft", 4.0),
    ("book-tow", 1.0),
];

/// Announcements of the scaled deployment: seven times as often, and late.
const ANNOUNCEMENT: AnnouncementOptions = AnnouncementOptions {
    interval: Duration::from_millis(150),
    lease: Duration::from_millis(450),
    load_lag: Duration::from_millis(100),
    cache_lag: Duration::from_millis(200),
    cache_gap: 5,
};

/// Pool of the model engines.
pub(crate) const ENGINES: &str = "engines";
/// One pipeline of a single plain service, for the least work per request.
pub(crate) const SINGLE_PIPELINE: &str = "lookup-only";
/// One pipeline of a single long stream.
pub(crate) const STREAM_PIPELINE: &str = "stream-only";
/// Most tokens of that stream.
pub(crate) const STREAM_TOKENS: u32 = 4_096;

/// The roadside deployment with its times scaled to seconds.
pub(crate) fn scaled() -> DeploymentPlan {
    let mut plan = Deployment::Roadside.plan();
    for pipeline in plan.configuration.pipelines.values_mut() {
        pipeline.deadline_ms = DEADLINE_MS;
    }
    for PlannedEndpoint { options } in &mut plan.endpoints {
        options.announcement = ANNOUNCEMENT;
        if options.kind == StandinKind::Engine {
            scale_engine(options);
        }
    }
    plan
}

/// The roadside deployment whose endpoints take no time, with two pipelines of
/// one stage each.
pub(crate) fn instant() -> DeploymentPlan {
    let mut plan = Deployment::Roadside.plan();
    for PlannedEndpoint { options } in &mut plan.endpoints {
        options.base_time = Duration::ZERO;
        options.time_per_kilobyte = Duration::ZERO;
        options.time_per_token = Duration::ZERO;
        options.slots = 64;
    }
    let pipelines = &mut plan.configuration.pipelines;
    let lookup = pipelines["draft"].stages[0].clone();
    let generate = pipelines["draft"].stages[1].clone();
    pipelines.insert(SINGLE_PIPELINE.into(), single(lookup));
    let long = StageConfiguration {
        max_tokens: STREAM_TOKENS,
        ..generate
    };
    pipelines.insert(STREAM_PIPELINE.into(), single(long));
    plan
}

/// Workspaces by their share.
pub(crate) fn workspaces(plan: &DeploymentPlan) -> Vec<WeightedName> {
    let workspaces = plan.configuration.workspaces.iter();
    let weighted = workspaces.map(|(name, workspace)| WeightedName {
        name: name.clone(),
        weight: f64::from(workspace.share.max(1)),
    });
    weighted.collect()
}

/// Pipelines by how often they are called.
pub(crate) fn pipelines() -> Vec<WeightedName> {
    let weighted = PIPELINE_WEIGHTS.map(|(name, weight)| WeightedName {
        name: name.into(),
        weight,
    });
    weighted.to_vec()
}

/// Whether a pipeline has a stage that may run at most once.
pub(crate) fn is_booking(pipeline: &str) -> bool {
    pipeline == "book-tow"
}

/// The deadline of a scaled request.
pub(crate) fn deadline() -> Duration {
    Duration::from_millis(DEADLINE_MS.into())
}

fn scale_engine(options: &mut StandinOptions) {
    options.slots = ENGINE_SLOTS;
    options.base_time = Duration::from_millis(5);
    options.time_per_kilobyte = Duration::from_millis(4);
    options.time_per_token = Duration::from_millis(2);
}

fn single(stage: StageConfiguration) -> PipelineConfiguration {
    PipelineConfiguration {
        deadline_ms: 60_000,
        stages: vec![stage],
    }
}
