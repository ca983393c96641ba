//! Runs the fault scripts against real daemon processes and checks every
//! promise over the history they make.

use std::path::PathBuf;
use std::process::ExitCode;

use arguments::{
    Crowds, Prompts, Replacements, Retries, SavorywalkProof, SavorywalkProofCmd, Silence,
};
use savorywalk_proof::{
    CrowdSoakPlan, FaultScript, PromptPlan, ProofPlan, ReplacementPlan, RetryPlan, RetryPlay,
    SilencePlan, SilencePlay, run_crowd_soak, run_prompts, run_proof, run_replacements,
    run_retries, run_silences,
};
use savorywalk_standin::Deployment;

mod arguments {
    #![allow(missing_docs, unreachable_pub, reason = "the macro writes these items")]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Proves the promises on real processes under faults.
        cmd savorywalk-proof {
            /// The `savorywalk` program; default target/debug/savorywalk.
            optional --program file: PathBuf
            /// Requests to send; default 2000.
            optional --requests count: usize
            /// Callers at once; default 32.
            optional --callers count: usize

            /// No fault, to compare with.
            cmd calm {}
            /// Every entry is stopped as planned and started again.
            cmd rolling-restart {}
            /// Faults of all kinds in series that overlap, drawn from seeds, one run a seed.
            cmd soak {
                /// First seed; default 1.
                optional --seed seed: u64
                /// Runs, each with the next seed; default 1.
                optional --runs runs: u64
                /// Entries; default 6.
                optional --entries entries: usize
            }
            /// Gateways and registries before engines that crash under one part of prompts, one run
            /// a seed.
            cmd prompts {
                /// First seed; default 1.
                optional --seed seed: u64
                /// Runs, each with the next seed; default 1.
                optional --runs runs: u64
                /// Gateways; default 6.
                optional --gateways gateways: usize
            }
            /// Gateways and registries before endpoints that count what reaches them beyond the first
            /// send of each request, one run a seed.
            cmd retries {
                /// Play: rejections, one-gateway, inputs-gone, gateways-in-turn, stops-in-turn,
                /// all-gateways, control or series; default series.
                optional --play name: String
                /// First seed; default 1.
                optional --seed seed: u64
                /// Runs, each with the next seed; default 1.
                optional --runs runs: u64
                /// Gateways; default 8.
                optional --gateways gateways: usize
                /// Program of an earlier version for every second gateway.
                optional --earlier-program file: PathBuf
            }
            /// Gateways and registries before engines that fall silent and go on, one run a seed.
            cmd silence {
                /// Play: spent-budget, silent-stages, full-engines, preempted-streams,
                /// stopping-gateway, lost-engine, lost-path, idle-engines, silent-after-head, planned-work
                /// or series; default series.
                optional --play name: String
                /// First seed; default 1.
                optional --seed seed: u64
                /// Seeds, one run each; default 1.
                optional --seeds count: u64
                /// Gateways; default 6.
                optional --gateways gateways: usize
            }
            /// Gateways and registries while control VMs are replaced and endpoints answer without
            /// end, one run a seed.
            cmd replacements {
                /// First seed; default 1.
                optional --seed seed: u64
                /// Runs, each with the next seed; default 1.
                optional --runs runs: u64
                /// Control VMs; default 5.
                optional --registries registries: usize
                /// Gateways; default 6.
                optional --gateways gateways: usize
                /// Control VMs to replace; default 6, 30 at most.
                optional --replacements count: usize
            }
            /// Crowds of clients that keep to no limits beside ordinary callers, while processes are
            /// stopped, killed, frozen and started again, one run a seed.
            cmd crowds {
                /// First seed; default 1.
                optional --seed seed: u64
                /// Runs, each with the next seed; default 1.
                optional --runs runs: u64
                /// Gateways; default 3.
                optional --gateways gateways: usize
                /// Most clients of a crowd; default 200.
                optional --clients clients: usize
            }
            /// Pairs of faults at once, drawn from a seed.
            cmd pairs {
                /// Seed; default 1.
                optional --seed seed: u64
                /// Pairs; default 8.
                optional --count pairs: usize
            }
        }
    }
}

const ENTRIES: usize = 6;
const DEFAULT_REQUESTS: usize = 2_000;
const DEFAULT_CALLERS: usize = 32;
const DEFAULT_PAIRS: usize = 8;

/// Most gateways of a soak, each a process.
const MAX_GATEWAYS: usize = 200;

