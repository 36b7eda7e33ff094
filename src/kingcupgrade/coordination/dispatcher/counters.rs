//! Who is owed the next slot: weighted service counters of the organisations.
//!
//! A counter is service over share. The backlogged organisation with the least counter goes first,
//! which keeps any two backlogged organisations within a bounded gap of each other. Three rules
//! make that hold here:
//!
//! - A request's cost is known only at its end, so a grant charges an estimate at once. Without
//!   that, one organisation would take every free slot before its first cost came in.
//! - An organisation that becomes backlogged is lifted to the level now being served, so that
//!   time spent idle banks no claim on later capacity.
//! - What other failure domains served counts too. Totals and lifts only grow and merge by
//!   maximum, so a message may be lost, doubled or overtaken without harm.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    core::{FailureDomain, Organisation, OrganisationTag},
    protocol::dispatch::ServiceReceived,
};

/// Counter units of one unit of cost at a share of one.
pub const SCALE: i64 = 10_000;
/// The estimate for an organisation whose requests have not ended yet.
const FIRST_ESTIMATE: u32 = 8;
/// Weight of the newest cost in the estimate, as a divisor.
const ESTIMATE_DIVISOR: i64 = 4;

/// Returns the counter units of `cost` at `share`.
pub fn charge(cost: u32, share: u32) -> i64 {
    i64::from(cost) * SCALE / i64::from(share.max(1))
}

#[derive(Clone, Debug)]
struct Account {
    share: u32,
    /// Service here that is certain; it only grows.
    served: i64,
    /// Estimates of grants still in use, less what they already added to `served`.
    pending: i64,
    /// Service in other failure domains.
    remote: BTreeMap<FailureDomain, i64>,
    /// Level granted on becoming backlogged; it only grows.
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

    fn key(&self) -> i64 {
        self.served + self.pending + self.remote.values().sum::<i64>() + self.lift
    }
}

/// The service counters of one pool.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    accounts: BTreeMap<Organisation, Account>,
    /// The organisations by what messages between failure domains call them.
    tags: BTreeMap<OrganisationTag, Organisation>,
    /// The backlogged organisations by counter.
    order: BTreeSet<(i64, Organisation)>,
    /// Organisations whose service changed since it was last exchanged.
    changed: BTreeSet<Organisation>,
    /// The counter last served from; it only grows.
    level: i64,
}

