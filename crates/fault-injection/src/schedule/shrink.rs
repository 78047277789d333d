//! Reduces a failing schedule to the faults that are needed for it to fail.

use super::{round_to_tenths, Schedule};

/// Reduces a failing schedule to fewer faults that still fail, by delta debugging: tries to remove chunks of the
/// faults, and halves the size of the chunks when no chunk can be removed. Then tries to halve the duration of each
/// remaining fault. `fails` tells whether a candidate still fails.
pub fn shrink(schedule: &Schedule, mut fails: impl FnMut(&Schedule) -> bool) -> Schedule {
    let mut smallest = schedule.clone();
    let mut chunk_size = smallest.faults.len().div_ceil(2);
    while chunk_size > 0 {
        let mut start = 0;
        let mut removed_any = false;
        while start < smallest.faults.len() {
            let mut candidate = smallest.clone();
            let end = (start + chunk_size).min(smallest.faults.len());
            candidate.faults.drain(start..end);
            if fails(&candidate) {
                smallest = candidate;
                removed_any = true;
            } else {
                start += chunk_size;
            }
        }
        if !removed_any {
            chunk_size /= 2;
        }
        chunk_size = chunk_size.min(smallest.faults.len());
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
