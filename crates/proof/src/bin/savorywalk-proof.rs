//! Runs the fault scripts against real daemon processes and checks every
//! promise over the history they make.

use std::path::PathBuf;
use std::process::ExitCode;

use arguments::{SavorywalkProof, SavorywalkProofCmd};
use savorywalk_proof::{FaultScript, ProofPlan, run_proof};
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

#[tokio::main]
async fn main() -> Result<ExitCode, Box<dyn std::error::Error>> {
    savorywalk::telemetry::init_logging("error");
    let arguments = SavorywalkProof::from_env_or_exit();
    let deployment = Deployment::Roadside;
    let requests = arguments.requests.unwrap_or(DEFAULT_REQUESTS);
    let endpoints = deployment.plan().endpoints.len();
    let script = match arguments.subcommand {
        SavorywalkProofCmd::Calm(_) => FaultScript::none(),
        SavorywalkProofCmd::RollingRestart(_) => FaultScript::rolling_restart(ENTRIES, requests),
        SavorywalkProofCmd::Pairs(pairs) => {
            let seed = pairs.seed.unwrap_or(1);
            let count = pairs.count.unwrap_or(DEFAULT_PAIRS);
            FaultScript::pairs(seed, ENTRIES, endpoints, requests, count)
        }
    };
    let folder = tempfile::tempdir()?;
    let program = arguments.program;
    let plan = ProofPlan {
        program: program.unwrap_or_else(|| PathBuf::from("target/debug/savorywalk")),
        folder: folder.path().to_path_buf(),
        deployment,
        entries: ENTRIES,
        requests,
        callers: arguments.callers.unwrap_or(DEFAULT_CALLERS),
        script,
    };
    let report = run_proof(plan).await?;
    println!("{report}");
    Ok(match report.is_sound() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}
