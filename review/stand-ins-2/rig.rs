//! Stand-ins for clients, replicas, the platform and the operator, around real processes of the
//! deploy file. One program; its first argument names the case. Only the standard library is used.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const SEAL: &str = "Kingcupgrade-Response-Seal";

// ---------------------------------------------------------------- record and random numbers

pub struct Record {
    began: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record { began: Instant::now(), lines: Mutex::default() })
    }

    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: String) {
        let now = self.now();
        self.lines.lock().unwrap().push((now, text));
    }

    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|line| line.0);
        let text: String =
            lines.iter().map(|(at, text)| format!("{:9.3} {text}\n", *at as f64 / 1000.0)).collect();
        let _ = fs::write(path, text);
    }
}

static RANDOM: AtomicU64 = AtomicU64::new(0x9e37_79b9_7f4a_7c15);

pub fn seed(value: u64) {
    RANDOM.store(value.wrapping_mul(0x2545_f491_4f6c_dd1d) | 1, Ordering::SeqCst);
}

pub fn random() -> u64 {
    let mut x = RANDOM.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

pub fn below(n: u64) -> u64 {
    random() % n.max(1)
}

pub fn new_id() -> String {
    format!("{:016x}", random())
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------- HTTP messages

#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Head> {
    let mut head = Head::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line).ok()? == 0 || !line.ends_with(b"\n") {
            return None;
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if line.is_empty() {
            if head.start.is_empty() {
                continue;
            }
            return Some(head);
        }
        if head.start.is_empty() {
            head.start = line;
        } else if let Some((name, value)) = line.split_once(':') {
            head.fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body by its length or its chunks; returns the bytes, and whether it came to its end.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head, is_answer: bool) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    let chunked = head.get("transfer-encoding").is_some_and(|v| v.contains("chunked"));
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return (body, false);
            }
            let Ok(len) = usize::from_str_radix(line.trim(), 16) else { return (body, false) };
            if len == 0 {
                let mut end = String::new();
                let ok = reader.read_line(&mut end).unwrap_or(0) > 0;
                return (body, ok);
            }
            let at = body.len();
            body.resize(at + len, 0);
            let mut done = 0;
            while done < len {
                match reader.read(&mut body[at + done..]) {
                    Ok(0) | Err(_) => {
                        body.truncate(at + done);
                        return (body, false);
                    }
                    Ok(count) => done += count,
                }
            }
            let mut end = String::new();
            if reader.read_line(&mut end).unwrap_or(0) == 0 {
                return (body, false);
            }
        }
    }
    if let Some(len) = head.get("content-length").and_then(|v| v.parse::<usize>().ok()) {
        body.resize(len, 0);
        let mut done = 0;
        while done < len {
            match reader.read(&mut body[done..]) {
                Ok(0) | Err(_) => {
                    body.truncate(done);
                    return (body, false);
                }
                Ok(count) => done += count,
            }
        }
        return (body, true);
    }
    if is_answer {
        let ended = reader.read_to_end(&mut body).is_ok();
        return (body, ended);
    }
    (body, true)
}

/// Has the kernel reset the connection when its last handle is dropped.
pub fn reset(stream: &TcpStream) {
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, len: u32) -> i32;
    }
    use std::os::fd::AsRawFd;
    let linger = Linger { on: 1, seconds: 0 };
    // SOL_SOCKET and SO_LINGER.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &linger, 8) };
}

pub fn signal(pid: u32, number: i32) {
    unsafe extern "C" {
        fn kill(pid: i32, number: i32) -> i32;
    }
    unsafe { kill(pid as i32, number) };
}

pub const TERM: i32 = 15;
pub const STOP: i32 = 19;
pub const CONT: i32 = 18;

// ---------------------------------------------------------------- the platform's list

#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub ready: bool,
    pub born: u64,
    pub version: String,
    pub cold_ms: u64,
}

