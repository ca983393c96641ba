use super::calendar_counts::CalendarCounts;
use super::pool_outlook::PoolOutlook;
use super::shortage_record::ShortageRecord;
use crate::prelude::*;
use crate::quarantine::RequestDigest;

/// Length of a slot. About one call to an endpoint of a stage pool, so that the plans of a slot
/// fill calls together and still spread over a burst.
const SLOT: Duration = Duration::from_millis(250);

/// Time before an appointment from which on its caller counts as due: clocks of callers and
/// coordinators don't run alike.
const EARLY_MARGIN: Duration = Duration::from_millis(50);

/// Time after an appointment within which its caller counts as due: the refusal and the new
/// request each cross the network, and two shards may be asked.
const LATE_MARGIN: Duration = Duration::from_millis(500);

/// Slots over which the work of one plan may extend: a second, within which the stages of a
/// plan follow each other.
const MAX_SLOTS_PER_PLAN: usize = 4;

/// Maximum number of appointments: more than a shard refuses within the longest delay. An
/// appointment takes some 300 bytes.
const MAX_APPOINTMENTS: usize = 4_096;

/// Endpoint time below which a slot counts as empty, in seconds.
const NEGLIGIBLE_SECONDS: f64 = 1e-9;

/// When a refused plan may return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct ReturnSpan {
    /// First time at which the plan may return.
    pub(in crate::gateway) earliest: Instant,
    /// Last time at which the plan may return.
    pub(in crate::gateway) latest: Instant,
}

/// State of the appointment under a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum ReturnClaim {
    /// The appointment is due.
    Due,
    /// The appointment is later; it stays in force.
    Early,
    /// There is no appointment, or its time is over.
    Absent,
}

/// Endpoint time that is promised to refused plans, by pool and slot of time.
///
/// A plan is promised the first slot in which every pool that it needs has room. Appointments
/// are kept under the digest by which a resent request is recognised. A state machine without
/// I/O; see docs/design/returns.md.
#[derive(Debug, Default)]
pub(in crate::gateway) struct ReturnCalendar {
    /// Start of slot 0.
    epoch: Option<Instant>,
    /// Promised endpoint time in seconds, by pool and slot.
    promised: FastMap<Arc<str>, BTreeMap<u64, f64>>,
    appointments: FastMap<RequestDigest, Appointment>,
    /// Appointments in the order of their times.
    order: BTreeSet<(Instant, RequestDigest)>,
    shortage: ShortageRecord,
    counts: CalendarCounts,
}

#[derive(Debug)]
struct Appointment {
    at: Instant,
    reserved: Vec<SlotWork>,
}

/// Endpoint time in one slot of one pool, in seconds.
#[derive(Clone, Debug, PartialEq)]
struct SlotWork {
    pool: Arc<str>,
    slot: u64,
    seconds: f64,
}

/// Room of one pool in consecutive slots, in seconds of one endpoint.
#[derive(Debug)]
struct SlotRoom<'a> {
    outlook: &'a PoolOutlook,
    first: u64,
    /// Room with nothing promised.
    total: Vec<f64>,
    promised: Vec<f64>,
}

impl SlotRoom<'_> {
    fn free(&self, index: usize) -> f64 {
        (self.total[index] - self.promised[index]).max(0.0)
    }

    /// Room from a slot on, up to what the plan needs. A plan that needs more than a slot has
    /// begins in one in which nothing is promised, and extends into the next ones.
    fn take(&self, index: usize) -> Option<Vec<SlotWork>> {
        let is_empty = self.promised[index] <= NEGLIGIBLE_SECONDS && self.free(index) > 0.0;
        let max_slots = if is_empty { MAX_SLOTS_PER_PLAN } else { 1 };
        let mut missing = self.outlook.work_seconds;
        let mut taken = Vec::new();
        for index in (index..self.total.len()).take(max_slots) {
            let seconds = missing.min(self.free(index));
            taken.push(SlotWork {
                pool: Arc::clone(&self.outlook.pool),
                slot: self.first + index as u64,
                seconds,
            });
            missing -= seconds;
            if missing <= NEGLIGIBLE_SECONDS {
                return Some(taken);
            }
        }
        None
    }

    /// Part of the room of a slot that is promised, from 0 to 1.
    fn promised_share(&self, index: usize) -> f64 {
        let total = self.total[index].max(f64::MIN_POSITIVE);
        (self.promised[index] / total).clamp(0.0, 1.0)
    }
}