impl Counters {
    /// Changes one account and keeps the order in step with it.
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
            self.order.remove(&(account.key(), organisation.clone()));
        }
        let result = change(account);
        if account.waiting > 0 {
            self.order.insert((account.key(), organisation.clone()));
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

    /// Sets how many of an organisation's requests wait; `elsewhere` is the least counter that
    /// other failure domains serve from, if known.
    pub fn set_waiting(
        &mut self,
        organisation: &Organisation,
        waiting: u32,
        elsewhere: Option<i64>,
    ) {
        let level = elsewhere.map_or(self.level, |least| least.min(self.level));
        let share = self.share_of(organisation);
        let lifted = self.update(organisation, share, |account| {
            let becomes_backlogged = account.waiting == 0 && waiting > 0;
            account.waiting = waiting;
            let short = level - account.key();
            let lifts = becomes_backlogged && short > 0;
            if lifts {
                account.lift += short;
            }
            lifts
        });
        if lifted {
            self.changed.insert(organisation.clone());
        }
    }

    /// Returns the backlogged organisation with the least counter.
    pub fn first(&self) -> Option<&Organisation> {
        self.order.first().map(|(_, organisation)| organisation)
    }

    /// Returns the least counter among the backlogged.
    pub fn least(&self) -> Option<i64> {
        self.order.first().map(|(key, _)| *key)
    }

    /// Tells how many organisations are backlogged.
    pub fn backlogged(&self) -> usize {
        self.order.len()
    }

    /// Charges the estimate for a grant and returns the estimated cost.
    pub fn charge_estimate(&mut self, organisation: &Organisation) -> u32 {
        let share = self.share_of(organisation);
        let (key, cost) = self.update(organisation, share, |account| {
            let key = account.key();
            account.pending += charge(account.estimate, account.share);
            (key, account.estimate)
        });
        self.level = self.level.max(key);
        cost
    }

    /// Replaces a part of a grant's estimate by cost that is certain.
    ///
    /// `counted` is the cost already counted for the grant and `cost` the new, higher one.
    pub fn add_cost(
        &mut self,
        organisation: &Organisation,
        estimate: u32,
        counted: u32,
        cost: u32,
    ) {
        let share = self.share_of(organisation);
        self.update(organisation, share, |account| {
            let open = |cost: u32| charge(estimate.saturating_sub(cost), account.share);
            account.pending += open(cost) - open(counted);
            account.served += charge(cost, account.share) - charge(counted, account.share);
        });
        self.changed.insert(organisation.clone());
    }

    /// Ends a grant: what is left of its estimate is taken back.
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

    /// Counts a grant that an earlier dispatcher gave, under the present estimate.
    pub fn adopt_grant(&mut self, organisation: &Organisation) -> u32 {
        let share = self.share_of(organisation);
        self.update(organisation, share, |account| {
            account.pending += charge(account.estimate, account.share);
            account.estimate
        })
    }

    /// Takes in what another failure domain served, but for organisations that the document here
    /// does not have yet: they are told again when their service changes.
    ///
    /// Returns whether it knows less than was already known of it.
    pub fn merge_remote(&mut self, domain: &FailureDomain, served: &[ServiceReceived]) -> bool {
        let mut behind = false;
        for ServiceReceived(tag, total, lift) in served {
            let Some(organisation) = self.tags.get(tag).cloned() else { continue };
            let share = self.share_of(&organisation);
            behind |= self.update(&organisation, share, |account| {
                let known = account.remote.entry(domain.clone()).or_insert(0);
                let is_behind = *total < *known;
                *known = (*known).max(*total);
                account.lift = account.lift.max(*lift);
                is_behind
            });
        }
        behind
    }

    /// Takes in what an earlier dispatcher of this pool is known to have served.
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

    /// Returns what is known of another failure domain's service.
    pub fn remote(&self, domain: &FailureDomain) -> Vec<ServiceReceived> {
        let known = |(organisation, account): (&Organisation, &Account)| {
            let total = account.remote.get(domain)?;
            Some(ServiceReceived(organisation.tag(), *total, account.lift))
        };
        self.accounts.iter().filter_map(known).collect()
    }

    /// Takes up to `most` organisations whose service changed, with their totals; those without
    /// backlog only if `all` are wanted, since nobody is compared with them before they have one.
    pub fn take_changed(&mut self, most: usize, all: bool) -> Vec<ServiceReceived> {
        let accounts = &self.accounts;
        let is_wanted = |o: &&Organisation| all || accounts[*o].waiting > 0;
        let wanted = self.changed.iter().filter(is_wanted).take(most);
        let wanted: Vec<Organisation> = wanted.cloned().collect();
        let take = |organisation: Organisation| {
            self.changed.remove(&organisation);
            let account = &accounts[&organisation];
            ServiceReceived(organisation.tag(), account.served, account.lift)
        };
        wanted.into_iter().map(take).collect()
    }

    /// Marks all backlogged organisations as changed, which repairs a lost exchange.
    pub fn mark_backlogged_changed(&mut self) {
        let backlogged = self.order.iter().map(|(_, organisation)| organisation.clone());
        self.changed.extend(backlogged);
    }

    /// Returns an organisation's certain service here.
    pub fn served(&self, organisation: &Organisation) -> i64 {
        self.accounts.get(organisation).map_or(0, |account| account.served)
    }

    /// Returns an organisation's counter.
    pub fn key(&self, organisation: &Organisation) -> i64 {
        self.accounts.get(organisation).map_or(0, Account::key)
    }
}
