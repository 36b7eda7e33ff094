// ---------------------------------------------------------------- fuzz: allowed faults of replicas, at random

#[derive(Clone, Debug)]
struct Run {
    #[expect(dead_code, reason = "shown in the list of faults")]
    replica: String,
    #[expect(dead_code, reason = "shown in the list of faults")]
    at: u64,
}

#[derive(Default)]
struct Table {
    runs: Mutex<HashMap<String, Vec<Run>>>,
    faults: Mutex<Vec<String>>,
}

impl Table {
    fn ran(&self, record: &Record, id: &str, replica: &str) {
        let run = Run { replica: replica.to_owned(), at: record.now() };
        self.runs.lock().unwrap().entry(id.to_owned()).or_default().push(run);
    }

    fn fault(&self, record: &Record, text: String) {
        record.line(format!("BROKEN {text}"));
        self.faults.lock().unwrap().push(text);
    }
}

fn sum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(7u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(u64::from(*byte)))
}

fn pieces_of(key: &str) -> u64 {
    5 + sum(key.as_bytes()) % 25
}

fn answer_body(id: &str, replica: &str) -> Vec<u8> {
    let len = 20 + sum(id.as_bytes()) % 3000;
    let mut body = format!("R:{id}:{replica}:{len}:").into_bytes();
    for n in 0..len {
        body.push(b'a' + ((n + len) % 26) as u8);
    }
    body.extend_from_slice(b":END");
    body
}

fn head_of(status: &str, id: &str, fields: &str) -> String {
    format!("HTTP/1.1 {status}\r\nKingcupgrade-Request-Id: {id}\r\n{fields}")
}

fn chance(percent: u64) -> bool {
    below(100) < percent
}

fn serve_fuzz(stream: TcpStream, me: String, record: Arc<Record>, table: Arc<Table>, level: u64) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let raw = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let head = read_head(&mut reader)?;
        let id = head.get("kingcupgrade-request-id").unwrap_or("").to_owned();
        if head.get("kingcupgrade-expect-instance") != Some(me.as_str()) {
            let (_, _) = read_body(&mut reader, &head, false);
            let text = head_of("421 Misdirected Request", &id, "Kingcupgrade-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            writer.write_all(text.as_bytes()).ok()?;
            continue;
        }
        let is_stream = head.path().starts_with("/stream") || head.path().starts_with("/once");
        // An early rejection, before the body is in.
        if chance(level) && head.get("content-length").is_some_and(|l| l.len() > 4) {
            let text = head_of("503 Service Unavailable", &id, "Kingcupgrade-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nearly");
            writer.write_all(text.as_bytes()).ok()?;
            sleep_ms(below(60));
            let (body, whole) = read_body(&mut reader, &head, false);
            if !whole {
                return None;
            }
            if let Some(expected) = head.get("x-body-sum")
                && expected != sum(&body).to_string()
            {
                table.fault(&record, format!("UNASKED other bytes where the rest of the body of {id} is due"));
            }
            continue;
        }
        let (body, whole) = read_body(&mut reader, &head, false);
        if !whole {
            return None;
        }
        if let Some(expected) = head.get("x-body-sum")
            && expected != sum(&body).to_string()
        {
            table.fault(&record, format!("UNASKED body of {id} changed"));
        }
        if head.get("x-path").is_some_and(|path| path != head.path()) {
            table.fault(&record, format!("UNASKED path of {id} changed: {}", head.start));
        }
        if head.get("kingcupgrade-deadline-ms").is_none() {
            table.fault(&record, format!("no deadline on {id}"));
        }
        if chance(level) {
            let text = head_of("503 Service Unavailable", &id, "Kingcupgrade-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull");
            writer.write_all(text.as_bytes()).ok()?;
            continue;
        }
        table.ran(&record, &id, &me);
        if chance(level / 2) {
            sleep_ms(below(400));
        }
        if chance(level) {
            if chance(50) {
                reset(&raw);
            }
            return None;
        }
        if chance(level) {
            let text = head_of("500 Internal Server Error", &id, &format!("{SEAL}: s\r\nContent-Length: 3\r\n\r\nbad"));
            writer.write_all(text.as_bytes()).ok()?;
            continue;
        }
        if is_stream {
            let from = head.get("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0u64);
            let key = head.get("x-key").unwrap_or("").to_owned();
            let total = pieces_of(&key);
            let unframed = chance(level);
            let framing = if unframed { "Connection: close" } else { "Transfer-Encoding: chunked" };
            let text = head_of("200 OK", &id, &format!("{SEAL}: s-{me}\r\nContent-Type: text/event-stream\r\n{framing}\r\n\r\n"));
            writer.write_all(text.as_bytes()).ok()?;
            if chance(level) {
                sleep_ms(below(1500));
            }
            for piece in from + 1..=total {
                let event = format!("id: {piece}\ndata: {key}:{piece}\n\n").into_bytes();
                let parts: Vec<&[u8]> = if chance(20) {
                    let at = 1 + below(event.len() as u64 - 1) as usize;
                    vec![&event[..at], &event[at..]]
                } else {
                    vec![&event[..]]
                };
                for (number, part) in parts.iter().enumerate() {
                    let bytes = match unframed {
                        true => part.to_vec(),
                        false => {
                            let mut bytes = format!("{:x}\r\n", part.len()).into_bytes();
                            bytes.extend_from_slice(part);
                            bytes.extend_from_slice(b"\r\n");
                            bytes
                        }
                    };
                    writer.write_all(&bytes).ok()?;
                    if number == 0 && parts.len() > 1 {
                        if chance(level) {
                            if unframed || chance(50) {
                                reset(&raw);
                            }
                            return None;
                        }
                        sleep_ms(below(5));
                    }
                }
                if chance(level / 3) {
                    if unframed || chance(50) {
                        reset(&raw);
                    }
                    return None;
                }
                if chance(level / 4) {
                    sleep_ms(below(1400));
                }
                sleep_ms(below(12));
            }
            if unframed {
                return None;
            }
            if chance(level / 2) {
                return None;
            }
            writer.write_all(b"0\r\n\r\n").ok()?;
            continue;
        }
        let body = answer_body(&id, &me);
        match below(100) {
            n if n < level => {
                // No length; it ends with its connection.
                let text = head_of("200 OK", &id, &format!("{SEAL}: s-{me}\r\nConnection: close\r\n\r\n"));
                writer.write_all(text.as_bytes()).ok()?;
                let at = below(body.len() as u64) as usize;
                writer.write_all(&body[..at]).ok()?;
                sleep_ms(below(10));
                if chance(50) {
                    reset(&raw);
                    return None;
                }
                writer.write_all(&body[at..]).ok()?;
                return None;
            }
            n if n < 2 * level => {
                // It breaks off.
                let text = head_of("200 OK", &id, &format!("{SEAL}: s-{me}\r\nContent-Length: {}\r\n\r\n", body.len()));
                writer.write_all(text.as_bytes()).ok()?;
                let at = below(body.len() as u64) as usize;
                writer.write_all(&body[..at]).ok()?;
                if chance(50) {
                    reset(&raw);
                }
                return None;
            }
            n if n < 3 * level => {
                // A second answer, at once or late.
                let text = head_of("200 OK", &id, &format!("{SEAL}: s-{me}\r\nContent-Length: {}\r\n\r\n", body.len()));
                let mut bytes = text.into_bytes();
                bytes.extend_from_slice(&body);
                writer.write_all(&bytes).ok()?;
                if chance(50) {
                    sleep_ms(below(30));
                }
                writer.write_all(&bytes).ok()?;
            }
            n if n < 4 * level => {
                // Without the seal, or bytes that are no answer.
                if chance(50) {
                    let text = head_of("200 OK", &id, &format!("Content-Length: {}\r\n\r\n", body.len()));
                    writer.write_all(text.as_bytes()).ok()?;
                    writer.write_all(&body).ok()?;
                } else {
                    writer.write_all(b"\x00\x01garbage\r\n\r\n").ok()?;
                    return None;
                }
            }
            _ => {
                let close = chance(5);
                let more = if close { "Connection: close\r\n" } else { "" };
                let text = head_of("200 OK", &id, &format!("{SEAL}: s-{me}\r\n{more}Content-Length: {}\r\n\r\n", body.len()));
                let mut bytes = text.into_bytes();
                bytes.extend_from_slice(&body);
                writer.write_all(&bytes).ok()?;
                if close {
                    return None;
                }
            }
        }
    }
}