impl ReturnCalendar {
    /// Reserves room for a refused plan in the first slot in which all of its pools have it,
    /// and returns the time of its appointment. A plan that has an appointment keeps it.
    ///
    /// `outlooks` has each pool that the plan needs once.
    pub(in crate::gateway) fn reserve(
        &mut self,
        now: Instant,
        digest: RequestDigest,
        span: ReturnSpan,
        outlooks: &[PoolOutlook],
    ) -> Option<Instant> {
        self.shortage.record(now);
        if let Some(appointment) = self.appointments.get(&digest) {
            // One that is over by now was for a return that did not come.
            return Some(appointment.at).filter(|at| *at >= now);
        }
        let found = match self.appointments.len() < MAX_APPOINTMENTS {
            true => self.find(now, span, outlooks),
            false => None,
        };
        let Some((at, reserved)) = found else {
            self.counts.no_room += 1;
            return None;
        };
        for work in &reserved {
            let slots = self.promised.entry(Arc::clone(&work.pool)).or_default();
            *slots.entry(work.slot).or_default() += work.seconds;
        }
        self.order.insert((at, digest));
        self.appointments
            .insert(digest, Appointment { at, reserved });
        self.counts.made += 1;
        Some(at)
    }

    fn find(
        &mut self,
        now: Instant,
        span: ReturnSpan,
        outlooks: &[PoolOutlook],
    ) -> Option<(Instant, Vec<SlotWork>)> {
        let epoch = *self.epoch.get_or_insert(now);
        let first = slot_of(epoch, now);
        let latest = slot_of(epoch, span.latest);
        let last = latest + MAX_SLOTS_PER_PLAN as u64;
        let rooms: Vec<SlotRoom<'_>> = outlooks
            .iter()
            .map(|outlook| self.room(now, outlook, first, last))
            .collect();
        for slot in slot_of(epoch, span.earliest)..=latest {
            let index = (slot - first) as usize;
            let shares = rooms.iter().map(|room| room.promised_share(index));
            let used = shares.fold(0.0, f64::max);
            // Plans of one slot return one after the other, as it fills up.
            let at = slot_start(epoch, slot) + SLOT.mul_f64(used);
            let at = at.max(span.earliest);
            if at > span.latest {
                return None;
            }
            let taken: Option<Vec<Vec<SlotWork>>> =
                rooms.iter().map(|room| room.take(index)).collect();
            if let Some(taken) = taken {
                return Some((at, taken.concat()));
            }
        }
        None
    }

