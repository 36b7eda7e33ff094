//! What an operator of the fleet does and sees.

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

use super::{Fleet, START_PATIENCE};
use crate::wait_until;

impl Fleet {
    /// Returns a client of the running instances.
    pub fn client(&self) -> OperatorClient {
        let running = self.members.iter().filter(|(_, member)| member.child.is_some());
        let addresses = running.map(|(i, m)| (Instance::from(i.as_str()), m.operator_address));
        OperatorClient::new(addresses.collect())
    }

    /// Writes a fleet file for the operator's tool and returns its path.
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

    /// Asks an instance for its status.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be reached.
    pub fn status(&self, instance: &str) -> anyhow::Result<Status> {
        self.client().status(&instance.into())
    }

    /// Applies a document and waits until all running instances have it in force.
    ///
    /// # Errors
    ///
    /// Returns an error if it is refused or not in force everywhere in time.
    pub fn apply(&self, service: &str, base: u64, text: &str) -> anyhow::Result<u64> {
        let command = Change::ApplyDocument {
            change: fresh_change_id()?,
            service: service.into(),
            base,
            text: text.to_owned(),
        };
        self.change_everywhere(command)
    }

    /// Takes a failure domain out or in and waits until all running instances know.
    ///
    /// # Errors
    ///
    /// Returns an error if it is refused or not known everywhere in time.
    pub fn set_domain(&self, domain: &str, out: bool) -> anyhow::Result<u64> {
        let change = fresh_change_id()?;
        self.change_everywhere(Change::SetDomain { change, domain: domain.into(), out })
    }

    /// Changes the setup wanted of an upstream, waits until all running instances know, and returns
    /// the fencing number.
    ///
    /// # Errors
    ///
    /// Returns an error if it is refused or not known everywhere in time.
    pub fn order(&self, upstream: &str, setup: SetupChange) -> anyhow::Result<u64> {
        let change = fresh_change_id()?;
        self.change_everywhere(Change::Order { change, upstream: upstream.into(), setup })
    }

    /// Returns the fencing number of the order to an upstream that is being or was carried out,
    /// and how far, from the instances named.
    pub fn order_stage(&self, instances: &[String], upstream: &str) -> Option<(u64, String)> {
        let statuses = instances.iter().filter_map(|instance| self.status(instance).ok());
        let mut orders = statuses.flat_map(|s| s.pools).flat_map(|pool| pool.orders);
        orders.find(|(name, _)| name.as_str() == upstream).map(|(_, stage)| stage)
    }

    fn change_everywhere(&self, command: Change) -> anyhow::Result<u64> {
        let Reply::Accepted { index, .. } = self.client().change(command)? else {
            anyhow::bail!("an answer that does not fit")
        };
        let known = wait_until(START_PATIENCE, || {
            self.running().iter().all(|i| self.status(i).is_ok_and(|status| status.index >= index))
        });
        ensure!(known, "the change is not in force everywhere");
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
    /// Returns an error if that does not come about in time.
    pub fn wait_for_dispatchers(&self, service: &str) -> anyhow::Result<()> {
        let entries = self.entries();
        let dispatched = wait_until(START_PATIENCE, || {
            let statuses: Vec<Status> =
                entries.iter().filter_map(|(i, _)| self.status(i).ok()).collect();
            entries.iter().all(|(_, domain)| {
                let mut of_domain =
                    statuses.iter().filter(|s| s.failure_domain.as_str() == domain.as_str());
                of_domain.any(|s| s.pools.iter().any(|pool| pool.service.as_str() == service))
            })
        });
        ensure!(dispatched, "a failure domain has no dispatcher of {service}");
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
