//! Stand-ins for the review's scripts: the platform's list, replicas, clients and the operator. Uses
//! the standard library only.

use std::{
    collections::BTreeMap,
    fs,
    io::{self, Read, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// How a script ends.
pub enum End {
    Held,
    Broken,
    CouldNotRun(String),
}

/// The record of a run, with the time since its start on each line.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = fs::File::create(path).expect("the record can be written");
        Record { start: Instant::now(), lines: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let _ = writeln!(self.lines.lock().unwrap(), "{ms:6} ms  {text}");
    }

    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

// ---------------------------------------------------------------- HTTP

pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Head> {
    loop {
        if let Some(end) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&rest[..end]).into_owned();
            rest.drain(..end + 4);
            let mut lines = text.split("\r\n");
            let first = lines.next()?.to_owned();
            let fields = lines.filter_map(|l| l.split_once(':'));
            let fields = fields.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned())).collect();
            return Some(Head { first, fields });
        }
        let mut buf = [0; 4096];
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => return None,
            Ok(n) => rest.extend_from_slice(&buf[..n]),
        }
    }
}

/// Reads a body with a length or in chunks; `None` if it is not complete.
pub fn read_body(stream: &mut TcpStream, head: &Head, rest: &mut Vec<u8>) -> Option<Vec<u8>> {
    let mut fill = |rest: &mut Vec<u8>| {
        let mut buf = [0; 8192];
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => None,
            Ok(n) => {
                rest.extend_from_slice(&buf[..n]);
                Some(())
            }
        }
    };
    if head.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        let mut body = Vec::new();
        loop {
            let end = loop {
                match rest.windows(2).position(|w| w == b"\r\n") {
                    Some(end) => break end,
                    None => fill(rest)?,
                }
            };
            let size =
                usize::from_str_radix(std::str::from_utf8(&rest[..end]).ok()?.trim(), 16).ok()?;
            while rest.len() < end + 2 + size + 2 {
                fill(rest)?;
            }
            body.extend_from_slice(&rest[end + 2..end + 2 + size]);
            rest.drain(..end + 2 + size + 2);
            if size == 0 {
                return Some(body);
            }
        }
    }
    let len: usize = head.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while rest.len() < len {
        fill(rest)?;
    }
    Some(rest.drain(..len).collect())
}

/// What a caller sees of a call.
#[derive(Clone, Debug)]
pub enum Answer {
    Status(u16, String),
    /// No complete answer: the connection failed or ended.
    Failed(String),
    /// No answer in time; the caller has closed the connection.
    Silence,
}

impl Answer {
    pub fn status(&self) -> Option<u16> {
        match self {
            Answer::Status(status, _) => Some(*status),
            _ => None,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Answer::Status(status, _) => status.to_string(),
            Answer::Failed(why) => format!("no whole answer ({why})"),
            Answer::Silence => "nothing in time".to_owned(),
        }
    }
}

/// Makes one call on a new connection and closes it.
pub fn call(to: SocketAddr, request: &[u8], limit: Duration) -> Answer {
    let until = Instant::now() + limit;
    let mut stream = match TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1))) {
        Ok(stream) => stream,
        Err(err) => return Answer::Failed(err.to_string()),
    };
    let _ = stream.set_nodelay(true);
    if let Err(err) = stream.write_all(request) {
        return Answer::Failed(err.to_string());
    }
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = bytes.windows(4).position(|w: &[u8]| w == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let len = text.split("\r\n").filter_map(|l| l.split_once(':'));
            let len = len.filter(|(n, _)| n.eq_ignore_ascii_case("content-length"));
            let len = len.filter_map(|(_, v)| v.trim().parse::<usize>().ok()).next();
            if len.is_some_and(|len| bytes.len() >= end + 4 + len) {
                let status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
                return Answer::Status(status, String::from_utf8_lossy(&bytes[end + 4..]).into());
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Answer::Silence;
        }
        let _ = stream.set_read_timeout(Some(left));
        let mut buf = [0; 8192];
        match stream.read(&mut buf) {
            Ok(0) => return Answer::Failed("closed".to_owned()),
            Ok(n) => bytes.extend_from_slice(&buf[..n]),
            Err(err)
                if matches!(err.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
            {
                return Answer::Silence;
            }
            Err(err) => return Answer::Failed(err.to_string()),
        }
    }
}

pub fn post(to: SocketAddr, path: &str, body: &str, limit: Duration) -> Answer {
    let len = body.len();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {len}\r\n\r\n{body}"
    );
    call(to, head.as_bytes(), limit)
}