pub type List = Arc<Mutex<Vec<Listed>>>;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn list_json(list: &[Listed]) -> String {
    let entries: Vec<String> = list
        .iter()
        .map(|l| {
            // The field isn't among those that the page names for an entry of the list.
            let born = if l.born == 0 { String::new() } else { format!(",\"born\":{}", l.born) };
            format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\"state\":\"{}\",\"cold_remaining_ms\":{},\"id\":\"{}\"{}}}",
                l.service, l.address, l.zone, l.version, l.slots,
                if l.ready { "ready" } else { "draining" }, l.cold_ms, l.id, born
            )
        })
        .collect();
    format!("{{\"instances\":[{}],\"next\":null}}", entries.join(","))
}

pub fn start_list(ip: IpAddr, list: List) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || {
                let mut writer = stream.try_clone().unwrap();
                let mut reader = BufReader::new(stream);
                while read_head(&mut reader).is_some() {
                    let body = list_json(&list.lock().unwrap());
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    );
                    if writer.write_all((head + &body).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

// ---------------------------------------------------------------- processes of the deploy file

pub struct Process {
    pub name: String,
    settings: PathBuf,
    metrics: u16,
    log: PathBuf,
    program: PathBuf,
    pub child: Child,
}

impl Process {
    fn start(name: &str, settings: PathBuf, metrics: u16, log: PathBuf) -> Process {
        let program = PathBuf::from(
            std::env::var("PLATFORM").unwrap_or("target/release/kingcup-platform".to_owned()),
        );
        let child = Process::spawn(&program, &settings, metrics, &log);
        Process { name: name.to_owned(), settings, metrics, log, program, child }
    }

    fn spawn(program: &PathBuf, settings: &PathBuf, metrics: u16, log: &PathBuf) -> Child {
        use std::os::unix::process::CommandExt;
        unsafe extern "C" {
            fn prctl(option: i32, value: u64) -> i32;
        }
        let log = fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
        let mut command = Command::new(program);
        // The process ends with this one, however this one ends (PR_SET_PDEATHSIG, SIGKILL).
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9);
                Ok(())
            });
        }
        command
            .arg("--metrics-port")
            .arg(metrics.to_string())
            .env("KINGCUPGRADE_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap()
    }

    pub fn signal(&self, number: i32) {
        signal(self.child.id(), number);
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn restart(&mut self) {
        self.kill();
        if let Ok(text) = fs::read_to_string(&self.settings) {
            let _ = fs::write(&self.settings, text.replace("bootstrap=true", "bootstrap=false"));
        }
        self.child = Process::spawn(&self.program, &self.settings, self.metrics, &self.log);
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Fleet {
    pub folder: PathBuf,
    pub controls: Vec<Process>,
    pub fronts: Vec<Process>,
    pub operators: Vec<SocketAddr>,
    pub callers: Vec<SocketAddr>,
    pub ready: Vec<SocketAddr>,
}

pub struct Plan<'a> {
    pub fronts: usize,
    pub controls: usize,
    pub zones: &'a [&'a str],
    pub list: SocketAddr,
    pub net: u8,
    pub more: &'a str,
}

fn free_port(ip: IpAddr) -> u16 {
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap().port()
}

