use std::{collections::BTreeMap, fs, net::SocketAddr, path::Path, time::Duration};

use anyhow::{Context, bail};

use crate::{
    core::{Code, Instance, code::CodedError},
    protocol::{
        operator::{OPERATOR_PATH, OperatorReply, OperatorRequest, Status},
        record::{Command, Reply},
    },
    util::random,
};

/// How long an instance may take to answer.
const PATIENCE: Duration = Duration::from_secs(15);
/// How long connecting may take.
const CONNECT_PATIENCE: Duration = Duration::from_secs(1);

/// Asks the instances of a fleet at their operator addresses.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    instances: BTreeMap<Instance, SocketAddr>,
    agent: ureq::Agent,
}

impl OperatorClient {
    /// Makes a client of the given instances.
    pub fn new(instances: BTreeMap<Instance, SocketAddr>) -> OperatorClient {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(PATIENCE))
            .timeout_connect(Some(CONNECT_PATIENCE))
            .http_status_as_error(false)
            .build();
        OperatorClient { instances, agent: ureq::Agent::new_with_config(config) }
    }

    /// Reads a fleet file: a YAML map from instances to their operator addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or names no instance.
    pub fn from_file(path: &Path) -> anyhow::Result<OperatorClient> {
        let text = fs::read_to_string(path).with_context(|| path.display().to_string())?;
        let instances: BTreeMap<Instance, SocketAddr> =
            serde_norway::from_str(&text).with_context(|| path.display().to_string())?;
        if instances.is_empty() {
            bail!("{}: expected at least one instance and its operator address", path.display());
        }
        Ok(OperatorClient::new(instances))
    }

    /// Lists the instances.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.keys()
    }

    /// Asks one instance.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be reached or its answer can't be read.
    pub fn ask_one(
        &self,
        instance: &Instance,
        request: &OperatorRequest,
    ) -> anyhow::Result<OperatorReply> {
        let address =
            self.instances.get(instance).context("the fleet file has no such instance")?;
        let url = format!("http://{address}{OPERATOR_PATH}");
        let body = serde_json::to_string(request)?;
        let mut response = self.agent.post(url).send(body)?;
        let text = response.body_mut().read_to_string()?;
        Ok(serde_json::from_str(&text)?)
    }

    /// Asks instance after instance until one answers with something else than a failure.
    ///
    /// # Errors
    ///
    /// Returns the last failure if none does.
    pub fn ask(&self, request: &OperatorRequest) -> anyhow::Result<OperatorReply> {
        let mut last = None;
        for instance in self.instances.keys() {
            match self.ask_one(instance, request) {
                Ok(OperatorReply::Failed(err)) => last = Some(err.into()),
                Ok(reply) => return Ok(reply),
                Err(err) => last = Some(err.context(format!("asking {instance}"))),
            }
        }
        Err(last.unwrap_or_else(|| anyhow::anyhow!("no instance to ask")))
    }

    /// Makes a change of the record.
    ///
    /// An instance that is cut off can't know whether the change came about. The next one is asked
    /// then; since a change has a name of its own, asking again makes it once.
    ///
    /// # Errors
    ///
    /// Returns the record's numbered refusal, or the last failure if no instance answers.
    pub fn change(&self, command: Command) -> anyhow::Result<Reply> {
        let request = OperatorRequest::Change { command };
        let mut last = None;
        for instance in self.instances.keys() {
            match self.ask_one(instance, &request) {
                Ok(OperatorReply::Changed { reply: Reply::Refused(err) }) => {
                    if err.code != Code::CommitUnknown {
                        return Err(err.into());
                    }
                    last = Some(err.into());
                }
                Ok(OperatorReply::Changed { reply }) => return Ok(reply),
                Ok(OperatorReply::Failed(err)) => last = Some(err.into()),
                Ok(other) => bail!("unexpected answer: {other:?}"),
                Err(err) => last = Some(err.context(format!("asking {instance}"))),
            }
        }
        Err(last.unwrap_or_else(|| anyhow::anyhow!("no instance to ask")))
    }

    /// Asks one instance for its status.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be reached.
    pub fn status(&self, instance: &Instance) -> anyhow::Result<Status> {
        match self.ask_one(instance, &OperatorRequest::Status)? {
            OperatorReply::Status(status) => Ok(*status),
            OperatorReply::Failed(err) => Err(err.into()),
            other => bail!("unexpected answer: {other:?}"),
        }
    }
}

/// Returns a new name for a change, so that a resend of it is known as one.
///
/// # Errors
///
/// Returns an error if the system gives no random number.
pub fn fresh_change_id() -> anyhow::Result<String> {
    Ok(format!("{:016x}{:016x}", random::number()?, random::number()?))
}

/// Finds the numbered error in a chain of errors, if there is one.
pub fn coded(err: &anyhow::Error) -> Option<&CodedError> {
    err.chain().find_map(|cause| cause.downcast_ref::<CodedError>())
}
