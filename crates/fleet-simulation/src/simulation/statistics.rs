//! The sums of a run: worth by second, and at the end the work that was of use and that which was wasted.

use super::attempts::CallOrigin;
use super::clients::ClientRequest;
use super::Simulation;
use crate::statistics::{FirstAttempts, RunStatistics, SecondWorth};

impl Simulation {
    pub(super) fn current_second(&mut self) -> &mut SecondWorth {
        let second = (self.now / 1000.0) as usize;
        if self.statistics.worth_by_second.len() <= second {
            self.statistics
                .worth_by_second
                .resize(second + 1, SecondWorth::default());
            self.statistics
                .first_attempts_by_second
                .resize(second + 1, FirstAttempts::default());
        }
        &mut self.statistics.worth_by_second[second]
    }

    pub(super) fn into_tally(mut self) -> RunStatistics {
        if let Some(clients) = &self.clients {
            self.statistics.quota_account = clients.account.clone();
        }
        for asked in &self.requests {
            let mut done = 0.0;
            for call in &asked.calls {
                done += self.calls[*call].done;
            }
            self.statistics.work += done;
            // One good answer in time is worth one run of the work at each backend on its way; the rest is waste.
            let useful = if asked.served_in_time {
                self.useful(asked)
            } else {
                0.0
            };
            self.statistics.wasted_work += done - useful;
            self.statistics.failed_first_attempts +=
                u64::from(asked.first_attempt_succeeded == Some(false));
        }
        self.statistics
    }

    /// Work on the way to the first attempt that came to its end: its own and what it called.
    fn useful(&self, asked: &ClientRequest) -> f64 {
        let best = asked
            .calls
            .iter()
            .filter(|call| self.calls[**call].origin.gateway().is_some());
        let chain = |call: usize| -> f64 {
            let mut sum = self.calls[call].done;
            let mut above = call;
            while let Some(below) = asked
                .calls
                .iter()
                .find(|c| self.calls[**c].origin == (CallOrigin::Backend { call: above }))
            {
                sum += self.calls[*below].done;
                above = *below;
            }
            sum
        };
        best.map(|call| chain(*call)).fold(0.0, f64::max)
    }
}