pub fn get(to: SocketAddr, path: &str) -> Answer {
    let head = format!("GET {path} HTTP/1.1\r\nHost: node\r\n\r\n");
    call(to, head.as_bytes(), Duration::from_secs(1))
}

// ---------------------------------------------------------------- the platform's list

/// The platform's list; its entries are the bytes of JSON objects.
#[derive(Clone)]
pub struct List {
    pub address: SocketAddr,
    entries: Arc<Mutex<BTreeMap<String, Vec<u8>>>>,
    pub reads: Arc<AtomicU64>,
}

impl List {
    pub fn start(ip: IpAddr) -> List {
        let listener = TcpListener::bind((ip, 0)).expect("an address for the list");
        let list = List {
            address: listener.local_addr().unwrap(),
            entries: Arc::default(),
            reads: Arc::default(),
        };
        let serving = list.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = serving.clone();
                thread::spawn(move || list.serve(stream));
            }
        });
        list
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut rest = Vec::new();
        while read_head(&mut stream, &mut rest).is_some() {
            self.reads.fetch_add(1, Ordering::SeqCst);
            let mut body = b"{\"instances\":[".to_vec();
            let entries: Vec<Vec<u8>> = self.entries.lock().unwrap().values().cloned().collect();
            body.extend_from_slice(&entries.join(&b','));
            body.extend_from_slice(b"],\"next\":null}");
            let mut answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            )
            .into_bytes();
            answer.extend_from_slice(&body);
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    pub fn put(&self, key: &str, entry: Vec<u8>) {
        self.entries.lock().unwrap().insert(key.to_owned(), entry);
    }

    pub fn remove(&self, key: &str) {
        self.entries.lock().unwrap().remove(key);
    }
}

// ---------------------------------------------------------------- replicas

/// A request that reached a replica and that it ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: u64,
    pub id: String,
}

/// A plain replica.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    leaving: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    work: Duration,
    record: Record,
}

impl Replica {
    pub fn start(
        record: &Record,
        ip: IpAddr,
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
    ) -> Replica {
        let listener = TcpListener::bind((ip, 0)).expect("an address for a replica");
        let replica = Replica {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().unwrap(),
            runs: Arc::default(),
            leaving: Arc::default(),
            ended: Arc::default(),
            streams: Arc::default(),
            work,
            record: record.clone(),
        };
        let serving = replica.clone();
        thread::spawn(move || {
            listener.set_nonblocking(true).unwrap();
            while !serving.ended.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        serving.streams.lock().unwrap().extend(stream.try_clone());
                        let replica = serving.clone();
                        thread::spawn(move || replica.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        replica
    }

    /// The entry of the platform's list.
    pub fn entry(&self, state: &str) -> Vec<u8> {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":6,"state":"{state}","cold_remaining_ms":0,"born":1764800000000,"id":"{}"}}"#,
            self.service, self.address, self.zone, self.id
        )
        .into_bytes()
    }

    /// From now on it says that it is leaving, and serves on.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Ends it: nothing listens any more, and open connections are closed.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(10));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut rest = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut rest) {
            let Some(body) = read_body(&mut stream, &head, &mut rest) else { return };
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let path = head.first.split(' ').nth(1).unwrap_or("/");
            let leaving = self.leaving.load(Ordering::SeqCst);
            let id = head.get("kingcupgrade-request-id").map(str::to_owned);
            let mut fields = format!(
                "Kingcupgrade-Instance-Id: {}\r\nKingcupgrade-Server-Load: 1,0,6\r\n",
                self.id
            );
            if let Some(id) = &id {
                fields += &format!("Kingcupgrade-Request-Id: {id}\r\n");
            }
            if leaving {
                fields += "Connection: close\r\n";
            }
            let expected = head.get("kingcupgrade-expect-instance");
            let (status, text) = if path == "/healthz" {
                (if leaving { "503 Service Unavailable" } else { "200 OK" }, String::new())
            } else if expected.is_some_and(|expected| expected != self.id) {
                fields += "Kingcupgrade-Not-Executed: 1\r\n";
                ("421 Misdirected Request", String::new())
            } else if let Some(id) = id {
                let at = self.record.now();
                self.runs.lock().unwrap().push(Run { at, id: id.clone() });
                self.record.line(&format!(
                    "run      {id} at {} ({}), {} bytes",
                    self.id,
                    self.zone,
                    body.len()
                ));
                thread::sleep(self.work);
                fields += "Kingcupgrade-Response-Seal: 3e1b.07\r\n";
                ("200 OK", format!("{id} by {}", self.id))
            } else {
                fields += "Kingcupgrade-Not-Executed: 1\r\n";
                ("400 Bad Request", String::new())
            };
            let answer = format!(
                "HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() || leaving {
                return;
            }
        }
    }
}

