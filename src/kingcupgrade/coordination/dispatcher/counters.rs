//! Weighted fair queueing: the service counters that decide which organisation gets the next slot.
//!
//! A counter is the service received, divided by the organisation's share. The backlogged
//! organisation with the lowest counter is served first, which bounds the difference between any
//! two backlogged organisations. Three rules keep that bound:
//!
//! - A request's cost is known only when it ends, so a grant is charged an estimate at once.
//!   Otherwise, one organisation could take every free slot before its first cost is reported.
//! - When an organisation becomes backlogged, its counter is lifted to the current virtual time, so
//!   that it earns no credit while idle.
//! - Service received in other failure domains counts too. Totals and lifts only grow and are
//!   merged by maximum, so lost, duplicated and reordered messages do no harm.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    core::{FailureDomain, Organisation, OrganisationTag},
    protocol::dispatch::ServiceReceived,
};

/// Counter units per unit of cost at a share of 1.
pub const SCALE: i64 = 10_000;
/// Estimated cost of a request before any request of its organisation has ended.
const FIRST_ESTIMATE: u32 = 8;
/// Each new cost moves the estimate by their difference, divided by this.
const ESTIMATE_DIVISOR: i64 = 4;

/// Converts `cost` to counter units for an organisation with `share`.
pub fn charge(cost: u32, share: u32) -> i64 {
    i64::from(cost) * SCALE / i64::from(share.max(1))
}

#[derive(Clone, Debug)]
struct Account {
    share: u32,
    /// Service in this pool that is certain; it only grows.
    served: i64,
    /// Estimates of the grants in use, less what those have already added to `served`.
    pending: i64,
    /// Service received in other failure domains.
    remote: BTreeMap<FailureDomain, i64>,
    /// Total lift received on becoming backlogged; it only grows.
    lift: i64,
    estimate: u32,
    waiting: u32,
}

impl Account {
    fn new(share: u32) -> Account {
        Account {
            share,
            served: 0,
            pending: 0,
            remote: BTreeMap::new(),
            lift: 0,
            estimate: FIRST_ESTIMATE,
            waiting: 0,
        }
    }

    fn counter(&self) -> i64 {
        self.served + self.pending + self.remote.values().sum::<i64>() + self.lift
    }
}

/// The service counters of one pool.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    accounts: BTreeMap<Organisation, Account>,
    /// The organisations by the tags used in messages between failure domains.
    tags: BTreeMap<OrganisationTag, Organisation>,
    /// The backlogged organisations, ordered by counter.
    by_counter: BTreeSet<(i64, Organisation)>,
    /// Organisations whose service changed since it was last sent in an exchange.
    changed: BTreeSet<Organisation>,
    /// Virtual time: the highest counter from which a grant was given; it only grows.
    virtual_time: i64,
}

impl Counters {
    /// Updates one account and its position in the order of backlogged organisations.
    fn update<T>(
        &mut self,
        organisation: &Organisation,
        share: u32,
        change: impl FnOnce(&mut Account) -> T,
    ) -> T {
        let account = self.accounts.entry(organisation.clone()).or_insert_with(|| {
            self.tags.insert(organisation.tag(), organisation.clone());
            Account::new(share)
        });
        if account.waiting > 0 {
            self.by_counter.remove(&(account.counter(), organisation.clone()));
        }
        let result = change(account);
        if account.waiting > 0 {
            self.by_counter.insert((account.counter(), organisation.clone()));
        }
        result
    }

    fn share_of(&self, organisation: &Organisation) -> u32 {
        self.accounts.get(organisation).map_or(1, |account| account.share)
    }

    /// Sets an organisation's share.
    pub fn set_share(&mut self, organisation: &Organisation, share: u32) {
        self.update(organisation, share, |account| account.share = share);
    }

    /// Sets how many of an organisation's requests wait.
    ///
    /// `remote_min` is the lowest counter among the backlogged organisations of other failure
    /// domains, if known.
    pub fn set_waiting(
        &mut self,
        organisation: &Organisation,
        waiting: u32,
        remote_min: Option<i64>,
    ) {
        let target = remote_min.map_or(self.virtual_time, |remote| remote.min(self.virtual_time));
        let share = self.share_of(organisation);
        let is_lifted = self.update(organisation, share, |account| {
            let becomes_backlogged = account.waiting == 0 && waiting > 0;
            account.waiting = waiting;
            let shortfall = target - account.counter();
            let needs_lift = becomes_backlogged && shortfall > 0;
            if needs_lift {
                account.lift += shortfall;
            }
            needs_lift
        });
        if is_lifted {
            self.changed.insert(organisation.clone());
        }
    }

    /// Returns the backlogged organisation with the lowest counter.
    pub fn next_organisation(&self) -> Option<&Organisation> {
        self.by_counter.first().map(|(_, organisation)| organisation)
    }

    /// Returns the lowest counter among the backlogged organisations.
    pub fn min_counter(&self) -> Option<i64> {
        self.by_counter.first().map(|(counter, _)| *counter)
    }

    /// Returns how many organisations are backlogged.
    pub fn backlogged(&self) -> usize {
        self.by_counter.len()
    }

