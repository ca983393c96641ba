#![allow(missing_docs, unreachable_pub, reason = "the macro writes these items")]

xflags::xflags! {
    /// Measures membership and directory at full size on a virtual clock.
    cmd membership-scale {
        /// Seed of everything random; 1 without it.
        optional --seed seed: u64
        /// Bytes, messages, processor time, memory and staleness by size.
        cmd cost {
            /// Entries that each passes news on to; the default of the cores
            /// without it.
            optional --fan-out count: usize
        }
        /// The same for one size, in a process of its own, so that memory that
        /// another size has given back is not counted.
        cmd size {
            /// Daemons; the target's 350 without it.
            optional --daemons count: usize
            /// Endpoints; the target's 1,100 without it.
            optional --endpoints count: usize
            /// Endpoints that restart each minute; 6 without it.
            optional --changes count: f64
            /// Entries that each passes news on to; the default of the cores
            /// without it.
            optional --fan-out count: usize
        }
        /// Time to agree after a join, a leave and a crash.
        cmd converge {}
        /// Loss, pauses, restarts and the loss of a data centre.
        cmd faults {}
        /// Regions apart, and within one the data centres; membership alone.
        cmd partition {
            /// Virtual seconds apart; an hour without it.
            optional --seconds seconds: u64
        }
    }
}
