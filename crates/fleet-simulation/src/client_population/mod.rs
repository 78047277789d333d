//! Model of customers with quotas. For each customer, the model keeps the true state of its quota and ceiling, which no
//! single gateway sees, and the figures of the usage meter, which gateways receive with a delay. [`QuotaAccount`]
//! measures the decisions of all gateways against the true state.

mod account;
mod customer;
mod spec;

pub use account::QuotaAccount;
pub use customer::{Customer, METER_PERIOD};
pub use spec::{ClientPopulationSpec, Flood, Interval, Meter, RetryBehavior, UsageShares};

use crate::RandomSource;
use cometspool::{Millis, Plan};
use customer::CustomerFlood;

/// All customers of a run, with the totals of their requests.
pub struct ClientPopulation {
    spec: ClientPopulationSpec,
    plans: Vec<Plan>,
    /// The customers, by index.
    pub customers: Vec<Customer>,
    /// Totals over the requests of all customers.
    pub account: QuotaAccount,
}

/// The next event of a customer.
pub struct NextRequest {
    /// Simulated time at which the event is due, ms.
    pub at: Millis,
    /// Whether the customer sends a request at that time; otherwise only its request rate changes.
    pub is_request: bool,
}

impl ClientPopulation {
    /// Draws the customers of all plans, in a fleet of `gateway_count` gateways.
    pub fn new(
        spec: ClientPopulationSpec,
        plans: &[Plan],
        gateway_count: usize,
        random: &mut RandomSource,
    ) -> ClientPopulation {
        let mut customers = Vec::new();
        for (plan, share) in spec.plan_shares.iter().enumerate() {
            let mut units_per_second = 0.0;
            while units_per_second < share * spec.units_per_second {
                let customer = Customer::draw(&spec, plan, plans, gateway_count, random);
                units_per_second += customer.usage_within_quota() * plans[plan].rate;
                customers.push(customer);
            }
        }
        if let Some(flood) = spec.flood {
            let first = customers
                .iter_mut()
                .find(|customer| customer.plan == flood.plan);
            if let Some(customer) = first {
                customer.flood = Some(CustomerFlood {
                    units_per_second: flood.share * spec.units_per_second,
                    from: flood.from,
                    until: flood.until,
                });
            }
        }
        let account = QuotaAccount {
            min_ceiling_margin: f64::INFINITY,
            ..QuotaAccount::default()
        };
        ClientPopulation {
            spec,
            plans: plans.to_vec(),
            customers,
            account,
        }
    }

    /// Draws the time of a customer's next request. If the customer's rate changes before that time, returns the time
    /// of the change instead.
    pub fn next_request(
        &self,
        customer: usize,
        now: Millis,
        random: &mut RandomSource,
    ) -> NextRequest {
        let quota_rate = self.plans[self.customers[customer].plan].rate;
        let current = self.customers[customer].current_rate(now, customer, quota_rate);
        let at = now + random.exponential(1000.0 / current.units_per_second);
        NextRequest {
            at: at.min(current.valid_until),
            is_request: at < current.valid_until,
        }
    }

    /// Draws the gateway that a request of a customer is sent to.
    pub fn choose_gateway(
        &mut self,
        customer: usize,
        now: Millis,
        random: &mut RandomSource,
    ) -> usize {
        let lifetime = self.spec.weight_lifetime;
        self.customers[customer].choose_gateway(now, lifetime, random)
    }

    /// Accounts for a client's request; not to be called for retries. The request counts with its full weight if a
    /// single gateway that sees all requests would admit it within quota, and with the plan's over-quota weight
    /// otherwise.
    pub fn record_offered(&mut self, customer: usize, now: Millis, weight: f64) {
        let customer = &mut self.customers[customer];
        let plan = &self.plans[customer.plan];
        let is_within_quota = customer.ideal_quota.refill(now, plan.rate, plan.burst) >= 1.0;
        if is_within_quota {
            customer.ideal_quota.units -= 1.0;
        }
        let weight_fraction = if is_within_quota {
            1.0
        } else {
            plan.over_quota_weight
        };
        self.account.offered += weight * plan.weight_factor * weight_fraction;
    }

    /// Accounts for the first attempt that a gateway sends for a request; returns whether it is within the true quota.
    pub fn record_forwarded(&mut self, customer: usize, now: Millis, weight: f64) -> bool {
        let customer = &mut self.customers[customer];
        let plan = &self.plans[customer.plan];
        let below_concurrency_limit =
            plan.max_concurrency == 0 || customer.attempts_in_flight < plan.max_concurrency;
        let is_within_quota =
            below_concurrency_limit && customer.quota.refill(now, plan.rate, plan.burst) >= 1.0;
        if is_within_quota {
            customer.quota.units -= 1.0;
            self.account.units_within_quota += 1.0;
        } else {
            self.account.over_quota_cost += plan.over_quota_cost * plan.weight_factor * weight;
            self.account.units_over_quota += 1.0;
        }
        if let Some(ceiling) = plan.ceiling {
            let units_left = customer.ceiling.refill(now, ceiling.rate, ceiling.burst) - 1.0;
            customer.ceiling.units = units_left;
            let margin = (units_left + ceiling.slack) / ceiling.slack;
            self.account.min_ceiling_margin = self.account.min_ceiling_margin.min(margin);
        }
        customer.meter_unit(now);
        is_within_quota
    }

    /// Accounts for a request that a gateway rejected.
    pub fn record_rejected(&mut self, customer: usize, now: Millis, reason: String) {
        let customer = &mut self.customers[customer];
        let plan = &self.plans[customer.plan];
        let half_unused = customer.quota.refill(now, plan.rate, plan.burst) >= plan.burst / 2.0;
        self.account.rejected_within_quota += u64::from(half_unused);
        *self.account.rejections_by_reason.entry(reason).or_default() += 1;
    }

    /// Accounts for a request that was served in time, within its quota or over it.
    pub fn record_served(&mut self, customer: usize, weight: f64, is_within_quota: bool) {
        let plan = &self.plans[self.customers[customer].plan];
        if is_within_quota {
            self.account.served += weight * plan.weight_factor;
        } else {
            self.account.served_over_quota += weight * plan.weight_factor * plan.over_quota_weight;
        }
    }

    /// Returns the usage that a response reports, as a fraction of the quota's rate; `None` if the meter reports
    /// nothing.
    pub fn reported_usage(
        &self,
        customer: usize,
        now: Millis,
        random: &mut RandomSource,
    ) -> Option<f64> {
        let customer = &self.customers[customer];
        let Interval { least, most } = self.spec.meter_delay;
        let measured_at = now - least - (most - least) * random.uniform();
        let period = (measured_at / METER_PERIOD).floor() - 1.0;
        if period < 0.0 || self.spec.meter == Meter::Silent {
            return None;
        }
        let units = customer.metered_units(period as u64);
        let usage = units / (self.plans[customer.plan].rate * METER_PERIOD / 1000.0);
        Some(match self.spec.meter {
            Meter::Nonsense => [f64::NAN, -usage, 1000.0 * usage][random.below(3)],
            Meter::Accurate | Meter::Silent => usage,
        })
    }

    /// Returns how clients retry rejected requests.
    pub fn retry_behavior(&self) -> RetryBehavior {
        self.spec.retries
    }
}