/// Control VMs of a soak of replacements, and how many of them are replaced.
const DEFAULT_REGISTRIES: usize = 5;
const MAX_REGISTRIES: usize = 15;
const DEFAULT_REPLACEMENTS: usize = 6;
const MAX_REPLACEMENTS: usize = 30;

/// Gateways, control VMs and most clients of a crowd in a soak of crowds.
const CROWD_GATEWAYS: usize = 3;
const CROWD_REGISTRIES: usize = 3;
const CROWD_CLIENTS: usize = 200;

/// Gateways of a soak of retries.
const RETRY_GATEWAYS: usize = 8;

#[tokio::main]
async fn main() -> Result<ExitCode, Box<dyn std::error::Error>> {
    savorywalk::telemetry::init_logging("error");
    let arguments = SavorywalkProof::from_env_or_exit();
    let deployment = Deployment::Roadside;
    let requests = arguments.requests.unwrap_or(DEFAULT_REQUESTS);
    let endpoints = deployment.plan().endpoints.len();
    let callers = arguments.callers.unwrap_or(DEFAULT_CALLERS);
    let program = arguments.program;
    let program = program.unwrap_or_else(|| PathBuf::from("target/debug/savorywalk"));
    let mut entries = ENTRIES;
    let mut first_seed = None;
    let scripts = match arguments.subcommand {
        SavorywalkProofCmd::Calm(_) => vec![FaultScript::none()],
        SavorywalkProofCmd::RollingRestart(_) => {
            vec![FaultScript::rolling_restart(ENTRIES, requests)]
        }
        SavorywalkProofCmd::Soak(soak) => {
            entries = soak.entries.unwrap_or(ENTRIES).max(2);
            let first = soak.seed.unwrap_or(1);
            first_seed = Some(first);
            let seeds = first..first + soak.runs.unwrap_or(1);
            let script = |seed| FaultScript::soak(seed, entries, endpoints, requests);
            seeds.map(script).collect()
        }
        SavorywalkProofCmd::Prompts(prompts) => return soak_prompts(program, &prompts).await,
        SavorywalkProofCmd::Replacements(replacements) => {
            return soak_replacements(program, &replacements).await;
        }
        SavorywalkProofCmd::Crowds(crowds) => return soak_crowds(program, &crowds).await,
        SavorywalkProofCmd::Retries(retries) => return soak_retries(program, &retries).await,
        SavorywalkProofCmd::Silence(silence) => return soak_silence(program, &silence).await,
        SavorywalkProofCmd::Pairs(pairs) => {
            let seed = pairs.seed.unwrap_or(1);
            let count = pairs.count.unwrap_or(DEFAULT_PAIRS);
            vec![FaultScript::pairs(
                seed, ENTRIES, endpoints, requests, count,
            )]
        }
    };
    let mut is_sound = true;
    for (number, script) in scripts.into_iter().enumerate() {
        if let Some(first) = first_seed {
            println!("seed {}", first + number as u64);
        }
        let folder = tempfile::tempdir()?;
        let plan = ProofPlan {
            program: program.clone(),
            folder: folder.path().to_path_buf(),
            deployment,
            entries,
            requests,
            callers,
            script,
        };
        let report = run_proof(plan).await?;
        println!("{report}");
        is_sound &= report.is_sound();
    }
    Ok(match is_sound {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

/// Runs the soak of prompts, one run a seed.
async fn soak_prompts(
    program: PathBuf,
    prompts: &Prompts,
) -> Result<ExitCode, Box<dyn std::error::Error>> {
    let first = prompts.seed.unwrap_or(1);
    let mut is_sound = true;
    for seed in first..first + prompts.runs.unwrap_or(1) {
        let folder = tempfile::tempdir()?;
        let plan = PromptPlan {
            program: program.clone(),
            folder: folder.path().to_path_buf(),
            gateways: prompts.gateways.unwrap_or(ENTRIES).clamp(2, MAX_GATEWAYS),
            seed,
        };
        let report = run_prompts(&plan).await?;
        println!("seed {seed}: {report}");
        if !report.is_sound() {
            println!("seed {seed}: logs are kept in {}", folder.keep().display());
            is_sound = false;
        }
    }
    Ok(match is_sound {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

/// Runs the soak of replacements, one run a seed.
async fn soak_replacements(
    program: PathBuf,
    replacements: &Replacements,
) -> Result<ExitCode, Box<dyn std::error::Error>> {
    let first = replacements.seed.unwrap_or(1);
    let count = replacements.replacements.unwrap_or(DEFAULT_REPLACEMENTS);
    let registries = replacements.registries.unwrap_or(DEFAULT_REGISTRIES);
    let mut is_sound = true;
    for seed in first..first + replacements.runs.unwrap_or(1) {
        let folder = tempfile::tempdir()?;
        let plan = ReplacementPlan {
            program: program.clone(),
            folder: folder.path().to_path_buf(),
            registries: registries.clamp(3, MAX_REGISTRIES),
            gateways: replacements
                .gateways
                .unwrap_or(ENTRIES)
                .clamp(1, MAX_GATEWAYS),
            replacements: count.min(MAX_REPLACEMENTS),
            seed,
        };
        let report = run_replacements(&plan).await?;
        println!("seed {seed}: {report}");
        if !report.is_sound() {
            println!("seed {seed}: logs are kept in {}", folder.keep().display());
            is_sound = false;
        }
    }
    Ok(match is_sound {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

/// Runs the soak of crowds, one run a seed.
async fn soak_crowds(
    program: PathBuf,
    crowds: &Crowds,
) -> Result<ExitCode, Box<dyn std::error::Error>> {
    let first = crowds.seed.unwrap_or(1);
    let gateways = crowds.gateways.unwrap_or(CROWD_GATEWAYS);
    let mut is_sound = true;
    for seed in first..first + crowds.runs.unwrap_or(1) {
        let folder = tempfile::tempdir()?;
        let plan = CrowdSoakPlan {
            program: program.clone(),
            folder: folder.path().to_path_buf(),
            registries: CROWD_REGISTRIES,
            gateways: gateways.clamp(2, MAX_GATEWAYS),
            clients: crowds.clients.unwrap_or(CROWD_CLIENTS).max(1),
            seed,
        };
        let report = run_crowd_soak(&plan).await?;
        println!("seed {seed}: {report}");
        if !report.is_sound() {
            println!("seed {seed}: logs are kept in {}", folder.keep().display());
            is_sound = false;
        }
    }
    Ok(match is_sound {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

/// Runs a play of retries, one run a seed.
async fn soak_retries(
    program: PathBuf,
    retries: &Retries,
) -> Result<ExitCode, Box<dyn std::error::Error>> {
    let name = retries.play.as_deref();
    let name = name.unwrap_or(RetryPlay::Series.name());
    let play = RetryPlay::from_name(name);
    let play = play.ok_or_else(|| format!("no play is named {name}; see --help"))?;
    let gateways = retries.gateways.unwrap_or(RETRY_GATEWAYS);
    let first = retries.seed.unwrap_or(1);
    let mut is_sound = true;
    for seed in first..first + retries.runs.unwrap_or(1) {
        let folder = tempfile::tempdir()?;
        let plan = RetryPlan {
            program: program.clone(),
            earlier_program: retries.earlier_program.clone(),
            folder: folder.path().to_path_buf(),
            gateways: gateways.clamp(2, MAX_GATEWAYS),
            play,
            seed,
        };
        let report = run_retries(&plan).await?;
        println!("{name}, seed {seed}: {report}");
        if !report.is_sound() {
            println!("seed {seed}: logs are kept in {}", folder.keep().display());
            is_sound = false;
        }
    }
    Ok(match is_sound {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

/// Runs a play of silent engines, one run a seed.
async fn soak_silence(
    program: PathBuf,
    silence: &Silence,
) -> Result<ExitCode, Box<dyn std::error::Error>> {
    let name = silence.play.as_deref();
    let name = name.unwrap_or(SilencePlay::Series.name());
    let play = SilencePlay::from_name(name);
    let play = play.ok_or_else(|| format!("no play is named {name}; see --help"))?;
    let first = silence.seed.unwrap_or(1);
    let mut is_sound = true;
    for seed in first..first + silence.seeds.unwrap_or(1) {
        let folder = tempfile::tempdir()?;
        let plan = SilencePlan {
            program: program.clone(),
            folder: folder.path().to_path_buf(),
            gateways: silence.gateways.unwrap_or(ENTRIES).clamp(2, MAX_GATEWAYS),
            play,
            seed,
        };
        let report = run_silences(&plan).await?;
        println!("{name}, seed {seed}: {report}");
        if !report.is_sound() {
            println!("seed {seed}: logs are kept in {}", folder.keep().display());
            is_sound = false;
        }
    }
    Ok(match is_sound {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}
