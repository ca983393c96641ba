#![allow(missing_docs, unreachable_pub, reason = "the macro writes these items")]

use std::path::PathBuf;

xflags::xflags! {
    /// Serves multi-stage model pipelines to many workspaces under one deadline.
    ///
    /// Try `savorywalk demo --once` first: it needs no settings. Then write a
    /// settings file, let `savorywalk check` read it, and start it with
    /// `savorywalk serve`. `savorywalk check --help` lists every setting.
    cmd savorywalk {
        /// Starts a whole deployment in this process, on loopback, with stand-ins
        /// for its endpoints, and sends a request through each pipeline.
        cmd demo {
            /// Stops after the requests; exits with 0 only when every one was
            /// answered whole and in time.
            optional --once
            /// Deployment to show: roadside or airport.
            optional --deployment name: String
        }
        /// Runs a daemon with the roles that its settings name, until SIGTERM.
        cmd serve {
            /// Settings file, in INI.
            required --settings file: PathBuf
        }
        /// Checks a settings file and names every error with its remedy.
        /// `savorywalk check --settings -` lists every key instead.
        cmd check {
            /// Settings file, in INI; `-` lists every key with its meaning.
            required --settings file: PathBuf
        }
    }
}
