//! Budget for retries and hedges, with an account for each organisation.

use std::collections::HashMap;

use lentil_core::OrganisationId;

/// Cost of one retry or hedge; all amounts are in thousandths of an attempt.
const ATTEMPT_COST: u32 = 1_000;
/// Amount that a request adds to its organisation's account.
const OWN_CREDIT: u32 = 50;
/// Amount that a request adds to the shared account.
const SHARED_CREDIT: u32 = 50;
/// Maximum balance of an organisation's account.
const OWN_MAX: u32 = 20 * ATTEMPT_COST;
/// Maximum balance of the shared account.
const SHARED_MAX: u32 = 200 * ATTEMPT_COST;
/// Initial balance of the shared account, a loan that the first amounts added to it repay.
const INITIAL_LOAN: u32 = 5 * ATTEMPT_COST;
/// Most organisations with an account; others can only use the shared one.
const ACCOUNTS_MAX: usize = 16_384;

/// Limits retries and hedges together to a tenth of the requests.
///
/// Half of the amount that a request adds goes to its organisation's account and half to the
/// shared one, so the failures of one organisation can't use up the budget of another. The
/// shared account starts with a loan of five attempts. The hundredth request completes its
/// repayment; from then on the attempts never exceed 1.1 times the requests.
#[derive(Debug)]
pub struct RetryBudget {
    own: HashMap<OrganisationId, u32>,
    shared: u32,
    /// Part of the loan that is not repaid yet.
    unpaid_loan: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            own: HashMap::new(),
            shared: INITIAL_LOAN,
            unpaid_loan: INITIAL_LOAN,
        }
    }
}

impl RetryBudget {
    /// Creates a budget that holds only the loan.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the amounts for a request that arrived.
    pub fn earn(&mut self, organisation: &OrganisationId) {
        if self.unpaid_loan > 0 {
            self.unpaid_loan = self.unpaid_loan.saturating_sub(SHARED_CREDIT);
        } else {
            self.shared = (self.shared + SHARED_CREDIT).min(SHARED_MAX);
        }
        let known = self.own.contains_key(organisation);
        if known || self.own.len() < ACCOUNTS_MAX {
            let own = self.own.entry(organisation.clone()).or_default();
            *own = (*own + OWN_CREDIT).min(OWN_MAX);
        }
    }

    /// Pays for one attempt of an organisation, from its own account or else the shared one.
    ///
    /// Returns false if neither has enough.
    pub fn spend(&mut self, organisation: &OrganisationId) -> bool {
        match self.own.get_mut(organisation) {
            Some(own) if *own >= ATTEMPT_COST => {
                *own -= ATTEMPT_COST;
                true
            }
            _ => self.spend_shared(),
        }
    }

    /// Pays for one attempt from the shared account. Returns false if it has too little.
    pub fn spend_shared(&mut self) -> bool {
        if self.shared < ATTEMPT_COST {
            return false;
        }
        self.shared -= ATTEMPT_COST;
        true
    }
}
