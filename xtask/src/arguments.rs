#![allow(missing_docs, unreachable_pub, reason = "the macro writes these items")]

xflags::xflags! {
    /// Routine jobs of the developers.
    cmd xtask {
        /// Runs every test. Passes over just those that KNOWN-RED.txt lists, prints
        /// them, and fails where one of them passes.
        cmd test {}
        /// Writes the code and the settings page generated from schema/*.proto.
        cmd generate {}
        /// Fails when a committed generated file differs from the schema's.
        cmd check {}
        /// Fails when a link in the pages, or a page named in the sources, leads nowhere.
        cmd check-links {}
        /// Fails when a cell of docs/FAULTS.md names a test that is not in the sources.
        cmd check-faults {}
        /// Recomputes the tables of docs/CAPACITY.md from the recorded slopes.
        cmd capacity {
            /// Writes nothing; fails when the page differs.
            optional --check
        }
    }
}