fn start_replica(ip: IpAddr, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

const FUZZ_ROUTES: &str = "{\"name\":\"r1\",\"host\":\"c.example\",\"path_prefix\":\"/safe/\",\"kind\":\"safe\",\"timeout_ms\":2000,\"target_latency_ms\":300,\"priority\":1,\"service\":\"reg\",\"max_attempts\":2,\"public\":false},\
{\"name\":\"r2\",\"host\":\"c.example\",\"path_prefix\":\"/unsafe/\",\"kind\":\"unsafe\",\"timeout_ms\":2000,\"target_latency_ms\":300,\"priority\":1,\"service\":\"reg\",\"max_attempts\":1,\"public\":false},\
{\"name\":\"r3\",\"host\":\"c.example\",\"path_prefix\":\"/stream/\",\"kind\":\"stream\",\"timeout_ms\":8000,\"target_latency_ms\":300,\"priority\":1,\"service\":\"pool\",\"max_attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"target_gap_ms\":250},\
{\"name\":\"r4\",\"host\":\"c.example\",\"path_prefix\":\"/once/\",\"kind\":\"stream\",\"timeout_ms\":8000,\"target_latency_ms\":300,\"priority\":1,\"service\":\"pool\",\"max_attempts\":1,\"public\":false,\"sticky\":true,\"resumable\":false,\"target_gap_ms\":250}";
const FUZZ_SERVICES: &str = "{\"name\":\"reg\",\"health_path\":\"/healthz\",\"max_connections\":400,\"protocol\":\"h1\",\"tls\":false,\"cold_s\":0,\"cold_per_s\":0},\
{\"name\":\"pool\",\"health_path\":\"/healthz\",\"max_connections\":400,\"protocol\":\"h1\",\"tls\":false,\"cold_s\":0,\"cold_per_s\":0,\"engine\":{\"slots\":64,\"kv_capacity_tokens\":900000,\"stride\":6,\"models\":[{\"name\":\"m\"}]}}";
const TENANTS: &str = ",\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key-one\"],\"priority\":1}]";

fn check_sequence(record: &Record, table: &Table, id: &str, key: &str, from: u64, answer: &Answer) {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let mut next = from + 1;
    for event in text.split_inclusive("\n\n") {
        let expected = format!("id: {next}\ndata: {key}:{next}\n\n");
        if event == expected {
            next += 1;
        } else if event.ends_with("\n\n") {
            table.fault(record, format!("ORDER {id}: expected {expected:?}, got {event:?}"));
            return;
        }
    }
    if answer.whole && next != pieces_of(key) + 1 {
        table.fault(record, format!("ORDER {id}: ended as complete after {} of {}", next - 1, pieces_of(key)));
    }
}

/// Sends a request in chunks, or in several writes.
fn send_in_parts(writer: &mut TcpStream, method: &str, path: &str, fields: &[(&str, &str)], body: &[u8]) -> Option<()> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: c.example\r\n");
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    let mut bytes;
    if method != "GET" && chance(50) {
        text += "Transfer-Encoding: chunked\r\n\r\n";
        bytes = text.into_bytes();
        let mut rest = body;
        while !rest.is_empty() {
            let len = (1 + below(5000) as usize).min(rest.len());
            bytes.extend_from_slice(format!("{len:x}\r\n").as_bytes());
            bytes.extend_from_slice(&rest[..len]);
            bytes.extend_from_slice(b"\r\n");
            rest = &rest[len..];
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
    } else {
        if method != "GET" {
            text += &format!("Content-Length: {}\r\n", body.len());
        }
        bytes = (text + "\r\n").into_bytes();
        bytes.extend_from_slice(body);
    }
    let at = 1 + below(bytes.len() as u64 - 1) as usize;
    let at = if chance(50) { at.min(300) } else { at };
    writer.write_all(&bytes[..at]).ok()?;
    sleep_ms(below(30));
    writer.write_all(&bytes[at..]).ok()
}

fn fuzz_client(fleet_callers: Vec<SocketAddr>, record: Arc<Record>, table: Arc<Table>, end: Instant, statuses: Arc<Mutex<BTreeMap<String, u64>>>) {
    while Instant::now() < end {
        let address = fleet_callers[below(fleet_callers.len() as u64) as usize];
        let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
            sleep_ms(50);
            continue;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        for _ in 0..1 + below(20) {
            let key = new_id();
            let (kind, method) = match below(4) {
                0 => ("safe", "GET"),
                1 => ("unsafe", "POST"),
                2 => ("stream", "POST"),
                _ => ("once", "POST"),
            };
            let id = format!("{}{}", if kind == "unsafe" || kind == "once" { "u" } else { "s" }, new_id());
            let path = format!("/{kind}/{}?q={}", below(1000), below(9));
            let len = if chance(10) { 40_000 + below(900_000) } else { below(3000) };
            let body: Vec<u8> = match method {
                "GET" => Vec::new(),
                _ => (0..len).map(|n| (n * 7 + len) as u8).collect(),
            };
            let body_sum = sum(&body).to_string();
            let from = if kind == "stream" && chance(10) { below(4) } else { 0 };
            let from_text = from.to_string();
            let mut fields = vec![
                ("Kingcupgrade-Request-Id", id.as_str()),
                ("Kingcupgrade-Deadline-Ms", "6000"),
                ("Api-Key", "key-one"),
                ("X-Path", path.as_str()),
                ("X-Key", key.as_str()),
                ("X-Body-Sum", body_sum.as_str()),
            ];
            if kind == "stream" || kind == "once" {
                fields.push(("Kingcupgrade-Model", "m"));
                fields.push(("Kingcupgrade-Token-Usage", "400,80"));
                fields.push(("Kingcupgrade-Prompt-Prefix", "5c1e07a2:300,91bd3f06:100"));
            }
            if from > 0 {
                fields.push(("Last-Event-Id", from_text.as_str()));
            }
            let sent = match chance(30) {
                true => send_in_parts(&mut writer, method, &path, &fields, &body),
                false => send(&mut writer, method, &path, &fields, &body, false),
            };
            if sent.is_none() {
                *statuses.lock().unwrap().entry(format!("{kind} unsent")).or_default() += 1;
                break;
            }
            if chance(4) {
                sleep_ms(below(150));
                if chance(50) {
                    reset(&writer);
                }
                break;
            }
            let Some(answer) = receive(&mut reader) else {
                *statuses.lock().unwrap().entry(format!("{kind} closed")).or_default() += 1;
                break;
            };
            let status = answer.head.status();
            let label = format!("{kind} {status}{}", if answer.whole { "" } else { " cut" });
            *statuses.lock().unwrap().entry(label).or_default() += 1;
            if answer.head.get("kingcupgrade-request-id") != Some(id.as_str()) {
                table.fault(&record, format!("MIXED answer to {id} has id {:?}, {}", answer.head.get("kingcupgrade-request-id"), answer.head.start));
            }
            let sealed = answer.head.get(SEAL).is_some();
            if (200..300).contains(&status) {
                if !sealed {
                    table.fault(&record, format!("MIXED success without seal {id}"));
                }
                if kind == "stream" || kind == "once" {
                    check_sequence(&record, &table, &id, &key, from, &answer);
                } else if answer.whole {
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    let replica = text.split(':').nth(2).unwrap_or("").to_owned();
                    if answer.body != answer_body(&id, &replica) {
                        table.fault(&record, format!("MIXED body of {id} isn't whole: {} bytes {:?}", text.len(), &text[..text.len().min(60)]));
                    }
                }
            } else if sealed && status != 500 {
                table.fault(&record, format!("MIXED seal on {status} {id}"));
            }
            if matches!(status, 408 | 421 | 429 | 503) && (kind == "unsafe" || kind == "once") {
                record.line(format!("refused {status} {id}"));
                let table = table.clone();
                let record = record.clone();
                let id = id.clone();
                thread::spawn(move || {
                    sleep_ms(1500);
                    if table.runs.lock().unwrap().contains_key(&id) {
                        table.fault(&record, format!("REFUSED {id} was answered {status} and ran"));
                    }
                });
            }
            let close = answer.head.get("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
            if close || !answer.whole {
                break;
            }
            if chance(5) {
                sleep_ms(below(300));
            }
        }
    }
}

fn fuzz(net: u8, seconds: u64, level: u64, trouble: &str) -> i32 {
    let record = Record::new();
    let table: Arc<Table> = Arc::default();
    let list: List = Arc::default();
    let ip = IpAddr::V4(Ipv4Addr::new(127, net, 9, 1));
    for number in 0..8 {
        let me = format!("i-{number:04x}");
        let service = if number < 4 { "reg" } else { "pool" };
        let (record, table, name) = (record.clone(), table.clone(), me.clone());
        let address = start_replica(ip, move |stream| {
            serve_fuzz(stream, name.clone(), record.clone(), table.clone(), level);
        });
        list.lock().unwrap().push(Listed {
            id: me, service: service.to_owned(), address, zone: if number % 2 == 0 { "za" } else { "zb" }.to_owned(),
            slots: 64, ready: true, born: unix_ms() - 100_000, version: "v1".to_owned(), cold_ms: 0,
        });
    }
    let plan = Plan { fronts: 2, controls: 3, zones: &["za", "zb"], list: start_list(ip, list.clone()), net, more: "" };
    let mut fleet = Fleet::start(&plan);
    let text = configuration(7, FUZZ_ROUTES, FUZZ_SERVICES, TENANTS);
    if !fleet.order(&record, "/api/Config.Replace", &text, Duration::from_secs(20)) || !fleet.wait_ready(Duration::from_secs(20)) {
        fleet.stop();
        return 2;
    }
    let end = Instant::now() + Duration::from_secs(seconds);
    let statuses: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let clients: Vec<_> = (0..std::env::var("CLIENTS").ok().and_then(|v| v.parse().ok()).unwrap_or(24))
        .map(|_| {
            let (callers, record, table, statuses) = (fleet.callers.clone(), record.clone(), table.clone(), statuses.clone());
            thread::spawn(move || fuzz_client(callers, record, table, end, statuses))
        })
        .collect();
    let mut version = 7;
    while Instant::now() < end {
        sleep_ms(1000 + below(1500));
        match trouble {
            "freeze" => {
                let front = below(2) as usize;
                fleet.fronts[front].signal(STOP);
                sleep_ms(200 + below(3000));
                fleet.fronts[front].signal(CONT);
            }
            "kill" => {
                let front = below(2) as usize;
                fleet.fronts[front].restart();
                sleep_ms(1500);
            }
            "term" => {
                let front = below(2) as usize;
                fleet.fronts[front].signal(TERM);
                let began = Instant::now();
                while !fleet.fronts[front].has_ended() && began.elapsed() < Duration::from_secs(9) {
                    sleep_ms(50);
                }
                fleet.fronts[front].restart();
                sleep_ms(1500);
            }
            "relist" => {
                // A replica drains, leaves and comes back at another address.
                let number = below(8) as usize;
                list.lock().unwrap()[number].ready = false;
                sleep_ms(2500);
                let (record, table) = (record.clone(), table.clone());
                let name = list.lock().unwrap()[number].id.clone();
                let address = start_replica(ip, move |stream| {
                    serve_fuzz(stream, name.clone(), record.clone(), table.clone(), level);
                });
                let mut list = list.lock().unwrap();
                list[number].address = address;
                list[number].born = unix_ms();
                list[number].ready = true;
            }
            "config" => {
                version += 1 + below(3);
                let text = configuration(version, FUZZ_ROUTES, FUZZ_SERVICES, TENANTS);
                fleet.order(&record, "/api/Config.Replace", &text, Duration::from_secs(5));
            }
            _ => {}
        }
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    sleep_ms(2000);
    for (id, runs) in table.runs.lock().unwrap().iter() {
        if runs.len() > 1 && id.starts_with('u') {
            table.faults.lock().unwrap().push(format!("TWICE {id} ran {} times {runs:?}", runs.len()));
        }
        if runs.len() > 2 {
            record.line(format!("BROKEN BUDGET {id} ran {} times", runs.len()));
            table.faults.lock().unwrap().push(format!("BUDGET {id} ran {} times {runs:?}", runs.len()));
        }
    }
    let ended: Vec<&str> = fleet.fronts.iter_mut().chain(&mut fleet.controls).filter_map(|p| if p.has_ended() { Some(p.name.as_str()) } else { None }).collect();
    eprintln!("ended by themselves: {ended:?}");
    fleet.stop();
    for (label, count) in statuses.lock().unwrap().iter() {
        eprintln!("{count:8} {label}");
    }
    eprintln!("{} runs", table.runs.lock().unwrap().len());
    let faults = table.faults.lock().unwrap().clone();
    let mut kinds: BTreeMap<String, Vec<&String>> = BTreeMap::new();
    for fault in &faults {
        kinds.entry(fault.split(' ').next().unwrap_or("").to_owned()).or_default().push(fault);
    }
    for (kind, all) in kinds {
        eprintln!("{kind}: {}", all.len());
        all.iter().take(4).for_each(|fault| eprintln!("   {}", &fault[..fault.len().min(300)]));
    }
    record.write("target/fuzz-record.txt");
    if faults.is_empty() { 0 } else { 1 }
}

// ---------------------------------------------------------------- silence: a stream that pauses while a front is stopped

/// A model replica as the pages describe it: runs share its memory, and when that runs out the newest
/// run is preempted, also in the middle of its stream, and goes on once there is memory again.
struct Engine {
    slots: usize,
    capacity: u64,
    /// The runs in the order in which they began: number, prompt and generated tokens, preempted.
    runs: Mutex<Vec<(u64, u64, bool)>>,
    next: AtomicU64,
}

impl Engine {
    fn begin(&self, prompt: u64) -> Option<u64> {
        let mut runs = self.runs.lock().unwrap();
        if runs.len() >= self.slots {
            return None;
        }
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        runs.push((number, prompt, false));
        Some(number)
    }

    fn end(&self, number: u64) {
        self.runs.lock().unwrap().retain(|run| run.0 != number);
    }

    /// Makes the tokens of one event; returns false while the run is preempted.
    fn step(&self, number: u64, tokens: u64) -> bool {
        let mut runs = self.runs.lock().unwrap();
        let held = |runs: &[(u64, u64, bool)]| -> u64 {
            runs.iter().filter(|run| !run.2).map(|run| run.1).sum()
        };
        let Some(at) = runs.iter().position(|run| run.0 == number) else { return false };
        if runs[at].2 {
            // It is read again only once there is memory for what it holds and some more.
            if held(&runs) + runs[at].1 + 20 * tokens > self.capacity {
                return false;
            }
            runs[at].2 = false;
        }
        runs[at].1 += tokens;
        while held(&runs) > self.capacity {
            let Some(newest) = runs.iter().rposition(|run| !run.2) else { break };
            runs[newest].2 = true;
            if newest == at {
                runs[at].1 -= tokens;
                return false;
            }
        }
        true
    }
}

const EVENTS: u64 = 250;
const STRIDE: u64 = 6;
const EVENT_MS: u64 = 25;

fn serve_engine(stream: TcpStream, me: String, engine: Arc<Engine>, record: Arc<Record>) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let head = read_head(&mut reader)?;
        let id = head.get("kingcupgrade-request-id").unwrap_or("").to_owned();
        let (_, whole) = read_body(&mut reader, &head, false);
        if !whole {
            return None;
        }
        let refusal = |status: &str| head_of(status, &id, "Kingcupgrade-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        if head.get("kingcupgrade-expect-instance") != Some(me.as_str()) {
            writer.write_all(refusal("421 Misdirected Request").as_bytes()).ok()?;
            continue;
        }
        let from: u64 = head.get("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
        let Some(run) = engine.begin(1_000 + STRIDE * from) else {
            record.line(format!("{me} full, {id} is not run"));
            writer.write_all(refusal("503 Service Unavailable").as_bytes()).ok()?;
            continue;
        };
        record.line(format!("{me} runs {id} from event {from}"));
        let head = head_of("200 OK", &id, &format!("{SEAL}: s-{me}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        let mut sent = writer.write_all(head.as_bytes()).is_ok();
        let mut piece = from + 1;
        let mut last = record.now();
        while sent && piece <= EVENTS {
            sleep_ms(EVENT_MS);
            // A caller that closes its connection ends the run.
            let mut byte = [0];
            writer.set_nonblocking(true).ok()?;
            let left = matches!(writer.peek(&mut byte), Ok(0)) || matches!(writer.peek(&mut byte), Err(e) if e.kind() != std::io::ErrorKind::WouldBlock);
            writer.set_nonblocking(false).ok()?;
            if left {
                record.line(format!("{me} {id}: its caller has left after event {}, silent for {} ms", piece - 1, record.now() - last));
                sent = false;
                break;
            }
            if !engine.step(run, STRIDE) {
                continue;
            }
            if record.now() - last > 900 {
                record.line(format!("{me} {id} goes on with event {piece} after {} ms", record.now() - last));
            }
            last = record.now();
            let event = format!("id: {piece}\ndata: {id}:{piece}\n\n");
            sent = writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_ok();
            piece += 1;
        }
        engine.end(run);
        if !sent {
            return None;
        }
        record.line(format!("{me} ends {id}"));
        writer.write_all(b"0\r\n\r\n").ok()?;
    }
}

fn silence(net: u8, trouble: bool) -> i32 {
    let record = Record::new();
    let list: List = Arc::default();
    let ip = IpAddr::V4(Ipv4Addr::new(127, net, 9, 1));
    for number in 0..2 {
        let me = format!("i-{number:04x}");
        let engine = Arc::new(Engine { slots: 8, capacity: 16_000, runs: Mutex::default(), next: AtomicU64::new(1) });
        let (record, name) = (record.clone(), me.clone());
        let address = start_replica(ip, move |stream| {
            serve_engine(stream, name.clone(), engine.clone(), record.clone());
        });
        list.lock().unwrap().push(Listed {
            id: me, service: "pool".to_owned(), address, zone: if number == 0 { "za" } else { "zb" }.to_owned(),
            slots: 8, ready: true, born: unix_ms() - 100_000, version: "v1".to_owned(), cold_ms: 0,
        });
    }
    let plan = Plan { fronts: 2, controls: 3, zones: &["za", "zb", "zc"], list: start_list(ip, list.clone()), net, more: "" };
    let mut fleet = Fleet::start(&plan);
    let route = "{\"name\":\"r3\",\"host\":\"c.example\",\"path_prefix\":\"/stream/\",\"kind\":\"stream\",\"timeout_ms\":15000,\"target_latency_ms\":1000,\"priority\":1,\"service\":\"pool\",\"max_attempts\":3,\"public\":false,\"sticky\":true,\"resumable\":true,\"target_gap_ms\":250}";
    let service = "{\"name\":\"pool\",\"health_path\":\"/healthz\",\"max_connections\":400,\"protocol\":\"h1\",\"tls\":false,\"cold_s\":0,\"cold_per_s\":0,\"engine\":{\"slots\":8,\"kv_capacity_tokens\":16000,\"stride\":6,\"models\":[{\"name\":\"m\"}]}}";
    let text = configuration(7, route, service, TENANTS);
    if !fleet.order(&record, "/api/Config.Replace", &text, Duration::from_secs(20)) || !fleet.wait_ready(Duration::from_secs(20)) {
        fleet.stop();
        return 2;
    }
    sleep_ms(4_000);
    let front = fleet.callers[0];
    let cut = Arc::new(Mutex::new(Vec::<(String, u64, u64)>::new()));
    let until = Instant::now() + Duration::from_secs(9);
    let clients: Vec<_> = (0..22u64)
        .map(|number| {
            let (record, cut) = (record.clone(), cut.clone());
            thread::spawn(move || {
                sleep_ms(number * 60);
                while Instant::now() < until {
                    let id = new_id();
                    let prompt = format!("{:x}:400,{:x}:600", 0x5c1e, random() >> 8);
                    let fields = [
                        ("Kingcupgrade-Request-Id", id.as_str()),
                        ("Kingcupgrade-Deadline-Ms", "15000"),
                        ("Api-Key", "key-one"),
                        ("Kingcupgrade-Model", "m"),
                        ("Kingcupgrade-Token-Usage", "1000,1500"),
                        ("Kingcupgrade-Length-Hint", "300"),
                        ("Kingcupgrade-Prompt-Prefix", prompt.as_str()),
                    ];
                    let sent = record.now();
                    let answer = call(front, "POST", "/stream/x", &fields, b"{}", 15_000);
                    let ended = record.now();
                    let Some(answer) = answer else {
                        record.line(format!("client {number}: {id} sent at {sent}, no answer"));
                        return;
                    };
                    let status = answer.head.status();
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    let events = text.matches("\n\n").count();
                    record.line(format!("client {number}: {id} sent at {sent}, {status}, {events} events, {}", if answer.whole { "whole" } else { "CUT" }));
                    if status == 200 && !answer.whole {
                        cut.lock().unwrap().push((id, sent, ended));
                    }
                    if status != 200 {
                        let after: f64 = answer.head.get("retry-after").and_then(|v| v.parse().ok()).unwrap_or(0.2);
                        sleep_ms((after * 1000.0) as u64);
                    }
                }
            })
        })
        .collect();
    sleep_ms(4_000);
    let stopped = record.now();
    if trouble {
        record.line("SIGTERM to the front".to_owned());
        fleet.fronts[0].signal(TERM);
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    let ended = fleet.fronts.iter_mut().chain(&mut fleet.controls).map(|p| p.has_ended()).filter(|e| *e).count();
    record.line(format!("processes that have ended: {ended}"));
    fleet.stop();
    let all = cut.lock().unwrap().clone();
    // Planned work: from the SIGTERM until 1 s after grace_s. The last sixth of the grace period and
    // what was sent later than 3 s after the SIGTERM are left out.
    let counted: Vec<_> = all.iter().filter(|(_, _, end)| trouble && *end >= stopped && *end <= stopped + 6_600).collect();
    record.line(format!("streams cut: {} in all, {} around the SIGTERM", all.len(), counted.len()));
    eprintln!("streams cut: {} in all, {} around the SIGTERM", all.len(), counted.len());
    record.write(&std::env::var("RECORD").unwrap_or("target/silence-record.txt".to_owned()));
    if counted.is_empty() { 0 } else { 1 }
}

// ---------------------------------------------------------------- evacuation: a zone is taken back, its replicas are cold

/// A list of the platform that lags: each state is shown `lag_ms` after it began.
struct LaggingList {
    states: Mutex<Vec<(Instant, Vec<Listed>)>>,
    shown: List,
}

impl LaggingList {
    fn start(first: Vec<Listed>, lag_ms: u64) -> Arc<LaggingList> {
        let list = Arc::new(LaggingList {
            states: Mutex::new(vec![(Instant::now(), first.clone())]),
            shown: Arc::new(Mutex::new(first)),
        });
        let own = list.clone();
        thread::spawn(move || {
            loop {
                sleep_ms(5);
                let states = own.states.lock().unwrap();
                let lag = Duration::from_millis(lag_ms);
                let Some((at, state)) = states.iter().rev().find(|(at, _)| at.elapsed() >= lag) else { continue };
                let mut state = state.clone();
                // What is shown of the time left to be cold is that of the moment that is shown.
                let age = (at.elapsed() - lag).as_millis() as u64;
                state.iter_mut().for_each(|l| l.cold_ms = l.cold_ms.saturating_sub(age));
                *own.shown.lock().unwrap() = state;
            }
        });
        list
    }

    fn change(&self, change: impl FnOnce(&mut Vec<Listed>)) {
        let mut states = self.states.lock().unwrap();
        let mut state = states.last().unwrap().1.clone();
        change(&mut state);
        states.push((Instant::now(), state));
    }
}

const COLD_S: u64 = 3;
const COLD_PER_S: u64 = 20;
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
const LAG_MS: u64 = 800;

/// Until when a replica is cold, and until when it is down after a crash, by the record's clock.
#[derive(Default)]
struct Cold {
    until: AtomicU64,
    down_until: AtomicU64,
}

fn serve_plain(stream: TcpStream, me: String, seen: Arc<Mutex<Vec<(u64, String, String)>>>, record: Arc<Record>, work_ms: u64, cold: Arc<Cold>) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    let is_down = || record.now() < cold.down_until.load(Ordering::SeqCst);
    loop {
        if is_down() {
            reset(&writer);
            return None;
        }
        let head = read_head(&mut reader)?;
        let id = head.get("kingcupgrade-request-id").unwrap_or("").to_owned();
        let (_, whole) = read_body(&mut reader, &head, false);
        if !whole {
            return None;
        }
        if head.get("kingcupgrade-expect-instance") != Some(me.as_str()) {
            let text = head_of("421 Misdirected Request", &id, "Kingcupgrade-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            writer.write_all(text.as_bytes()).ok()?;
            continue;
        }
        let now = record.now();
        let in_second = {
            let mut seen = seen.lock().unwrap();
            seen.push((now, me.clone(), id.clone()));
            seen.iter().rev().take_while(|(at, _, _)| at + 1000 > now).filter(|(_, name, _)| *name == me).count()
        };
        // A cold replica crashes at a rate well above what it tolerates: twice that, in one second.
        if now < cold.until.load(Ordering::SeqCst) && in_second as u64 > 2 * COLD_PER_S && !is_down() {
            record.line(format!("{me} crashes: {in_second} requests in one second"));
            cold.down_until.store(now + 2_000, Ordering::SeqCst);
        }
        sleep_ms(work_ms);
        if is_down() {
            reset(&writer);
            return None;
        }
        let body = answer_body(&id, &me);
        let text = head_of("200 OK", &id, &format!("{SEAL}: s-{me}\r\nContent-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&body);
        writer.write_all(&bytes).ok()?;
    }
}

fn taken_back(net: u8, trouble: bool) -> i32 {
    let record = Record::new();
    let ip = IpAddr::V4(Ipv4Addr::new(127, net, 9, 1));
    let seen: Arc<Mutex<Vec<(u64, String, String)>>> = Arc::default();
    let mut listed = Vec::new();
    let mut colds: Vec<Arc<Cold>> = Vec::new();
    for number in 0..6 {
        let me = format!("i-{number:04x}");
        let cold: Arc<Cold> = Arc::default();
        colds.push(cold.clone());
        let (record, name, seen) = (record.clone(), me.clone(), seen.clone());
        let address = start_replica(ip, move |stream| {
            serve_plain(stream, name.clone(), seen.clone(), record.clone(), 20, cold.clone());
        });
        listed.push(Listed {
            id: me, service: "reg".to_owned(), address, zone: ["za", "zb", "zc"][number % 3].to_owned(),
            slots: 16, ready: true, born: unix_ms() - 100_000, version: "v1".to_owned(), cold_ms: 0,
        });
    }
    let list = LaggingList::start(listed, LAG_MS);
    let plan = Plan { fronts: 3, controls: 3, zones: &["za", "zb", "zc"], list: start_list(ip, list.shown.clone()), net, more: "bounds.cold_over=1.5\nbounds.cold_slack=5\nbounds.evac_ms=5000\ncloud.lag_ms=800\n" };
    let fleet = Fleet::start(&plan);
    let route = "{\"name\":\"r1\",\"host\":\"c.example\",\"path_prefix\":\"/grade/\",\"kind\":\"unsafe\",\"timeout_ms\":2000,\"target_latency_ms\":300,\"priority\":1,\"service\":\"reg\",\"max_attempts\":1,\"public\":false}";
    let service = format!("{{\"name\":\"reg\",\"health_path\":\"/healthz\",\"max_connections\":400,\"protocol\":\"h1\",\"tls\":false,\"cold_s\":{COLD_S},\"cold_per_s\":{COLD_PER_S}}}");
    let text = configuration(7, route, &service, TENANTS);
    if !fleet.order(&record, "/api/Config.Replace", &text, Duration::from_secs(20)) || !fleet.wait_ready(Duration::from_secs(20)) {
        fleet.stop();
        return 2;
    }
    let per_s: u64 = std::env::var("PER_S").ok().and_then(|v| v.parse().ok()).unwrap_or(400);
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let statuses: Arc<Mutex<BTreeMap<u16, u64>>> = Arc::default();
    let threads = 60;
    let clients: Vec<_> = (0..threads)
        .map(|number: u64| {
            let (callers, record, stop, sent, statuses) = (fleet.callers.clone(), record.clone(), stop.clone(), sent.clone(), statuses.clone());
            thread::spawn(move || {
                let front = callers[number as usize % callers.len()];
                let pause = 1000 * threads / per_s;
                sleep_ms(below(pause));
                let mut open: Option<(TcpStream, BufReader<TcpStream>)> = None;
                let mut next = Instant::now();
                while !stop.load(Ordering::SeqCst) {
                    next += Duration::from_millis(pause);
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    if open.is_none() {
                        let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else { continue };
                        let _ = stream.set_nodelay(true);
                        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
                        let reader = BufReader::new(stream.try_clone().unwrap());
                        open = Some((stream, reader));
                    }
                    let Some((writer, reader)) = open.as_mut() else { continue };
                    let id = new_id();
                    let fields = [("Kingcupgrade-Request-Id", id.as_str()), ("Kingcupgrade-Deadline-Ms", "2000"), ("Api-Key", "key-one")];
                    sent.lock().unwrap().insert(id.clone(), record.now());
                    let answer = send(writer, "POST", "/grade/x", &fields, b"{}", false).and_then(|()| receive(reader));
                    *statuses.lock().unwrap().entry(answer.as_ref().map_or(0, |a| a.head.status())).or_default() += 1;
                    let keeps = answer.is_some_and(|a| a.whole && a.head.get("connection").is_none());
                    if !keeps {
                        open = None;
                    }
                }
            })
        })
        .collect();
    sleep_ms(4_000);
    let began = fleet.order(&record, "/api/Evacuations.Start/zb", "", Duration::from_secs(5));
    sleep_ms(6_000);
    let evacuated = record.now();
    if trouble {
        // The replicas of the zone start again under their ids, and are cold.
        record.line("the replicas of zb start again, cold".to_owned());
        for number in [1, 4] {
            colds[number].until.store(record.now() + COLD_S * 1000, Ordering::SeqCst);
        }
        list.change(|all| {
            for listed in all.iter_mut().filter(|l| l.zone == "zb") {
                listed.born = unix_ms();
                listed.cold_ms = COLD_S * 1000;
            }
        });
    }
    let cold_until = record.now() + COLD_S * 1000;
    sleep_ms(300);
    let finished = fleet.order(&record, "/api/Evacuations.Finish/zb", "", Duration::from_secs(5));
    sleep_ms(4_000);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    fleet.stop();
    if !began || !finished {
        record.line("an order wasn't acknowledged".to_owned());
        return 2;
    }
    let seen = seen.lock().unwrap().clone();
    let sent = sent.lock().unwrap().clone();
    let bound = COLD_PER_S as f64 * COLD_OVER + COLD_SLACK;
    let mut worst = 0;
    for replica in ["i-0001", "i-0004"] {
        let mut arrivals: Vec<(u64, u64)> = seen.iter().filter(|(at, me, _)| me == replica && *at >= evacuated && *at < cold_until)
            .map(|(at, _, id)| (*at, sent.get(id).copied().unwrap_or(*at))).collect();
        arrivals.sort();
        let mut most = (0, 0);
        for (from, _) in &arrivals {
            let inside = arrivals.iter().filter(|(at, sent)| at >= from && *at < from + 1000 && sent >= from).count();
            most = most.max((inside, *from as usize));
        }
        record.line(format!("{replica}: {} requests while cold, at most {} in one second, from {} ms; bound {bound}", arrivals.len(), most.0, most.1));
        eprintln!("{replica}: {} requests while cold, at most {} in one second; bound {bound}", arrivals.len(), most.0);
        worst = worst.max(most.0);
    }
    for (at, me, id) in seen.iter().filter(|(at, me, _)| (me == "i-0001" || me == "i-0004") && *at >= evacuated && *at < cold_until) {
        record.lines.lock().unwrap().push((*at, format!("{me} runs {id}, sent at {}", sent.get(id).copied().unwrap_or(0))));
    }
    record.line(format!("answers by status, 0 is none: {:?}", statuses.lock().unwrap()));
    eprintln!("answers by status: {:?}", statuses.lock().unwrap());
    record.write(&std::env::var("RECORD").unwrap_or("target/taken-back-record.txt".to_owned()));
    if trouble && worst as f64 > bound { 1 } else { 0 }
}

// ---------------------------------------------------------------- a rollout: fronts restart while it runs

/// The versions of the two sets of replicas. By name the new one sorts before the old one.
fn versions() -> (String, String) {
    let name = |key: &str, default: &str| std::env::var(key).unwrap_or(default.to_owned());
    (name("OLD", "v9"), name("NEW", "v10"))
}

/// What the replicas of a rollout share.
struct Rolling {
    /// From when the new version fails, by the record's clock.
    bad_from: AtomicU64,
    /// Whether the old replicas have been stopped.
    old_gone: AtomicBool,
    /// Arrivals: when, whether at the new version, the request's id, and whether it failed.
    seen: Mutex<Vec<(u64, bool, String, bool)>>,
    /// The new version fails while its replicas together get more requests in a second than this.
    bad_above: AtomicU64,
    /// When they got their requests.
    load: Mutex<Vec<u64>>,
}

/// Of its answers, a bad version fails this many in a hundred.
const BAD_PERCENT: u64 = 40;

fn serve_version(stream: TcpStream, me: String, is_new: bool, rolling: Arc<Rolling>, record: Arc<Record>) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let head = read_head(&mut reader)?;
        if !is_new && rolling.old_gone.load(Ordering::SeqCst) {
            reset(&writer);
            return None;
        }
        let id = head.get("kingcupgrade-request-id").unwrap_or("").to_owned();
        let (_, whole) = read_body(&mut reader, &head, false);
        if !whole {
            return None;
        }
        if head.path().starts_with("/healthz") {
            let text = head_of("200 OK", &id, &format!("Kingcupgrade-Instance-Id: {me}\r\nContent-Length: 0\r\n\r\n"));
            writer.write_all(text.as_bytes()).ok()?;
            continue;
        }
        if head.get("kingcupgrade-expect-instance") != Some(me.as_str()) {
            let text = head_of("421 Misdirected Request", &id, "Kingcupgrade-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            writer.write_all(text.as_bytes()).ok()?;
            continue;
        }
        let now = record.now();
        let fails = {
            let last = {
                let mut load = rolling.load.lock().unwrap();
                if is_new {
                    load.push(now);
                }
                load.retain(|at| at + 1000 > now);
                load.len() as u64
            };
            let mut seen = rolling.seen.lock().unwrap();
            let is_bad = now >= rolling.bad_from.load(Ordering::SeqCst) || last > rolling.bad_above.load(Ordering::SeqCst);
            let fails = is_new && is_bad && below(100) < BAD_PERCENT;
            seen.push((now, is_new, id.clone(), fails));
            fails
        };
        sleep_ms(15);
        if !is_new && rolling.old_gone.load(Ordering::SeqCst) {
            reset(&writer);
            return None;
        }
        let body = answer_body(&id, &me);
        let status = if fails { "500 Internal Server Error" } else { "200 OK" };
        let text = head_of(status, &id, &format!("{SEAL}: s-{me}\r\nContent-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&body);
        writer.write_all(&bytes).ok()?;
    }
}

const EXPOSE_SHARE: f64 = 0.1;
const EXPOSE_SLACK: f64 = 50.0;

fn rollout(net: u8, trouble: bool, roll_s: u64, under_load: bool) -> i32 {
    let record = Record::new();
    let ip = IpAddr::V4(Ipv4Addr::new(127, net, 9, 1));
    let (old, new) = versions();
    let rolling = Arc::new(Rolling { bad_from: AtomicU64::new(u64::MAX), old_gone: AtomicBool::new(false), seen: Mutex::default(), bad_above: AtomicU64::new(u64::MAX), load: Mutex::default() });
    let replica = |number: usize, is_new: bool| {
        let me = format!("i-{}{number:03x}", if is_new { "b" } else { "a" });
        let (record, name, rolling) = (record.clone(), me.clone(), rolling.clone());
        let address = start_replica(ip, move |stream| {
            serve_version(stream, name.clone(), is_new, rolling.clone(), record.clone());
        });
        let has_born = std::env::var_os("BORN").is_some();
        Listed {
            id: me, service: "reg".to_owned(), address, zone: ["za", "zb", "zc"][number % 3].to_owned(), slots: 16, ready: true,
            born: if has_born { unix_ms() - if is_new { 1_000 } else { 100_000 } } else { 0 },
            version: if is_new { new.clone() } else { old.clone() }, cold_ms: 0,
        }
    };
    let first: Vec<Listed> = (0..6).map(|number| replica(number, false)).collect();
    let list = LaggingList::start(first, LAG_MS);
    let plan = Plan { fronts: 3, controls: 3, zones: &["za", "zb", "zc"], list: start_list(ip, list.shown.clone()), net,
        more: "contracts=base,drain,config,cost,retry,recover,health,engine,stream,tenants,places,rollout\nbounds.stability_window_ms=4000\nbounds.expose_share=0.1\nbounds.expose_slack=50\nbounds.rollback_ms=5000\nbounds.config_ms=2500\nbounds.drain_ms=4000\ncloud.lag_ms=800\n" };
    let mut fleet = Fleet::start(&plan);
    let route = "{\"name\":\"r1\",\"host\":\"c.example\",\"path_prefix\":\"/grade/\",\"kind\":\"unsafe\",\"timeout_ms\":2000,\"target_latency_ms\":300,\"priority\":1,\"service\":\"reg\",\"max_attempts\":1,\"public\":false}";
    let service = "{\"name\":\"reg\",\"health_path\":\"/healthz\",\"max_connections\":400,\"protocol\":\"h1\",\"tls\":false,\"cold_s\":0,\"cold_per_s\":0}";
    let text = configuration(7, route, service, TENANTS);
    if !fleet.order(&record, "/api/Config.Replace", &text, Duration::from_secs(20)) || !fleet.wait_ready(Duration::from_secs(20)) {
        fleet.stop();
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    // The balancer sends new connections to the fronts that say that they are ready.
    let ready: Arc<Vec<AtomicBool>> = Arc::new(fleet.ready.iter().map(|_| AtomicBool::new(true)).collect());
    {
        let (addresses, ready, stop) = (fleet.ready.clone(), ready.clone(), stop.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                for (address, known) in addresses.iter().zip(ready.iter()) {
                    known.store(is_ready(*address), Ordering::SeqCst);
                }
                sleep_ms(200);
            }
        });
    }
    // When each request was sent, and to which front.
    let sent: Arc<Mutex<HashMap<String, (u64, usize)>>> = Arc::default();
    let statuses: Arc<Mutex<BTreeMap<u16, u64>>> = Arc::default();
    let (threads, per_s) = (45u64, 300u64);
    let clients: Vec<_> = (0..threads)
        .map(|_| {
            let (callers, record, stop, sent, statuses, ready) = (fleet.callers.clone(), record.clone(), stop.clone(), sent.clone(), statuses.clone(), ready.clone());
            thread::spawn(move || {
                let pause = 1000 * threads / per_s;
                sleep_ms(below(pause));
                let mut open: Option<(TcpStream, BufReader<TcpStream>, usize, u64)> = None;
                let mut next = Instant::now();
                while !stop.load(Ordering::SeqCst) {
                    next += Duration::from_millis(pause);
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    if open.is_none() {
                        let fronts: Vec<usize> = (0..callers.len()).filter(|n| ready[*n].load(Ordering::SeqCst)).collect();
                        if fronts.is_empty() { continue }
                        let front = fronts[below(fronts.len() as u64) as usize];
                        let Ok(stream) = TcpStream::connect_timeout(&callers[front], Duration::from_secs(1)) else { continue };
                        let _ = stream.set_nodelay(true);
                        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
                        let reader = BufReader::new(stream.try_clone().unwrap());
                        open = Some((stream, reader, front, 0));
                    }
                    let Some((writer, reader, front, count)) = open.as_mut() else { continue };
                    let id = new_id();
                    let fields = [("Kingcupgrade-Request-Id", id.as_str()), ("Kingcupgrade-Deadline-Ms", "2000"), ("Api-Key", "key-one")];
                    sent.lock().unwrap().insert(id.clone(), (record.now(), *front));
                    *count += 1;
                    let answer = send(writer, "POST", "/grade/x", &fields, b"{}", false).and_then(|()| receive(reader));
                    *statuses.lock().unwrap().entry(answer.as_ref().map_or(0, |a| a.head.status())).or_default() += 1;
                    let keeps = answer.is_some_and(|a| a.whole && a.head.get("connection").is_none()) && *count < 15;
                    if !keeps {
                        open = None;
                    }
                }
            })
        })
        .collect();
    // Longer than a version that appears by itself is held back.
    sleep_ms(8_000);
    let body = format!("{{\"service\":\"reg\",\"to\":\"{new}\",\"duration_s\":{roll_s}}}");
    let ordered = fleet.order(&record, "/api/Rollouts.Start", &body, Duration::from_secs(4));
    let began = record.now();
    let deadline = began + roll_s * 1000;
    if !under_load {
        rolling.bad_from.store(began + 16_000, Ordering::SeqCst);
    } else if trouble {
        // Half of what the old version takes.
        let above = std::env::var("ABOVE").ok().and_then(|v| v.parse().ok()).unwrap_or(per_s / 2);
        rolling.bad_above.store(above, Ordering::SeqCst);
    }
    let started: Vec<Listed> = (0..6).map(|number| replica(number, true)).collect();
    list.change(|all| all.extend(started));
    // The platform follows the rollout.
    let states: Arc<Mutex<Vec<(u64, String)>>> = Arc::default();
    {
        let (operators, record, stop, states, rolling, list) = (fleet.operators.clone(), record.clone(), stop.clone(), states.clone(), rolling.clone(), list.clone());
        let old = old.clone();
        thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                sleep_ms(200);
                number += 1;
                let Some(answer) = call(operators[number % operators.len()], "GET", "/api/Rollouts.Get/reg", &[], b"", 1_000) else { continue };
                if answer.head.status() != 200 { continue }
                let text = String::from_utf8_lossy(&answer.body).to_string();
                if states.lock().unwrap().last().is_some_and(|(_, known)| *known == text) { continue }
                record.line(format!("Rollouts.Get: {text}"));
                states.lock().unwrap().push((record.now(), text.clone()));
                if text.contains("complete") {
                    rolling.old_gone.store(true, Ordering::SeqCst);
                    list.change(|all| all.retain(|l| l.version != old));
                }
                if text.contains("rolled_back") {
                    sleep_ms(3_000);
                    let new = versions().1;
                    list.change(|all| all.iter_mut().filter(|l| l.version == new).for_each(|l| l.ready = false));
                }
            }
        });
    }
    sleep_ms(5_000);
    // From when on each front is in touch again, as the rules say, and until when it was before.
    let mut terms: Vec<(u64, u64)> = vec![(u64::MAX, 0); fleet.fronts.len()];
    if trouble && !under_load {
        let fronts: usize = std::env::var("FRONTS").ok().and_then(|v| v.parse().ok()).unwrap_or(3);
        let stopped = record.now();
        record.line(format!("all controls and {fronts} fronts are killed"));
        fleet.controls.iter_mut().for_each(Process::kill);
        fleet.fronts.iter_mut().take(fronts).for_each(Process::kill);
        sleep_ms(1_000);
        fleet.controls.iter_mut().for_each(Process::restart);
        fleet.fronts.iter_mut().take(fronts).for_each(Process::restart);
        record.line("they start again".to_owned());
        // Twice stability_window_ms after a fault that took most of the core.
        terms = vec![(stopped, record.now() + 8_000); fleet.fronts.len()];
    }
    sleep_ms((deadline + 500).saturating_sub(record.now()));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    fleet.stop();
    if !ordered {
        return 2;
    }
    let seen = rolling.seen.lock().unwrap().clone();
    let sent = sent.lock().unwrap().clone();
    let inside: Vec<_> = seen.iter().filter(|(at, ..)| *at >= began && *at <= deadline).collect();
    let in_touch = |id: &String| {
        sent.get(id).is_some_and(|(at, front)| *at < terms[*front].0 || *at > terms[*front].1)
    };
    let exposed = inside.iter().filter(|(_, is_new, id, _)| *is_new && in_touch(id)).count();
    let failed = inside.iter().filter(|(_, _, _, fails)| *fails).count();
    let bound = EXPOSE_SHARE * inside.len() as f64 + EXPOSE_SLACK;
    // The 50th bad answer, and requests sent later than rollback_ms after it.
    let bad: Vec<u64> = inside.iter().filter(|(_, _, _, fails)| *fails).map(|(at, ..)| *at).collect();
    let late = bad.get(49).map_or(0, |at| {
        inside.iter().filter(|(_, is_new, id, _)| *is_new && in_touch(id) && sent.get(id).is_some_and(|(sent, _)| *sent > at + 5_000)).count()
    });
    let states = states.lock().unwrap().clone();
    let text = format!("requests {}, at the new version from machines in touch {exposed}, bound {bound:.0}; failed {failed}; sent to it later than 5 s after its 50th bad answer {late}; states {states:?}; order at {began}", inside.len());
    record.line(text.clone());
    eprintln!("{text}");
    for (at, is_new, id, fails) in &seen {
        record.lines.lock().unwrap().push((*at, format!("{} runs {id}, sent to front {:?}{}", if *is_new { &new } else { &old }, sent.get(id).map(|s| s.1), if *fails { ", fails" } else { "" })));
    }
    record.line(format!("answers by status, 0 is none: {:?}", statuses.lock().unwrap()));
    eprintln!("answers by status: {:?}", statuses.lock().unwrap());
    record.write(&std::env::var("RECORD").unwrap_or("target/rollout-record.txt".to_owned()));
    let is_bad = !under_load || trouble;
    if is_bad && (exposed as f64 > bound || late > 0) { 1 } else { 0 }
}

// ---------------------------------------------------------------- slow readers

/// Watches the memory of a front while replicas or clients read slowly; not a case, a trial.
fn slow(net: u8, kind: &str) -> i32 {
    let record = Record::new();
    let ip = IpAddr::V4(Ipv4Addr::new(127, net, 9, 1));
    let (answer_len, reads_slowly) = match kind {
        "replicas" => (800usize, true),
        _ => (std::env::var("LEN").ok().and_then(|v| v.parse().ok()).unwrap_or(1_000_000), false),
    };
    let count: usize = std::env::var("CLIENTS").ok().and_then(|v| v.parse().ok()).unwrap_or(400);
    let streams = kind == "streams";
    let mut listed = Vec::new();
    for number in 0..6 {
        let me = format!("i-{number:04x}");
        let name = me.clone();
        let address = start_replica(ip, move |stream| {
            let serve = || -> Option<()> {
                let mut writer = stream.try_clone().ok()?;
                let mut reader = BufReader::with_capacity(4096, stream.try_clone().ok()?);
                loop {
                    let head = read_head(&mut reader)?;
                    let id = head.get("kingcupgrade-request-id").unwrap_or("").to_owned();
                    let mut left = head.get("content-length").and_then(|v| v.parse::<usize>().ok()).unwrap_or(0);
                    let mut bytes = [0u8; 4096];
                    while left > 0 {
                        let most = left.min(bytes.len());
                        left -= reader.read(&mut bytes[..most]).ok().filter(|n| *n > 0)?;
                        if reads_slowly { sleep_ms(40) }
                    }
                    if streams {
                        writer.write_all(head_of("200 OK", &id, &format!("{SEAL}: s-{name}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")).as_bytes()).ok()?;
                        for number in 0..200 {
                            let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(8_000));
                            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).ok()?;
                        }
                        writer.write_all(b"0\r\n\r\n").ok()?;
                    } else {
                        writer.write_all(head_of("200 OK", &id, &format!("{SEAL}: s-{name}\r\nContent-Length: {answer_len}\r\n\r\n")).as_bytes()).ok()?;
                        writer.write_all(&vec![b'x'; answer_len]).ok()?;
                    }
                }
            };
            serve();
        });
        listed.push(Listed { id: me, service: "pool".to_owned(), address, zone: "za".to_owned(), slots: 128, ready: true, born: unix_ms() - 100_000, version: "v1".to_owned(), cold_ms: 0 });
    }
    let list: List = Arc::new(Mutex::new(listed));
    let plan = Plan { fronts: 1, controls: 3, zones: &["za"], list: start_list(ip, list), net, more: "limits.memory_mb=160\ncontracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,pressure\n" };
    let mut fleet = Fleet::start(&plan);
    let kind_of = if streams { "stream" } else { "safe" };
    let route = format!("{{\"name\":\"r1\",\"host\":\"c.example\",\"path_prefix\":\"/x/\",\"kind\":\"{kind_of}\",\"timeout_ms\":15000,\"target_latency_ms\":5000,\"priority\":1,\"service\":\"pool\",\"max_attempts\":1,\"public\":false}}");
    let service = "{\"name\":\"pool\",\"health_path\":\"/healthz\",\"max_connections\":1000,\"protocol\":\"h1\",\"tls\":false,\"cold_s\":0,\"cold_per_s\":0}";
    if !fleet.order(&record, "/api/Config.Replace", &configuration(7, &route, service, TENANTS), Duration::from_secs(20)) || !fleet.wait_ready(Duration::from_secs(20)) {
        fleet.stop();
        return 2;
    }
    let front = fleet.callers[0];
    let end = Instant::now() + Duration::from_secs(25);
    let statuses: Arc<Mutex<BTreeMap<u16, u64>>> = Arc::default();
    let clients: Vec<_> = (0..count).map(|_| {
        let statuses = statuses.clone();
        thread::spawn(move || while Instant::now() < end {
            let one = || -> Option<u16> {
                let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
                stream.set_read_timeout(Some(Duration::from_secs(16))).ok()?;
                stream.set_write_timeout(Some(Duration::from_secs(16))).ok()?;
                let id = new_id();
                let fields = [("Kingcupgrade-Request-Id", id.as_str()), ("Kingcupgrade-Deadline-Ms", "15000"), ("Api-Key", "key-one")];
                let body = vec![b'b'; if reads_slowly { std::env::var("BODY").ok().and_then(|v| v.parse().ok()).unwrap_or(1_000_000) } else { 10 }];
                let mut writer = stream.try_clone().ok()?;
                send(&mut writer, "POST", "/x/y", &fields, &body, true)?;
                let mut reader = BufReader::with_capacity(512, stream);
                let status = read_head(&mut reader)?.status();
                if !reads_slowly { sleep_ms(8_000) }
                Some(status)
            };
            let status = one();
            *statuses.lock().unwrap().entry(status.unwrap_or(0)).or_default() += 1;
            sleep_ms(200 + below(300));
        })
    }).collect();
    let pid = fleet.fronts[0].child.id();
    let mut most = 0;
    let mut unanswered = 0;
    let mut ended = false;
    while Instant::now() < end {
        sleep_ms(500);
        let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let kb = text.lines().find_map(|l| l.strip_prefix("VmRSS:")).and_then(|v| v.trim().split(' ').next()?.parse::<u64>().ok()).unwrap_or(0);
        most = most.max(kb);
        if !is_ready(fleet.ready[0]) { unanswered += 1 }
        ended |= fleet.fronts[0].has_ended();
    }
    for client in clients { let _ = client.join(); }
    fleet.stop();
    eprintln!("slow {kind}: most {} MB resident, limit 160; ended {ended}; not ready {unanswered} times of 50; {:?}", most / 1024, statuses.lock().unwrap());
    if most > 160 * 1024 || ended { 1 } else { 0 }
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let _: HashSet<u8> = HashSet::new();
    let _ = AtomicBool::new(false);
    seed(unix_ms() ^ (u64::from(std::process::id()) << 32));
    let net = 10 + (std::process::id() % 200) as u8;
    let number = |at: usize, default: u64| arguments.get(at).and_then(|a| a.parse().ok()).unwrap_or(default);
    let code = match arguments.first().map(String::as_str) {
        Some("fuzz") => fuzz(net, number(1, 20), number(2, 3), arguments.get(3).map_or("", String::as_str)),
        Some("silence") => silence(net, std::env::var("TROUBLE").as_deref() != Ok("0")),
        Some("taken-back") => taken_back(net, std::env::var("TROUBLE").as_deref() != Ok("0")),
        Some("rollout") => rollout(net, std::env::var("TROUBLE").as_deref() != Ok("0"), 40, false),
        Some("rollout-load") => rollout(net, std::env::var("TROUBLE").as_deref() != Ok("0"), number(1, 40), true),
        Some("slow") => slow(net, arguments.get(1).map_or("replicas", String::as_str)),
        _ => 2,
    };
    std::process::exit(code);
}
