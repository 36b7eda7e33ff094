use std::{collections::BTreeMap, fs, net::SocketAddr, path::Path, thread, time::Duration};

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

/// How often a change is sent if no instance knows the last change of the same subject yet.
const MAX_ATTEMPTS: u32 = 10;
/// The pause before a change that came too late is made anew.
const OVERTAKEN_PAUSE: Duration = Duration::from_millis(200);

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
    /// A change that has no revision of its own is carried out only if what it changes is still as
    /// the instance knows it now.
    ///
    /// # Errors
    ///
    /// Returns the error with which the record refused the command, or the last failure if no
    /// instance answers.
    pub fn change(&self, command: Command) -> anyhow::Result<Reply> {
        let mut attempt = 1;
        loop {
            match self.change_at_any(&command) {
                Err(err) if attempt < MAX_ATTEMPTS && is_overtaken(&err) => {
                    attempt += 1;
                    thread::sleep(OVERTAKEN_PAUSE);
                }
                result => return result,
            }
        }
    }

    /// Sends a command to one instance after another until one of them knows what became of it.
    fn change_at_any(&self, command: &Command) -> anyhow::Result<Reply> {
        let mut last = None;
        for instance in self.instances.keys() {
            match self.change_at(instance, command) {
                Ok(Reply::Refused(err)) if is_of_instance(err.code) => last = Some(err.into()),
                Ok(Reply::Refused(err)) => return Err(err.into()),
                Ok(reply) => return Ok(reply),
                Err(err) if coded_error(&err).is_some() => last = Some(err),
                Err(err) => last = Some(err.context(format!("asking {instance}"))),
            }
        }
        Err(last.unwrap_or_else(|| anyhow::anyhow!("the client knows no instance")))
    }

    fn change_at(&self, instance: &Instance, command: &Command) -> anyhow::Result<Reply> {
        let command = match command {
            Command::SetDomain { .. }
            | Command::SetLeaving { .. }
            | Command::Order { .. }
            | Command::StartRollout { .. } => {
                let since = self.status(instance)?.index;
                Command::IfUnchanged { since, command: Box::new(command.clone()) }
            }
            command => command.clone(),
        };
        match self.ask_one(instance, &OperatorRequest::Change { command })? {
            OperatorReply::Changed { reply } => Ok(reply),
            OperatorReply::Failed(err) => Err(err.into()),
            other => bail!("unexpected answer: {other:?}"),
        }
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

/// Returns whether another instance may take a change that this one has refused: it could not reach
/// a leader, or it did not know the last change yet.
fn is_of_instance(code: Code) -> bool {
    matches!(code, Code::CommitUnknown | Code::Overtaken)
}

fn is_overtaken(err: &anyhow::Error) -> bool {
    coded_error(err).is_some_and(|err| err.code == Code::Overtaken)
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