    /// Charges an organisation the estimated cost of a grant and returns that cost.
    pub fn charge_estimate(&mut self, organisation: &Organisation) -> u32 {
        let share = self.share_of(organisation);
        let (counter, cost) = self.update(organisation, share, |account| {
            let counter = account.counter();
            account.pending += charge(account.estimate, account.share);
            (counter, account.estimate)
        });
        self.virtual_time = self.virtual_time.max(counter);
        cost
    }

    /// Replaces part of a grant's estimate by actual cost.
    ///
    /// `charged` is the actual cost charged for the grant so far and `cost` the new, higher one.
    pub fn add_cost(
        &mut self,
        organisation: &Organisation,
        estimate: u32,
        charged: u32,
        cost: u32,
    ) {
        let share = self.share_of(organisation);
        self.update(organisation, share, |account| {
            let remaining = |cost: u32| charge(estimate.saturating_sub(cost), account.share);
            account.pending += remaining(cost) - remaining(charged);
            account.served += charge(cost, account.share) - charge(charged, account.share);
        });
        self.changed.insert(organisation.clone());
    }

    /// Refunds the part of a grant's estimate that exceeds its actual cost.
    ///
    /// The cost enters the moving average of the estimate if `learn` is set.
    pub fn end_grant(
        &mut self,
        organisation: &Organisation,
        estimate: u32,
        cost: u32,
        learn: bool,
    ) {
        let share = self.share_of(organisation);
        self.update(organisation, share, |account| {
            account.pending -= charge(estimate.saturating_sub(cost), account.share);
            if learn {
                let step = (i64::from(cost) - i64::from(account.estimate)) / ESTIMATE_DIVISOR;
                let learned = i64::from(account.estimate) + step;
                account.estimate = u32::try_from(learned.max(1)).unwrap_or(u32::MAX);
            }
        });
    }

    /// Charges the current estimate for a grant issued by an earlier dispatcher and returns it.
    pub fn adopt_grant(&mut self, organisation: &Organisation) -> u32 {
        let share = self.share_of(organisation);
        self.update(organisation, share, |account| {
            account.pending += charge(account.estimate, account.share);
            account.estimate
        })
    }

    /// Merges the service totals of another failure domain.
    ///
    /// Organisations that this instance's document does not have yet are skipped; they are sent
    /// again when their service changes. Returns whether any total is lower than the known one.
    pub fn merge_remote(&mut self, domain: &FailureDomain, served: &[ServiceReceived]) -> bool {
        let mut any_lower = false;
        for ServiceReceived(tag, total, lift) in served {
            let Some(organisation) = self.tags.get(tag).cloned() else { continue };
            let share = self.share_of(&organisation);
            any_lower |= self.update(&organisation, share, |account| {
                let known = account.remote.entry(domain.clone()).or_insert(0);
                let is_lower = *total < *known;
                *known = (*known).max(*total);
                account.lift = account.lift.max(*lift);
                is_lower
            });
        }
        any_lower
    }

    /// Merges the service totals of earlier dispatchers of this pool.
    pub fn merge_own(&mut self, served: &[ServiceReceived]) {
        for ServiceReceived(tag, total, lift) in served {
            let Some(organisation) = self.tags.get(tag).cloned() else { continue };
            let share = self.share_of(&organisation);
            self.update(&organisation, share, |account| {
                account.served = account.served.max(*total);
                account.lift = account.lift.max(*lift);
            });
        }
    }

    /// Returns the known service totals of another failure domain.
    pub fn remote(&self, domain: &FailureDomain) -> Vec<ServiceReceived> {
        let known = |(organisation, account): (&Organisation, &Account)| {
            let total = account.remote.get(domain)?;
            Some(ServiceReceived(organisation.tag(), *total, account.lift))
        };
        self.accounts.iter().filter_map(known).collect()
    }

    /// Takes up to `max` organisations whose service changed, with their totals.
    ///
    /// Organisations without a backlog are included only if `all` is set, since their counters are
    /// not compared with others before they have one.
    pub fn take_changed(&mut self, max: usize, all: bool) -> Vec<ServiceReceived> {
        let accounts = &self.accounts;
        let is_included = |o: &&Organisation| all || accounts[*o].waiting > 0;
        let included = self.changed.iter().filter(is_included).take(max);
        let included: Vec<Organisation> = included.cloned().collect();
        let take = |organisation: Organisation| {
            self.changed.remove(&organisation);
            let account = &accounts[&organisation];
            ServiceReceived(organisation.tag(), account.served, account.lift)
        };
        included.into_iter().map(take).collect()
    }

    /// Marks all backlogged organisations as changed, to make up for lost exchanges.
    pub fn mark_backlogged_changed(&mut self) {
        let backlogged = self.by_counter.iter().map(|(_, organisation)| organisation.clone());
        self.changed.extend(backlogged);
    }

    /// Returns the certain service that an organisation received in this pool.
    pub fn served(&self, organisation: &Organisation) -> i64 {
        self.accounts.get(organisation).map_or(0, |account| account.served)
    }

    /// Returns an organisation's counter.
    pub fn counter(&self, organisation: &Organisation) -> i64 {
        self.accounts.get(organisation).map_or(0, Account::counter)
    }
}
