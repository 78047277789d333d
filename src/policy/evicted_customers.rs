//! What is kept of customers whose entries were evicted for others: how many units their buckets lacked. A customer that
//! comes again after its eviction gets no full bucket by it.

use crate::policy_api::{CustomerId, Millis};

/// Number of evicted customers in one set of the table. A customer is found in one set only.
const SET_SIZE: usize = 4;
/// Multiplier of Fibonacci hashing: 2^64 divided by the golden ratio.
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// What is kept of one evicted customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct EvictedCustomer {
    /// Units that its token bucket lacked.
    pub missing_units: f32,
    /// Units that its share of the hard ceiling held.
    pub ceiling_units: f32,
    /// Time up to which both are computed, ms.
    pub refilled_at: Millis,
}

/// An evicted customer with its number.
type Record = Option<(CustomerId, EvictedCustomer)>;

/// The customers that were evicted last, as far as they fit. Of each set the one evicted longest ago is replaced first.
pub(super) struct EvictedCustomers {
    /// Empty until a customer is evicted.
    sets: Vec<[Record; SET_SIZE]>,
    set_count: usize,
}

impl EvictedCustomers {
    /// A table of about `limit` customers.
    pub(super) fn new(limit: usize) -> EvictedCustomers {
        EvictedCustomers {
            sets: Vec::new(),
            set_count: limit.div_ceil(SET_SIZE).max(1),
        }
    }

    /// Records the eviction of a customer.
    pub(super) fn record(&mut self, customer: CustomerId, evicted: EvictedCustomer) {
        if self.sets.is_empty() {
            self.sets.resize(self.set_count, [None; SET_SIZE]);
        }
        let set = self.set_of(customer);
        let age_order = |record: &Record| match record {
            Some((known, _)) if *known == customer => f64::NEG_INFINITY,
            Some((_, evicted)) => evicted.refilled_at,
            None => f64::NEG_INFINITY,
        };
        let records = &mut self.sets[set];
        let replaced = records
            .iter_mut()
            .min_by(|a, b| age_order(a).total_cmp(&age_order(b)));
        if let Some(record) = replaced {
            *record = Some((customer, evicted));
        }
    }

    /// Removes and returns what is kept of a customer.
    pub(super) fn take(&mut self, customer: CustomerId) -> Option<EvictedCustomer> {
        let set = self.set_of(customer);
        let record = self
            .sets
            .get_mut(set)?
            .iter_mut()
            .find(|record| record.is_some_and(|(known, _)| known == customer))?;
        record.take().map(|(_, evicted)| evicted)
    }

    fn set_of(&self, customer: CustomerId) -> usize {
        let hash = customer.0.wrapping_mul(HASH_MULTIPLIER) >> 32;
        hash as usize % self.set_count
    }
}