// ---------------------------------------------------------------- machines

pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    pub zone: String,
    pub is_core: bool,
    /// Whether it is started only when it takes another machine's place.
    pub is_spare: bool,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Machine {
    pub fn start(&mut self, root: &Path) {
        // The command of the deploy file.
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("a log");
        let mut command = Command::new("target/release/kingcup-platform");
        command.args(["--metrics-port", "9464"]).current_dir(root).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("KINGCUPGRADE_CONFIG", &self.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone().expect("a log")).stderr(log);
        let child = command.spawn().expect("the program of the deploy file starts");
        // run.sh ends what is left if this program is ended from outside.
        let pids = self.log.with_file_name("pids");
        let pids = fs::OpenOptions::new().create(true).append(true).open(pids);
        let _ = writeln!(pids.expect("the list of processes"), "{}", child.id());
        self.child = Some(child);
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().is_ok_and(|ended| ended.is_none()))
    }

    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ =
                Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A small fleet: three `core` and three `front` machines in three zones, and three spare `core`
/// machines.
pub struct Fleet {
    pub machines: Vec<Machine>,
    pub list: List,
    pub record: Record,
    pub root: PathBuf,
    net: u8,
    sub: u8,
}

pub const ZONES: [&str; 3] = ["santiago-a", "santiago-b", "santiago-c"];
const CONTROL_PORT: u16 = 8785;
const FRONT_PORT: u16 = 8783;
const READY_PORT: u16 = 8780;
const FIRST_INTERNAL: u16 = 7400;

