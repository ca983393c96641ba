/// Numbers of appointments by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CalendarCounts {
    /// Appointments made.
    pub made: u64,
    /// Appointments whose callers returned when they were due.
    pub kept: u64,
    /// Returns before the appointment; it stays in force.
    pub early: u64,
    /// Appointments whose callers did not return in time.
    pub missed: u64,
    /// Refused plans for which no room was found.
    pub no_room: u64,
    /// Refused plans that would end after their deadline at any return.
    pub hopeless: u64,
}

impl CalendarCounts {
    /// The counts with the names that they have in metrics.
    pub const fn by_name(&self) -> [(&'static str, u64); 6] {
        [
            ("made", self.made),
            ("kept", self.kept),
            ("early", self.early),
            ("missed", self.missed),
            ("no_room", self.no_room),
            ("hopeless", self.hopeless),
        ]
    }
}
