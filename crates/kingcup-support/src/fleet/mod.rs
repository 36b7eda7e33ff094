//! A fleet of real processes on this host, with a proxy on every connection between instances.

mod operator;
mod plan;
mod usage;

use std::{
    collections::BTreeMap,
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use anyhow::{Context, ensure};
use kingcupgrade::core::{
    Settings,
    document::sha256_hex,
    settings::{Peer, Role},
};

pub use self::{
    plan::{InstancePlan, Program},
    usage::Usage,
};
use crate::{
    caller::Caller, free_address, platform::Platform, process_state, proxy::Proxy, wait_until,
};

/// The fleet key of all fleets started here.
pub const FLEET_KEY: &str = "a key for fleets on one machine";
/// The timeout for a fleet to start or for a change to reach all of its instances.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// One instance of a fleet.
struct Member {
    plan: InstancePlan,
    settings: PathBuf,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    child: Option<Child>,
}

/// A running fleet.
///
/// Dropping it kills its processes and removes its folder. The folder is kept if the thread panics
/// or the environment variable `KINGCUP_KEEP` is set.
pub struct Fleet {
    program: Program,
    folder: PathBuf,
    members: BTreeMap<String, Member>,
    /// The proxy of each link, by the instance that connects and the instance that accepts.
    links: BTreeMap<(String, String), Proxy>,
}

static NEXT_FLEET: AtomicU32 = AtomicU32::new(0);

impl Fleet {
    /// Writes the settings of a fleet and initialises its control instances' data folders.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written or initialising a data folder fails.
    pub fn prepare(
        program: Program,
        plans: &[InstancePlan],
        platform: &Platform,
        static_shares: bool,
    ) -> anyhow::Result<Fleet> {
        let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let name = format!("kingcup-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let addresses: BTreeMap<String, SocketAddr> =
            plans.iter().map(|plan| (plan.instance.clone(), free_address())).collect();
        let mut fleet = Fleet { program, folder, members: BTreeMap::new(), links: BTreeMap::new() };
        for plan in plans {
            let peers = fleet.peers_of(plan, plans, &addresses);
            fleet.add_member(plan, peers, platform, static_shares)?;
        }
        for plan in plans.iter().filter(|plan| plan.roles.contains(&Role::Control)) {
            fleet.init(&plan.instance)?;
        }
        Ok(fleet)
    }

    /// Prepares a fleet, starts all instances and waits until they respond.
    ///
    /// # Errors
    ///
    /// Returns an error if an instance can't be started or does not respond in time.
    pub fn start(
        program: Program,
        plans: &[InstancePlan],
        platform: &Platform,
        static_shares: bool,
    ) -> anyhow::Result<Fleet> {
        let mut fleet = Fleet::prepare(program, plans, platform, static_shares)?;
        for plan in plans {
            fleet.start_instance(&plan.instance)?;
        }
        let up = wait_until(START_TIMEOUT, || {
            fleet.members.keys().all(|instance| fleet.status(instance).is_ok())
        });
        ensure!(
            up,
            "an instance did not respond within {START_TIMEOUT:?}; the logs are in {}",
            fleet.folder.display()
        );
        Ok(fleet)
    }

    /// Lists all instances with the addresses for `plan`: its own one, and those of proxies to the
    /// others.
    fn peers_of(
        &mut self,
        plan: &InstancePlan,
        plans: &[InstancePlan],
        addresses: &BTreeMap<String, SocketAddr>,
    ) -> Vec<Peer> {
        let mut peers = Vec::new();
        for other in plans {
            let direct = addresses[&other.instance];
            let address = if other.instance == plan.instance {
                direct
            } else {
                let proxy = Proxy::start(direct);
                let address = proxy.address();
                self.links.insert((plan.instance.clone(), other.instance.clone()), proxy);
                address
            };
            peers.push(Peer {
                instance: other.instance.as_str().into(),
                address,
                failure_domain: other.domain.as_str().into(),
                roles: other.roles.clone(),
            });
        }
        peers
    }

    fn add_member(
        &mut self,
        plan: &InstancePlan,
        peers: Vec<Peer>,
        platform: &Platform,
        static_shares: bool,
    ) -> anyhow::Result<()> {
        let (caller_address, operator_address) = (free_address(), free_address());
        let is_control = plan.roles.contains(&Role::Control);
        let settings = Settings {
            instance: plan.instance.as_str().into(),
            peers,
            caller_address: Some(caller_address),
            operator_address,
            data: is_control.then(|| self.data_folder(&plan.instance)),
            fleet_key: FLEET_KEY.to_owned(),
            platform_list: platform.url(),
            max_requests: 2_000,
            max_connections: 4_000,
            body_memory_mb: 64,
            static_shares,
        };
        let path = self.folder.join(format!("{}.yaml", plan.instance));
        fs::write(&path, serde_norway::to_string(&settings)?)?;
        let member = Member {
            plan: plan.clone(),
            settings: path,
            caller_address,
            operator_address,
            child: None,
        };
        self.members.insert(plan.instance.clone(), member);
        Ok(())
    }

    fn init(&self, instance: &str) -> anyhow::Result<()> {
        let status = Command::new(&self.program.path)
            .args(&self.program.init)
            .arg("--settings")
            .arg(&self.members[instance].settings)
            .status()?;
        ensure!(status.success(), "init of {instance} failed");
        Ok(())
    }

    /// Starts an instance that is not running.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn start_instance(&mut self, instance: &str) -> anyhow::Result<()> {
        let program = self.program.clone();
        self.start_instance_with(instance, &program)
    }

    /// Starts an instance that is not running, with another program.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn start_instance_with(&mut self, instance: &str, program: &Program) -> anyhow::Result<()> {
        let log = File::options().create(true).append(true).open(self.log_path(instance))?;
        let member = self.members.get_mut(instance).context("no such instance")?;
        let child = Command::new(&program.path)
            .args(&program.run)
            .arg("--settings")
            .arg(&member.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        member.child = Some(child);
        self.set_down(instance, false);
        Ok(())
    }

    /// Makes the proxies to an instance refuse connections, as its host would without the process.
    fn set_down(&self, instance: &str, down: bool) {
        for ((_, to), proxy) in &self.links {
            if to == instance {
                proxy.set_down(down);
            }
        }
    }

    /// Returns the path of an instance's log.
    pub fn log_path(&self, instance: &str) -> PathBuf {
        self.folder.join(format!("{instance}.log"))
    }

    /// Returns an instance's log so far.
    pub fn log(&self, instance: &str) -> String {
        fs::read_to_string(self.log_path(instance)).unwrap_or_default()
    }

    /// Returns the path of a control instance's data folder.
    pub fn data_folder(&self, instance: &str) -> PathBuf {
        self.folder.join(format!("{instance}.data"))
    }

    /// Returns the path of an instance's settings file.
    pub fn settings_path(&self, instance: &str) -> &Path {
        &self.members[instance].settings
    }

    /// Kills an instance with SIGKILL and makes the proxies to it refuse connections.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has no such instance.
    pub fn kill(&mut self, instance: &str) {
        let member = self.members.get_mut(instance).expect("a known instance");
        if let Some(mut child) = member.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.set_down(instance, true);
    }

    /// Sends an instance a signal by its name, such as TERM, STOP or CONT.
    ///
    /// # Panics
    ///
    /// Panics if the instance is not running or the signal can't be sent.
    pub fn signal(&self, instance: &str, signal: &str) {
        let child = self.members[instance].child.as_ref().expect("a running instance");
        let pid = child.id().to_string();
        let status = Command::new("kill").arg(format!("-{signal}")).arg(pid).status();
        assert!(status.is_ok_and(|status| status.success()), "kill -{signal} {instance}");
    }

    /// Waits until an instance exits; returns whether it exited with status 0 within `timeout`.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has no such instance.
    pub fn wait_for_exit(&mut self, instance: &str, timeout: Duration) -> bool {
        let member = self.members.get_mut(instance).expect("a known instance");
        let Some(child) = member.child.as_mut() else { return false };
        let mut exit_ok = None;
        wait_until(timeout, || {
            exit_ok = child.try_wait().ok().flatten().map(|status| status.success());
            exit_ok.is_some()
        });
        exit_ok.unwrap_or(false)
    }

    /// Returns the proxy on the connections that `from` opens to `to`.
    ///
    /// # Panics
    ///
    /// Panics if one of them is not in the fleet, or if they are the same.
    pub fn link(&self, from: &str, to: &str) -> &Proxy {
        &self.links[&(from.to_owned(), to.to_owned())]
    }

    /// Partitions an instance from all others in both directions, or reconnects it.
    ///
    /// Connections stay open, so that the partition shows only as silence.
    pub fn isolate(&self, instance: &str, cut: bool) {
        for ((from, to), proxy) in &self.links {
            if from == instance || to == instance {
                proxy.cut(cut);
            }
        }
    }

    /// Partitions a failure domain from all others, or reconnects it.
    pub fn partition_domain(&self, domain: &str, cut: bool) {
        let in_domain = |instance: &str| self.members[instance].plan.domain == domain;
        for ((from, to), proxy) in &self.links {
            if in_domain(from) != in_domain(to) {
                proxy.cut(cut);
            }
        }
    }

    /// Returns the address at which an entry accepts callers' requests.
    pub fn entry(&self, instance: &str) -> SocketAddr {
        self.members[instance].caller_address
    }

    /// Lists the entries with their failure domains.
    pub fn entries(&self) -> Vec<(String, String)> {
        self.with_role(Role::Entry)
    }

    /// Lists the control instances with their failure domains.
    pub fn controls(&self) -> Vec<(String, String)> {
        self.with_role(Role::Control)
    }

    fn with_role(&self, role: Role) -> Vec<(String, String)> {
        let members = self.members.values().filter(|member| member.plan.roles.contains(&role));
        members.map(|m| (m.plan.instance.clone(), m.plan.domain.clone())).collect()
    }

    /// Returns the resource usage of an instance's process, if it is running.
    pub fn usage(&self, instance: &str) -> Option<Usage> {
        let pid = self.members[instance].child.as_ref()?.id();
        Usage::read(pid)
    }

    /// Returns the address at which an instance serves operators.
    pub fn operator_address(&self, instance: &str) -> SocketAddr {
        self.members[instance].operator_address
    }

    /// Prints what became of each process and the end of its log, for a test that fails.
    fn print_states(&mut self) {
        eprintln!("the logs are in {}", self.folder.display());
        let instances: Vec<String> = self.members.keys().cloned().collect();
        for instance in instances {
            let last = process_state::last_lines(&self.log(&instance));
            let member = self.members.get_mut(&instance).expect("a known instance");
            let state = match &mut member.child {
                Some(child) => process_state::describe(child),
                None => "not started, or killed by the test".to_owned(),
            };
            eprintln!("{instance} {state}\n{last}");
        }
    }

    /// Returns an instance's `/metrics` page, or an empty string if it can't be reached.
    pub fn metrics(&self, instance: &str) -> String {
        Caller::new("").get(self.operator_address(instance), "/metrics").unwrap_or_default()
    }

    /// Returns the value of an instance's metric, or zero if it is missing.
    pub fn metric(&self, instance: &str, name: &str) -> f64 {
        let metrics = self.metrics(instance);
        let mut values =
            metrics.lines().filter_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        values.next().and_then(|value| value.parse().ok()).unwrap_or(0.0)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_states();
        }
        let instances: Vec<String> = self.members.keys().cloned().collect();
        for instance in instances {
            self.kill(&instance);
        }
        if std::env::var_os("KINGCUP_KEEP").is_none() && !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the bearer token of an organisation in documents made by [`document`].
pub fn token(organisation: &str) -> String {
    format!("token-of-{organisation}")
}

/// Builds a service's document with the given organisations and shares.
///
/// `rest` is appended to the YAML unchanged.
pub fn document(service: &str, kind: &str, organisations: &[(&str, u32)], rest: &str) -> String {
    let members = organisations.iter().map(|(name, share)| {
        let digest = sha256_hex(token(name).as_bytes());
        format!("  {name}:\n    share: {share}\n    token_digests: [\"{digest}\"]\n")
    });
    let members: String = members.collect();
    format!("service: {service}\nkind: {kind}\norganisations:\n{members}{rest}")
}
