#![allow(missing_docs, unreachable_pub, reason = "the macro writes these items")]

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Serves multi-stage model pipelines to many workspaces under one deadline.
    ///
    /// Try `savorywalk demo --once` first: it needs no settings. Then write a
    /// settings file, let `savorywalk check` read it, and start it with
    /// `savorywalk serve`.
    ///
    /// EXAMPLES:
    ///     savorywalk demo --once
    ///     savorywalk check --settings samples/roadside/entry-1.ini
    ///     savorywalk serve --settings samples/roadside/entry-1.ini
    ///     savorywalk check --settings -
    ///
    /// EXIT CODES: 0 when all went well, 2 when the arguments, the settings or
    /// the configuration are wrong, 1 for any other failure.
    cmd savorywalk {
        /// Starts a whole deployment in this process, on loopback, with stand-ins
        /// for its endpoints, and sends a request through each pipeline. Prints
        /// answers, times and cost by stage, then serves on until Ctrl-C.
        /// Exits with 0 only when every request was answered whole and in time.
        ///
        /// EXAMPLES:
        ///     savorywalk demo --once
        ///     savorywalk demo --deployment airport
        ///     savorywalk demo --once --fail-pool rerankers
        cmd demo {
            /// Stops after the requests instead of serving on.
            optional --once
            /// Deployment to show: roadside (taken when none is given) or airport.
            optional --deployment name: String
            /// Pool whose stand-ins fail at every request, to see what a caller gets then.
            optional --fail-pool pool: String
        }
        /// Runs a daemon with the roles that its settings name. SIGTERM or Ctrl-C
        /// stops it gracefully: it answers what is in progress, then exits with 0.
        /// The environment variable SAVORYWALK_LOG (error, warn, info, debug,
        /// trace) goes before the level in the settings.
        ///
        /// EXAMPLES:
        ///     savorywalk serve --settings samples/roadside/entry-1.ini
        ///     SAVORYWALK_LOG=debug savorywalk serve --settings entry.ini
        cmd serve {
            /// Settings file, in INI.
            required --settings file: PathBuf
        }
        /// Checks a settings file and the files that it points at, and names every
        /// error with section, key and remedy. Starts nothing. Exits with 0 when
        /// there is no error, 2 when there is one.
        ///
        /// EXAMPLES:
        ///     savorywalk check --settings samples/roadside/entry-1.ini
        ///     savorywalk check --settings -
        cmd check {
            /// Settings file, in INI; `-` lists every key with its meaning.
            required --settings file: PathBuf
        }
        /// Makes the keys and certificates of the links between daemons; see
        /// docs/operators/rotate-keys.md.
        cmd keys {
            /// Makes the deployment's certificate authority in a folder.
            cmd authority {
                /// Folder for its files; keep it off the daemons' VMs.
                required --folder folder: PathBuf
            }
            /// Issues the key and certificate of one daemon.
            cmd issue {
                /// Folder of the authority; the daemon's files go there too.
                required --folder folder: PathBuf
                /// Name of the daemon, as in [node] name.
                required --name name: String
                /// Days for which the certificate is good; 90 by default.
                optional --days days: u32
            }
        }
        /// Reads and changes the configuration of a running deployment.
        ///
        /// EXAMPLES:
        ///     savorywalk config get --entry 127.0.0.1:7111 --token-file operator.token
        ///     savorywalk config patch --file patch.json --version 7 --entry 127.0.0.1:7111 --token-file operator.token
        cmd config {
            /// Prints the configuration in force as JSON, and its version on
            /// standard error.
            cmd get {
                /// Address of an entry's listener for operators.
                required --entry address: SocketAddr
                /// File that holds the operator's token.
                required --token-file file: PathBuf
            }
            /// Sends a JSON Merge Patch for the version that it was written for.
            /// When another change came first, prints what changed since and
            /// exits with 2. A lost answer is asked for again under the same
            /// patch id, so the patch is decided once.
            cmd patch {
                /// File with the patch.
                required --file file: PathBuf
                /// Version that the patch is for.
                required --version version: u64
                /// Patch id; a new one when none is given. Give the id of an
                /// earlier try to learn its outcome.
                optional --id id: String
                /// Address of an entry's listener for operators.
                required --entry address: SocketAddr
                /// File that holds the operator's token.
                required --token-file file: PathBuf
            }
            /// Makes the content of an earlier version the next version.
            cmd rollback {
                /// Version whose content is wanted.
                required --to version: u64
                /// Version in force.
                required --version version: u64
                /// Patch id; a new one when none is given.
                optional --id id: String
                /// Address of an entry's listener for operators.
                required --entry address: SocketAddr
                /// File that holds the operator's token.
                required --token-file file: PathBuf
            }
            /// Prints who changed what, oldest first.
            cmd history {
                /// Only versions after this one.
                optional --after version: u64
                /// Most versions (100 when none is given).
                optional --limit count: u64
                /// Address of an entry's listener for operators.
                required --entry address: SocketAddr
                /// File that holds the operator's token.
                required --token-file file: PathBuf
            }
        }
        /// Prints what logs tell of one request, in order of time, and what each
        /// line means. Logs of several processes may be given, in any order.
        ///
        /// EXAMPLES:
        ///     savorywalk explain --id 9c41d07be2a35f68 --file entry-1.log --file entry-2.log
        cmd explain {
            /// Identity of the request.
            required --id id: String
            /// Log of one process.
            repeated --file file: PathBuf
        }
        /// Prints what an entry and control tell of themselves, as JSON.
        ///
        /// EXAMPLES:
        ///     savorywalk status --entry 127.0.0.1:7111 --token-file operator.token
        cmd status {
            /// Address of an entry's listener for operators.
            required --entry address: SocketAddr
            /// File that holds the operator's token.
            required --token-file file: PathBuf
        }
        /// Prints the audit trail, or verifies its chain of hashes.
        ///
        /// EXAMPLES:
        ///     savorywalk audit --entry 127.0.0.1:7111 --token-file operator.token
        ///     savorywalk audit --verify --entry 127.0.0.1:7111 --token-file operator.token
        cmd audit {
            /// Recomputes the hashes of all records and names the first gap.
            optional --verify
            /// Only records after this one.
            optional --after sequence: u64
            /// Most records (100 when none is given).
            optional --limit count: u64
            /// Address of an entry's listener for operators.
            required --entry address: SocketAddr
            /// File that holds the operator's token.
            required --token-file file: PathBuf
        }
    }
}
