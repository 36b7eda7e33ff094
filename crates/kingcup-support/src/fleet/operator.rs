//! Operator actions and queries of a fleet.

use std::{collections::BTreeMap, fs, net::SocketAddr, path::PathBuf};

use anyhow::ensure;
use kingcupgrade::{
    core::Instance,
    ops::{OperatorClient, fresh_change_id},
    protocol::{
        operator::Status,
        order::SetupChange,
        record::{Command as Change, Reply},
    },
};

use super::{Fleet, START_TIMEOUT};
use crate::wait_until;

impl Fleet {
    /// Creates an operator client for the running instances.
    pub fn client(&self) -> OperatorClient {
        let running = self.members.iter().filter(|(_, member)| member.child.is_some());
        let addresses = running.map(|(i, m)| (Instance::from(i.as_str()), m.operator_address));
        OperatorClient::new(addresses.collect())
    }

    /// Writes the fleet file of the operator's tool, with all operator addresses, and returns its
    /// path.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be written.
    pub fn fleet_file(&self) -> anyhow::Result<PathBuf> {
        let addresses: BTreeMap<&String, SocketAddr> =
            self.members.iter().map(|(i, m)| (i, m.operator_address)).collect();
        let path = self.folder.join("fleet.yaml");
        fs::write(&path, serde_norway::to_string(&addresses)?)?;
        Ok(path)
    }

    /// Queries an instance's status.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance can't be reached.
    pub fn status(&self, instance: &str) -> anyhow::Result<Status> {
        self.client().status(&instance.into())
    }

    /// Applies a document and waits until all running instances have it in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the document is refused or not in force everywhere within 30 s.
    pub fn apply(&self, service: &str, base: u64, text: &str) -> anyhow::Result<u64> {
        let command = Change::ApplyDocument {
            change: fresh_change_id()?,
            service: service.into(),
            base,
            text: text.to_owned(),
        };
        self.change_and_wait(command)
    }

    /// Takes a failure domain out of service or back in, and waits until all running instances have
    /// the change in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the change is refused or not in force everywhere within 30 s.
    pub fn set_domain(&self, domain: &str, out: bool) -> anyhow::Result<u64> {
        let change = fresh_change_id()?;
        self.change_and_wait(Change::SetDomain { change, domain: domain.into(), out })
    }

    /// Orders an upstream to change its setup, waits until all running instances have the order
    /// and returns its fencing number.
    ///
    /// # Errors
    ///
    /// Returns an error if the change is refused or not in force everywhere within 30 s.
    pub fn order(&self, upstream: &str, setup: SetupChange) -> anyhow::Result<u64> {
        let change = fresh_change_id()?;
        self.change_and_wait(Change::Order { change, upstream: upstream.into(), setup })
    }

    /// Returns the fencing number and the stage of the current or last order to an upstream, as the
    /// first of `instances` that knows it reports them.
    pub fn order_stage(&self, instances: &[String], upstream: &str) -> Option<(u64, String)> {
        let statuses = instances.iter().filter_map(|instance| self.status(instance).ok());
        let mut orders = statuses.flat_map(|s| s.pools).flat_map(|pool| pool.orders);
        orders.find(|(name, _)| name.as_str() == upstream).map(|(_, stage)| stage)
    }

    fn change_and_wait(&self, command: Change) -> anyhow::Result<u64> {
        let Reply::Accepted { index, .. } = self.client().change(command)? else {
            anyhow::bail!("unexpected reply to a change")
        };
        let in_force = wait_until(START_TIMEOUT, || {
            self.running().iter().all(|i| self.status(i).is_ok_and(|status| status.index >= index))
        });
        ensure!(in_force, "the change is not in force everywhere within {START_TIMEOUT:?}");
        Ok(index)
    }

    fn running(&self) -> Vec<String> {
        let running = self.members.iter().filter(|(_, member)| member.child.is_some());
        running.map(|(instance, _)| instance.clone()).collect()
    }

    /// Waits until each failure domain with entries has a dispatcher for `service`.
    ///
    /// # Errors
    ///
    /// Returns an error if a failure domain still has none after 30 s.
    pub fn wait_for_dispatchers(&self, service: &str) -> anyhow::Result<()> {
        let entries = self.entries();
        let has_dispatchers = wait_until(START_TIMEOUT, || {
            let statuses: Vec<Status> =
                entries.iter().filter_map(|(i, _)| self.status(i).ok()).collect();
            entries.iter().all(|(_, domain)| {
                let mut of_domain =
                    statuses.iter().filter(|s| s.failure_domain.as_str() == domain.as_str());
                of_domain.any(|s| s.pools.iter().any(|pool| pool.service.as_str() == service))
            })
        });
        ensure!(
            has_dispatchers,
            "a failure domain has no dispatcher for {service} within {START_TIMEOUT:?}"
        );
        Ok(())
    }

    /// Returns the entry that dispatches `service` in `domain`.
    pub fn dispatcher_of(&self, service: &str, domain: &str) -> Option<String> {
        let of_domain = self.entries().into_iter().filter(|(_, d)| d == domain);
        of_domain.map(|(instance, _)| instance).find(|instance| {
            let status = self.status(instance);
            status.is_ok_and(|status| {
                let mut pools = status.pools.iter();
                pools.any(|pool| pool.service.as_str() == service && pool.term.is_some())
            })
        })
    }

    /// Returns the control instance that leads the record.
    pub fn leader(&self) -> Option<String> {
        self.controls().into_iter().map(|(instance, _)| instance).find(|instance| {
            let status = self.status(instance);
            let control = status.ok().and_then(|status| status.control);
            control.is_some_and(|c| c.leader.is_some_and(|l| l.as_str() == instance.as_str()))
        })
    }
}
