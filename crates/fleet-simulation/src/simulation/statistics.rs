//! The statistics of a run: sums by second, and at the end useful and wasted work.

use super::attempts::CallOrigin;
use super::clients::ClientRequest;
use super::Simulation;
use crate::statistics::{FirstAttempts, RunStatistics, WeightSums};

impl Simulation {
    /// The index of the current second, to which the sums by second are extended.
    pub(super) fn current_second(&mut self) -> usize {
        let second = (self.now / 1000.0) as usize;
        if self.statistics.weight_by_second.len() <= second {
            self.statistics
                .weight_by_second
                .resize(second + 1, WeightSums::default());
            self.statistics
                .first_attempts_by_second
                .resize(second + 1, FirstAttempts::default());
        }
        second
    }

    /// Completes the statistics at the end of a run.
    pub(super) fn into_statistics(mut self) -> RunStatistics {
        if let Some(clients) = &self.clients {
            self.statistics.quota_account = clients.account.clone();
        }
        for request in &self.requests {
            let mut completed_work = 0.0;
            for call in &request.calls {
                completed_work += self.calls[*call].completed_work;
            }
            self.statistics.work += completed_work;
            // A request served in time justifies the work of one call at each tier; the rest is waste.
            let useful_work = if request.is_served_in_time {
                self.useful_work(request)
            } else {
                0.0
            };
            self.statistics.wasted_work += completed_work - useful_work;
            self.statistics.failed_first_attempts +=
                u64::from(request.first_attempt_succeeded == Some(false));
        }
        self.statistics
    }

    /// The greatest work of any attempt of a request, calls below it included.
    fn useful_work(&self, request: &ClientRequest) -> f64 {
        let mut greatest: f64 = 0.0;
        for call in &request.calls {
            if self.calls[*call].origin.gateway().is_some() {
                greatest = greatest.max(self.work_of_chain(request, *call));
            }
        }
        greatest
    }

    /// Work done for a call, for the call that its backend made, and so on.
    fn work_of_chain(&self, request: &ClientRequest, call: usize) -> f64 {
        let mut sum = self.calls[call].completed_work;
        let mut parent = call;
        while let Some(child) = self.child_call(request, parent) {
            sum += self.calls[child].completed_work;
            parent = child;
        }
        sum
    }

    /// The call that a backend made as part of this one, if any.
    fn child_call(&self, request: &ClientRequest, parent: usize) -> Option<usize> {
        let origin = CallOrigin::Backend { parent };
        let mut calls = request.calls.iter().copied();
        calls.find(|call| self.calls[*call].origin == origin)
    }
}
