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

/// The maximum time for a request, including its answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// The maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A client for the operator addresses of the instances of a fleet.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    instances: BTreeMap<Instance, SocketAddr>,
    agent: ureq::Agent,
}

impl OperatorClient {
    /// Creates a client for the given instances.
    pub fn new(instances: BTreeMap<Instance, SocketAddr>) -> OperatorClient {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .http_status_as_error(false)
            .build();
        OperatorClient { instances, agent: ureq::Agent::new_with_config(config) }
    }

    /// Creates a client from a fleet file: a YAML map from instances to their operator addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or lists no instance.
    pub fn from_file(path: &Path) -> anyhow::Result<OperatorClient> {
        let text = fs::read_to_string(path).with_context(|| path.display().to_string())?;
        let instances: BTreeMap<Instance, SocketAddr> =
            serde_norway::from_str(&text).with_context(|| path.display().to_string())?;
        if instances.is_empty() {
            bail!("{}: expected at least one instance and its operator address", path.display());
        }
        Ok(OperatorClient::new(instances))
    }

    /// Returns the names of the instances.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.keys()
    }

    /// Sends a request to one instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance cannot be reached or its answer cannot be decoded.
    pub fn ask_one(
        &self,
        instance: &Instance,
        request: &OperatorRequest,
    ) -> anyhow::Result<OperatorReply> {
        let address =
            self.instances.get(instance).context("the fleet file does not list the instance")?;
        let url = format!("http://{address}{OPERATOR_PATH}");
        let body = serde_json::to_string(request)?;
        let mut response = self.agent.post(url).send(body)?;
        let text = response.body_mut().read_to_string()?;
        Ok(serde_json::from_str(&text)?)
    }

    /// Sends a request to one instance after another until one of them does not fail.
    ///
    /// # Errors
    ///
    /// Returns the last failure if all instances fail.
    pub fn ask(&self, request: &OperatorRequest) -> anyhow::Result<OperatorReply> {
        let mut last = None;
        for instance in self.instances.keys() {
            match self.ask_one(instance, request) {
                Ok(OperatorReply::Failed(err)) => last = Some(err.into()),
                Ok(reply) => return Ok(reply),
                Err(err) => last = Some(err.context(format!("asking {instance}"))),
            }
        }
        Err(last.unwrap_or_else(|| anyhow::anyhow!("the client knows no instance")))
    }

    /// Applies a command to the record.
    ///
    /// A partitioned instance cannot know whether a command was committed. The command is then sent
    /// to the next instance. This is safe because a change carries an id and takes effect only once.
    ///
    /// # Errors
    ///
    /// Returns the error with which the record refused the command, or the last failure if no
    /// instance answers.
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
        Err(last.unwrap_or_else(|| anyhow::anyhow!("the client knows no instance")))
    }

    /// Returns the status of one instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance cannot be reached.
    pub fn status(&self, instance: &Instance) -> anyhow::Result<Status> {
        match self.ask_one(instance, &OperatorRequest::Status)? {
            OperatorReply::Status(status) => Ok(*status),
            OperatorReply::Failed(err) => Err(err.into()),
            other => bail!("unexpected answer: {other:?}"),
        }
    }
}

/// Returns a new random id for a change, by which a repeated change is recognised.
///
/// # Errors
///
/// Returns an error if the operating system provides no random number.
pub fn fresh_change_id() -> anyhow::Result<String> {
    Ok(format!("{:016x}{:016x}", random::number()?, random::number()?))
}

/// Returns the first [`CodedError`] in a chain of errors, if there is one.
pub fn coded_error(err: &anyhow::Error) -> Option<&CodedError> {
    err.chain().find_map(|cause| cause.downcast_ref::<CodedError>())
}
