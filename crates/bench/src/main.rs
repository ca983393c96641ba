//! Load driver and slope measurements.

fn main() {}
