#![allow(missing_docs, unreachable_pub, reason = "the macro writes these items")]

xflags::xflags! {
    /// Routine jobs of the developers.
    cmd xtask {
        /// Writes the code generated from schema/*.proto.
        cmd generate {}
        /// Fails when the committed generated code differs from the schema's.
        cmd check {}
    }
}
