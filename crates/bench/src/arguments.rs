#![allow(missing_docs, unreachable_pub, reason = "the macro writes these items")]

use std::path::PathBuf;

xflags::xflags! {
    /// Measures savorywalk on one machine with stand-ins; see docs/design/measuring.md.
    cmd savorywalk-bench {
        /// Added time and processor time per request, beside direct calls and a
        /// bare forwarding loop.
        cmd overhead {
            /// Seconds for each side of each measurement; 3 without it.
            optional --seconds seconds: f64
            /// Seed of arrivals and sizes; 1 without it.
            optional --seed seed: u64
            /// Folder for the JSON report.
            optional --out folder: PathBuf
        }
        /// Share of requests answered whole and in time, and cost by stage, for
        /// each routing, load and fault.
        cmd attainment {
            /// Loads in percent of the capacity, separated by commas; 50,80,95,120,200 without it.
            optional --loads loads: String
            /// Routings, separated by commas; adaptive,round_robin,least_outstanding without it.
            optional --routing routings: String
            /// Faults of one engine, separated by commas: none, slow, silent, silent_connections, die; none without it.
            optional --faults faults: String
            /// Capacity in requests a second; measured without it.
            optional --capacity rate: f64
            /// Bursts: for a fifth of each second the rate is multiplied by this; 1 without it.
            optional --burst factor: f64
            /// Seconds measured in each run; 6 without it.
            optional --seconds seconds: f64
            /// Seed of arrivals and sizes; 1 without it.
            optional --seed seed: u64
            /// Folder for the JSON report and the plots.
            optional --out folder: PathBuf
        }
        /// What the other workspaces lose when one sends ten times its share.
        cmd fairness {
            /// Capacity in requests a second; measured without it.
            optional --capacity rate: f64
            /// Seconds measured in each run; 6 without it.
            optional --seconds seconds: f64
            /// Seed of arrivals and sizes; 1 without it.
            optional --seed seed: u64
            /// Folder for the JSON report.
            optional --out folder: PathBuf
        }
        /// What logs of gateways tell of their decisions, by windows of time.
        cmd decisions {
            /// Seconds of a window; 2 without it.
            optional --window seconds: f64
            /// A log; several may be given.
            repeated --file file: PathBuf
        }
        /// What links between daemons carry and cost, on loopback.
        cmd links {
            /// Seconds for each measurement; 4 without it.
            optional --seconds seconds: f64
        }
    }
}
