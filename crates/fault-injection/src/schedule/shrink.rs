//! Reduces a failing schedule to the faults that matter.

use super::{round_to_tenths, Schedule};

/// Reduces a failing schedule to fewer faults that still fail, by delta debugging: parts of its faults are left out, ever
/// smaller ones, for as long as the rest fails. Then the faults that are left are made shorter.
pub fn shrink(schedule: &Schedule, mut fails: impl FnMut(&Schedule) -> bool) -> Schedule {
    let mut smallest = schedule.clone();
    let mut part = smallest.faults.len().div_ceil(2);
    while part > 0 {
        let mut start = 0;
        let mut removed_any = false;
        while start < smallest.faults.len() {
            let mut candidate = smallest.clone();
            let end = (start + part).min(smallest.faults.len());
            candidate.faults.drain(start..end);
            if fails(&candidate) {
                smallest = candidate;
                removed_any = true;
            } else {
                start += part;
            }
        }
        if !removed_any {
            part /= 2;
        }
        part = part.min(smallest.faults.len());
    }
    for index in 0..smallest.faults.len() {
        let mut candidate = smallest.clone();
        let Some(duration) = &mut candidate.faults[index].duration_s else {
            continue;
        };
        *duration = round_to_tenths(*duration / 2.0);
        if fails(&candidate) {
            smallest = candidate;
        }
    }
    smallest
}