    /// Room of a pool in the slots from `first`, which is the current one, to `last`. The work
    /// that waits takes the first of it.
    fn room<'a>(
        &self,
        now: Instant,
        outlook: &'a PoolOutlook,
        first: u64,
        last: u64,
    ) -> SlotRoom<'a> {
        let epoch = self.epoch.unwrap_or(now);
        let shortage_end = self.shortage.expected_end(now);
        let promised = self.promised.get(&outlook.pool);
        let mut backlog = outlook.backlog_seconds;
        let mut room = SlotRoom {
            outlook,
            first,
            total: Vec::new(),
            promised: Vec::new(),
        };
        for slot in first..=last {
            let start = now + SLOT * (slot - first) as u32;
            let endpoints = outlook.free_endpoints(start < shortage_end);
            let left = match slot == first {
                true => time_left_in_slot(now, epoch, first),
                false => SLOT,
            };
            let seconds = endpoints * left.as_secs_f64();
            let ahead = backlog.min(seconds);
            backlog -= ahead;
            room.total.push(seconds - ahead);
            let promised = promised.and_then(|slots| slots.get(&slot));
            room.promised.push(promised.copied().unwrap_or(0.0));
        }
        room
    }

    /// State of a plan's appointment. One that is due is claimed: its room is given back, and
    /// the plan counts as waiting from then on.
    pub(in crate::gateway) fn claim(&mut self, now: Instant, digest: RequestDigest) -> ReturnClaim {
        self.expire(now);
        let Some(appointment) = self.appointments.get(&digest) else {
            return ReturnClaim::Absent;
        };
        if now + EARLY_MARGIN < appointment.at {
            self.counts.early += 1;
            return ReturnClaim::Early;
        }
        self.remove(digest);
        self.counts.kept += 1;
        ReturnClaim::Due
    }

    /// Gives back the room of appointments whose time is over.
    pub(in crate::gateway) fn expire(&mut self, now: Instant) {
        while let Some((at, digest)) = self.order.first().copied() {
            if now <= at + LATE_MARGIN {
                break;
            }
            self.remove(digest);
            self.counts.missed += 1;
        }
        let Some(epoch) = self.epoch else {
            return;
        };
        let current = slot_of(epoch, now);
        for slots in self.promised.values_mut() {
            while slots
                .first_key_value()
                .is_some_and(|(slot, _)| *slot < current)
            {
                slots.pop_first();
            }
        }
    }

    /// Cancels the appointment of a plan that begins before it.
    pub(in crate::gateway) fn cancel(&mut self, digest: RequestDigest) {
        self.remove(digest);
    }

    fn remove(&mut self, digest: RequestDigest) {
        let Some(appointment) = self.appointments.remove(&digest) else {
            return;
        };
        self.order.remove(&(appointment.at, digest));
        for work in &appointment.reserved {
            let slots = self.promised.get_mut(&work.pool);
            if let Some(seconds) = slots.and_then(|slots| slots.get_mut(&work.slot)) {
                *seconds = (*seconds - work.seconds).max(0.0);
            }
        }
    }

    /// Work of the appointments that are due or will be within a slot, by pool, in seconds of
    /// one endpoint.
    pub(in crate::gateway) fn due_work(&self, now: Instant) -> FastMap<Arc<str>, f64> {
        let mut due: FastMap<Arc<str>, f64> = FastMap::default();
        let soon = self.order.iter().take_while(|(at, _)| *at <= now + SLOT);
        let soon = soon.filter_map(|(_, digest)| self.appointments.get(digest));
        for work in soon.flat_map(|appointment| &appointment.reserved) {
            *due.entry(Arc::clone(&work.pool)).or_default() += work.seconds;
        }
        due
    }

    /// Records a refused plan that would end after its deadline at any return.
    pub(in crate::gateway) fn record_hopeless(&mut self) {
        self.counts.hopeless += 1;
    }

    /// Returns what was counted since the last call.
    pub(in crate::gateway) fn take_counts(&mut self) -> CalendarCounts {
        std::mem::take(&mut self.counts)
    }
}

fn slot_of(epoch: Instant, at: Instant) -> u64 {
    let age = at.saturating_duration_since(epoch);
    (age.as_nanos() / SLOT.as_nanos()) as u64
}

fn time_left_in_slot(now: Instant, epoch: Instant, slot: u64) -> Duration {
    let end = slot_start(epoch, slot) + SLOT;
    end.saturating_duration_since(now)
}

fn slot_start(epoch: Instant, slot: u64) -> Instant {
    epoch + Duration::from_nanos(slot * SLOT.as_nanos() as u64)
}

#[cfg(test)]
#[path = "return_calendar_tests.rs"]
mod tests;