impl Fleet {
    pub fn prepare(root: &Path, folder: &Path, record: &Record) -> Fleet {
        let pid = std::process::id();
        let (net, sub) = (20 + (pid % 200) as u8, 1 + (pid / 200 % 250) as u8);
        let ip = |host: u8| IpAddr::V4(Ipv4Addr::new(127, net, sub, host));
        let list = List::start(ip(200));
        let mut machines = Vec::new();
        let classes = [("core", 11, false), ("front", 21, false), ("core", 14, true)];
        for (class, first_host, is_spare) in classes {
            for (number, zone) in ZONES.iter().enumerate() {
                let name = format!("{class}-{zone}-{}", 1 + u8::from(is_spare));
                machines.push(Machine {
                    settings: folder.join(format!("{name}.conf")),
                    log: folder.join(format!("{name}.log")),
                    name,
                    ip: ip(first_host + number as u8),
                    zone: (*zone).to_owned(),
                    is_core: class == "core",
                    is_spare,
                    child: None,
                });
            }
        }
        let fleet =
            Fleet { machines, list, record: record.clone(), root: root.to_owned(), net, sub };
        for machine in &fleet.machines {
            fs::write(&machine.settings, fleet.settings(folder, machine)).expect("settings");
        }
        fleet
    }

    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net, self.sub, host))
    }

    fn settings(&self, folder: &Path, machine: &Machine) -> String {
        let (ip, zone) = (machine.ip, &machine.zone);
        let seeds: Vec<String> =
            self.cores().iter().map(|m| format!("{}:{CONTROL_PORT}", m.ip)).collect();
        let own = match machine.is_core {
            true => format!(
                "role=control\nmachine_class=core\nserves=control\nlisten.control={ip}:{CONTROL_PORT}\n\
                 data_dir={}\nfault_counted=true\nlimits.cpu_share=0.3\nlimits.memory_mb=256\n\
                 limits.max_fds=4096\nlimits.disk_mb=128\n",
                folder.join(format!("{}.data", machine.name)).display()
            ),
            false => format!(
                "role=entry\nmachine_class=front\nserves=front\nlisten.front={ip}:{FRONT_PORT}\n\
                 listen.ready={ip}:{READY_PORT}\nfault_counted=false\nlimits.cpu_share=0.25\n\
                 limits.memory_mb=260\nlimits.max_fds=4100\nlimits.disk_mb=0\n"
            ),
        };
        let zones: String = ZONES.iter().map(|zone| format!("zones.{zone}=santiago\n")).collect();
        format!(
            "node={}\nip={ip}\nzone={zone}\nregion=santiago\n{zones}{own}\
             internal_ports={FIRST_INTERNAL},{}\nseeds={}\nbootstrap={}\nlimits.cores=1\n\
             limits.link_mbps=1000.0\ndiscovery=cloud\nentry=vip\nbeat_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places\n\
             fault_tolerance.machines=1\nfault_tolerance.zones=1\nfault_tolerance.regions=0\n\
             bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.stability_window_ms=3000\n\
             bounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=3000\nbounds.grace_s=8\n\
             bounds.loss_slack_ms=200\nbounds.config_ms=2000\nbounds.back_ms=250\n\
             bounds.outer_ms=5000\nbounds.strict_revoke=false\nbounds.revoke_ms=5000\n\
             bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_slack=58\n\
             bounds.cold_over=1.5\nbounds.cold_slack=5\nbounds.evac_ms=5000\nbounds.recover_s=12\n\
             bounds.pass_ms=120\nbounds.retry_after_s=10\nbounds.quota_window_s=4\n\
             config_mode=highest\ncloud.address={}\ncloud.rate_per_s=42.0\ncloud.duties=\n\
             cloud.lag_ms=800\n",
            machine.name,
            FIRST_INTERNAL + 15,
            seeds.join(","),
            !machine.is_spare,
            self.list.address,
        )
    }

    pub fn start(&mut self) {
        let root = self.root.clone();
        for machine in self.machines.iter_mut().filter(|machine| !machine.is_spare) {
            machine.start(&root);
        }
    }

    pub fn machine(&mut self, ip: IpAddr) -> &mut Machine {
        self.machines.iter_mut().find(|machine| machine.ip == ip).expect("a machine of the fleet")
    }

    /// Starts a spare machine with these machines as its seeds.
    pub fn start_spare(&mut self, ip: IpAddr, seeds: &[IpAddr]) {
        let old: Vec<String> =
            self.cores().iter().map(|m| format!("{}:{CONTROL_PORT}", m.ip)).collect();
        let new: Vec<String> = seeds.iter().map(|ip| format!("{ip}:{CONTROL_PORT}")).collect();
        let root = self.root.clone();
        let machine = self.machine(ip);
        let text = fs::read_to_string(&machine.settings).expect("settings");
        let text =
            text.replace(&format!("seeds={}", old.join(",")), &format!("seeds={}", new.join(",")));
        fs::write(&machine.settings, text).expect("settings");
        machine.start(&root);
    }

    pub fn spares(&self) -> Vec<&Machine> {
        self.machines.iter().filter(|m| m.is_spare).collect()
    }

    pub fn cores(&self) -> Vec<&Machine> {
        self.machines.iter().filter(|m| m.is_core && !m.is_spare).collect()
    }

    pub fn fronts(&self) -> Vec<&Machine> {
        self.machines.iter().filter(|m| !m.is_core).collect()
    }

    pub fn is_ready(&self, front: &Machine) -> bool {
        get(SocketAddr::new(front.ip, READY_PORT), "/api/readyz").status() == Some(200)
    }

    pub fn front_addresses(&self) -> Vec<SocketAddr> {
        self.fronts().iter().map(|m| SocketAddr::new(m.ip, FRONT_PORT)).collect()
    }

    pub fn control_address(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, CONTROL_PORT)
    }

    /// The core machine that acts as the leader by its own metrics.
    pub fn leader(&self) -> Option<IpAddr> {
        let leads = |ip: IpAddr| match get(SocketAddr::new(ip, 9464), "/metrics") {
            Answer::Status(200, text) => text.lines().any(|l| l == "kingcup_record_leads 1"),
            _ => false,
        };
        self.cores().iter().map(|m| m.ip).find(|ip| leads(*ip))
    }

    /// Sends an order as the operator does: to these machines in turn, each after a failure or a
    /// second without a response, with increasing backoff, for at most `ack_ms`. Returns when it was
    /// acknowledged.
    pub fn order(&self, path: &str, body: &str, to: &[IpAddr]) -> Option<u64> {
        let began = Instant::now();
        let mut backoff = Duration::from_millis(100);
        for ip in to.iter().cycle() {
            if began.elapsed() > Duration::from_millis(4_000) {
                break;
            }
            self.record.line(&format!("order    {path} sent to {ip}"));
            let answer = post(self.control_address(*ip), path, body, Duration::from_secs(1));
            self.record.line(&format!("order    {path} at {ip}: {}", answer.text()));
            if answer.status().is_some_and(|status| (200..300).contains(&status)) {
                return Some(self.record.now());
            }
            thread::sleep(backoff);
            backoff *= 2;
        }
        None
    }

    /// Sends the first configuration until it is accepted, and waits until all fronts are ready.
    pub fn configure(&self, configuration: &str) -> Result<(), String> {
        let cores: Vec<IpAddr> = self.cores().iter().map(|m| m.ip).collect();
        self.configure_at(configuration, &cores)
    }

    /// The same, at these core machines.
    pub fn configure_at(&self, configuration: &str, cores: &[IpAddr]) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        while self.order("/api/Config.Replace", configuration, cores).is_none() {
            if Instant::now() > until {
                return Err("the first configuration is not acknowledged".to_owned());
            }
        }
        while !self.fronts().iter().all(|front| self.is_ready(front)) {
            if Instant::now() > until {
                return Err("the front machines are not ready".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }
}

// ---------------------------------------------------------------- clients

#[derive(Clone, Debug)]
pub struct Sent {
    pub at: u64,
    pub id: String,
    pub front: IpAddr,
    pub is_unsafe: bool,
    pub answer: Answer,
}

/// Clients that send requests at a steady rate, each on a new connection, without retries.
pub struct Clients {
    stop: Arc<AtomicBool>,
    pub sent: Arc<Mutex<Vec<Sent>>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Clients {
    pub fn start(
        record: &Record,
        fronts: Vec<SocketAddr>,
        pause: Duration,
        deadline_ms: u64,
    ) -> Clients {
        let stop = Arc::new(AtomicBool::new(false));
        let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
        let (stopped, all, record) = (stop.clone(), sent.clone(), record.clone());
        let thread = thread::spawn(move || {
            let mut calls: Vec<thread::JoinHandle<()>> = Vec::new();
            let mut number = 0u64;
            while !stopped.load(Ordering::SeqCst) {
                number += 1;
                let front = fronts[number as usize % fronts.len()];
                let is_unsafe = number / 3 % 2 == 0;
                let (all, record) = (all.clone(), record.clone());
                calls.push(thread::spawn(move || {
                    let id = format!("{number:016x}");
                    let fields = format!(
                        "Host: ficu95.example\r\nKingcupgrade-Request-Id: {id}\r\nKingcupgrade-Deadline-Ms: {deadline_ms}\r\n"
                    );
                    let request = match is_unsafe {
                        true => format!("POST /puxa403/2f HTTP/1.1\r\n{fields}Content-Length: 12\r\n\r\ndeposit-pay!"),
                        false => format!("GET /lohu930/2f HTTP/1.1\r\n{fields}\r\n"),
                    };
                    let at = record.now();
                    let answer = call(front, request.as_bytes(), Duration::from_millis(deadline_ms + 500));
                    let kind = if is_unsafe { "unsafe" } else { "safe" };
                    record.line(&format!("client   {id} {kind} sent at {at} ms to {}: {}", front.ip(), answer.text()));
                    all.lock().unwrap().push(Sent { at, id, front: front.ip(), is_unsafe, answer });
                }));
                thread::sleep(pause);
            }
            for call in calls {
                let _ = call.join();
            }
        });
        Clients { stop, sent, thread: Some(thread) }
    }

    pub fn finish(mut self) -> Vec<Sent> {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        let sent = self.sent.lock().unwrap().clone();
        sent
    }
}

/// A configuration with one unsafe and one safe public route of a plain service.
pub fn configuration(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-record","host":"ficu95.example","path_prefix":"/puxa403/","kind":"unsafe","timeout_ms":2000,"target_latency_ms":150,"priority":2,"service":"wuno96b","max_attempts":1,"public":true}},{{"name":"r-lookup","host":"ficu95.example","path_prefix":"/lohu930/","kind":"safe","timeout_ms":2000,"target_latency_ms":150,"priority":2,"service":"wuno96b","max_attempts":2,"public":true}}],"services":[{{"name":"wuno96b","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false,"cold_s":0.0,"cold_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":770000}},"tenants":[{{"name":"hule930","api_keys":["asnmgkcuyj8pjbvk9m68"],"priority":1}}]}}"#
    )
}

pub fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Runs a script: `PROGRAM ROOT FOLDER RECORD`, with `TROUBLE` from the environment.
pub fn run(script: impl FnOnce(&Path, &Path, &Record, bool) -> End) -> ! {
    let args: Vec<PathBuf> = std::env::args_os().skip(1).map(PathBuf::from).collect();
    let [root, folder, record] = args.as_slice() else {
        eprintln!("usage: PROGRAM ROOT FOLDER RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(record);
    record.line(&format!("the disruption is {}", if has_trouble { "played" } else { "left out" }));
    let code = match script(root, folder, &record, has_trouble) {
        End::Held => (0, "the rule held".to_owned()),
        End::Broken => (1, "the rule was broken".to_owned()),
        End::CouldNotRun(why) => (2, format!("the case could not run: {why}")),
    };
    record.line(&code.1);
    println!("{}", code.1);
    std::process::exit(code.0);
}
