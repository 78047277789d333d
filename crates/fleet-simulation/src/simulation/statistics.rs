//! Collection of a run's statistics: sums by second during the run, and useful and wasted work at its end.

use super::attempts::CallOrigin;
use super::clients::ClientRequest;
use super::Simulation;
use crate::statistics::{FirstAttempts, RunStatistics, WeightSums};

impl Simulation {
    /// Returns the index of the current second and extends the sums by second up to it.
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

    /// Computes the totals at the end of a run and returns the statistics.
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
            // Of a request that is served in time, the work of one call at each tier is useful; all other work is
            // wasted.
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

    /// Returns the maximum work of any attempt of a request, including the calls that backends made for the attempt.
    fn useful_work(&self, request: &ClientRequest) -> f64 {
        let mut greatest: f64 = 0.0;
        for call in &request.calls {
            if self.calls[*call].origin.gateway().is_some() {
                greatest = greatest.max(self.call_chain_work(request, *call));
            }
        }
        greatest
    }

    /// Returns the work done for a call and for the chain of calls that backends made as part of it.
    fn call_chain_work(&self, request: &ClientRequest, call: usize) -> f64 {
        let mut sum = self.calls[call].completed_work;
        let mut parent = call;
        while let Some(child) = self.child_call(request, parent) {
            sum += self.calls[child].completed_work;
            parent = child;
        }
        sum
    }

    /// Returns the call that a backend made to the next tier as part of the call `parent`, if any.
    fn child_call(&self, request: &ClientRequest, parent: usize) -> Option<usize> {
        let origin = CallOrigin::Backend { parent };
        let mut calls = request.calls.iter().copied();
        calls.find(|call| self.calls[*call].origin == origin)
    }
}
