//! Customers with quotas, and the account that every attempt of theirs is held to: each customer's true quota, its
//! ceiling, and the use meter, which is late. The decisions of all gateways are judged by these.

mod account;
mod customer;
mod spec;

pub use account::QuotaAccount;
pub use customer::{Customer, METER_PERIOD};
pub use spec::{ClientPopulationSpec, Flood, Interval, Meter, RetryBehavior, UsageShares};

use crate::RandomSource;
use cometspool::{Millis, Plan};
use customer::CustomerFlood;

/// All customers, and what came of their attempts.
pub struct ClientPopulation {
    spec: ClientPopulationSpec,
    plans: Vec<Plan>,
    /// The customers.
    pub customers: Vec<Customer>,
    /// What came of their attempts.
    pub account: QuotaAccount,
}

/// When a customer is next looked at, and whether it sends a request then.
pub struct NextRequest {
    /// When.
    pub at: Millis,
    /// Whether a request is due then; else only the customer's rate changes.
    pub is_request: bool,
}

impl ClientPopulation {
    /// Draws the customers of these plans, spread over `gateways` gateways.
    pub fn new(
        spec: ClientPopulationSpec,
        plans: &[Plan],
        gateways: usize,
        random: &mut RandomSource,
    ) -> ClientPopulation {
        let mut customers = Vec::new();
        for (plan, share) in spec.plan_shares.iter().enumerate() {
            let mut units_per_second = 0.0;
            while units_per_second < share * spec.units_per_second {
                let customer = Customer::draw(&spec, plan, plans, gateways, random);
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

    /// When a customer sends its next request, or when its rate changes before that.
    pub fn next_request(
        &self,
        customer: usize,
        now: Millis,
        random: &mut RandomSource,
    ) -> NextRequest {
        let quota_rate = self.plans[self.customers[customer].plan].rate;
        let current = self.customers[customer].current_rate(now, customer, quota_rate);
        let at = now + random.exponential(1000.0 / current.rate);
        NextRequest {
            at: at.min(current.valid_until),
            is_request: at < current.valid_until,
        }
    }

    /// The gateway that an attempt of a customer comes through.
    pub fn choose_gateway(
        &mut self,
        customer: usize,
        now: Millis,
        random: &mut RandomSource,
    ) -> usize {
        let lifetime = self.spec.weight_lifetime;
        self.customers[customer].choose_gateway(now, lifetime, random)
    }

    /// Accounts for a first attempt: what a single gateway with full knowledge would admit is offered.
    pub fn record_offered(&mut self, customer: usize, now: Millis, worth: f64) {
        let customer = &mut self.customers[customer];
        let plan = &self.plans[customer.plan];
        let within_quota = customer.ideal_quota.refill(now, plan.rate, plan.burst) >= 1.0;
        if within_quota {
            customer.ideal_quota.units -= 1.0;
        }
        let weight = if within_quota {
            1.0
        } else {
            plan.over_quota_weight
        };
        self.account.offered += worth * plan.weight_factor * weight;
    }

    /// Accounts for a request that is forwarded for the first time; returns whether it is within its quota.
    pub fn record_forwarded(&mut self, customer: usize, now: Millis, worth: f64) -> bool {
        let customer = &mut self.customers[customer];
        let plan = &self.plans[customer.plan];
        let below_concurrency_limit =
            plan.max_concurrency == 0 || customer.attempts_in_flight < plan.max_concurrency;
        let within_quota =
            below_concurrency_limit && customer.quota.refill(now, plan.rate, plan.burst) >= 1.0;
        if within_quota {
            customer.quota.units -= 1.0;
            self.account.units_within_quota += 1.0;
        } else {
            self.account.over_quota_cost += plan.over_quota_cost * plan.weight_factor * worth;
            self.account.units_over_quota += 1.0;
        }
        if let Some(ceiling) = plan.ceiling {
            let left = customer.ceiling.refill(now, ceiling.rate, ceiling.burst) - 1.0;
            customer.ceiling.units = left;
            let margin = (left + ceiling.slack) / ceiling.slack;
            self.account.min_ceiling_margin = self.account.min_ceiling_margin.min(margin);
        }
        customer.meter_unit(now);
        within_quota
    }

    /// Accounts for a rejected attempt.
    pub fn record_rejected(&mut self, customer: usize, now: Millis, reason: String) {
        let customer = &mut self.customers[customer];
        let plan = &self.plans[customer.plan];
        let half_unused = customer.quota.refill(now, plan.rate, plan.burst) >= plan.burst / 2.0;
        self.account.rejected_within_quota += u64::from(half_unused);
        *self.account.rejections_by_reason.entry(reason).or_default() += 1;
    }

    /// Accounts for a request that is served in time, by an attempt within its quota or over it.
    pub fn record_served(&mut self, customer: usize, worth: f64, within_quota: bool) {
        let plan = &self.plans[self.customers[customer].plan];
        if within_quota {
            self.account.served += worth * plan.weight_factor;
        } else {
            self.account.served_over_quota += worth * plan.weight_factor * plan.over_quota_weight;
        }
    }

    /// What a response reports of a customer's use, as a fraction of its quota's rate.
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

    /// How clients retry.
    pub fn retry_behavior(&self) -> RetryBehavior {
        self.spec.retries
    }
}