impl Fleet {
    pub fn start(plan: &Plan) -> Fleet {
        let folder = std::env::temp_dir().join(format!("kcreview-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&folder).unwrap();
        let ip = |host: usize| IpAddr::V4(Ipv4Addr::new(127, plan.net, 7, host as u8));
        let all = plan.controls + plan.fronts;
        let common = ip(1);
        let internal = (0..200)
            .map(|_| free_port(common))
            .find(|port| {
                *port < 60_000
                    && (1..=all).all(|host| {
                        TcpListener::bind((ip(host), *port)).is_ok()
                            && TcpListener::bind((ip(host), port + 1)).is_ok()
                    })
            })
            .unwrap();
        let control_port = free_port(common);
        let metrics = free_port(common);
        let operators: Vec<SocketAddr> =
            (1..=plan.controls).map(|host| SocketAddr::new(ip(host), control_port)).collect();
        let seeds: Vec<String> = operators.iter().take(3).map(ToString::to_string).collect();
        let mut fleet = Fleet {
            folder: folder.clone(),
            controls: Vec::new(),
            fronts: Vec::new(),
            operators: operators.clone(),
            callers: Vec::new(),
            ready: Vec::new(),
        };
        for host in 1..=all {
            let is_control = host <= plan.controls;
            let number = if is_control { host - 1 } else { host - 1 - plan.controls };
            let zone = plan.zones[number % plan.zones.len()];
            let address = ip(host);
            let mut text = format!(
                "node=m-{host}\nzone={zone}\nregion=r\nip={address}\ninternal_ports={internal},{}\n\
                 seeds={}\nbootstrap=true\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n\
                 limits.max_fds=4200\ndiscovery=cloud\nentry=vip\ncloud.address={}\ncloud.rate_per_s=42.0\n\
                 contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places\n\
                 fault_tolerance.machines=1\nfault_tolerance.zones=1\nbounds.grace_s=8\n\
                 bounds.stability_window_ms=3000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n\
                 bounds.budget_slack=54\nbounds.config_ms=2000\nbounds.drain_ms=3000\nbounds.loss_slack_ms=200\n\
                 config_mode=highest\n{}",
                internal + 15, seeds.join(","), plan.list, plan.more
            );
            // The second internal port is the one after the first.
            text = text.replace(
                &format!("internal_ports={internal},{}", internal + 15),
                &format!("internal_ports={internal},{}", internal + 1),
            );
            let settings = folder.join(format!("m-{host}.conf"));
            let log = folder.join(format!("m-{host}.log"));
            if is_control {
                let data = folder.join(format!("m-{host}.data"));
                fs::create_dir_all(&data).unwrap();
                text += &format!(
                    "serves=control\nlisten.control={}\ndata_dir={}\n",
                    operators[host - 1],
                    data.display()
                );
            } else {
                let callers = SocketAddr::new(address, free_port(address));
                let ready = SocketAddr::new(address, free_port(address));
                fleet.callers.push(callers);
                fleet.ready.push(ready);
                text += &format!("serves=front\nlisten.front={callers}\nlisten.ready={ready}\n");
            }
            fs::write(&settings, text).unwrap();
            let process = Process::start(&format!("m-{host}"), settings, metrics, log);
            if is_control {
                fleet.controls.push(process);
            } else {
                fleet.fronts.push(process);
            }
        }
        fleet
    }

    /// Sends an order until it is acknowledged.
    pub fn order(&self, record: &Record, path: &str, body: &str, within: Duration) -> bool {
        let began = Instant::now();
        let mut number = 0;
        while began.elapsed() < within {
            let operator = self.operators[number % self.operators.len()];
            number += 1;
            let answer = call(operator, "POST", path, &[], body.as_bytes(), 3_000);
            let status = answer.as_ref().map_or(0, |a| a.head.status());
            record.line(format!("operator POST {path} to {operator}: {status}"));
            if status == 200 {
                return true;
            }
            sleep_ms(150);
        }
        false
    }

    pub fn wait_ready(&self, within: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < within {
            let all = self.ready.iter().all(|address| is_ready(*address));
            if all {
                return true;
            }
            sleep_ms(100);
        }
        false
    }

    pub fn stop(mut self) {
        self.fronts.iter_mut().for_each(Process::kill);
        self.controls.iter_mut().for_each(Process::kill);
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("kept {}", self.folder.display());
        }
    }
}

pub fn is_ready(address: SocketAddr) -> bool {
    call(address, "GET", "/api/readyz", &[], b"", 1_000).is_some_and(|a| a.head.status() == 200)
}

// ---------------------------------------------------------------- a client's call

#[derive(Clone, Debug)]
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
    pub whole: bool,
}

pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    timeout_ms: u64,
) -> Option<Answer> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(timeout_ms))).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    send(&mut writer, method, path, fields, body, true)?;
    receive(&mut reader)
}

pub fn send(
    writer: &mut TcpStream,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    close: bool,
) -> Option<()> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !fields.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        text += "Host: c.example\r\n";
    }
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    if close {
        text += "Connection: close\r\n";
    }
    if method != "GET" || !body.is_empty() {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    writer.write_all(&bytes).ok()
}

pub fn receive(reader: &mut BufReader<TcpStream>) -> Option<Answer> {
    let head = read_head(reader)?;
    let (body, whole) = read_body(reader, &head, true);
    Some(Answer { head, body, whole })
}

pub fn configuration(version: u64, routes: &str, services: &str, tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{services}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":770000}}{tenants}}}"
    )
}

include!("cases.rs");
