//! Requests without their ends, to an entry and to a control instance.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use kingcup_support::{
    caller::Caller,
    crowd::{AfterClose, Crowd, Script, announced_body, chunked_body, unended_head},
    engine::{Engine, EngineConfig, Prompt},
    fleet::{Fleet, InstancePlan, Program, document, token},
    plain_service::PlainService,
    platform::{FakeUpstream, Platform},
    wait_until,
};

/// Upper bound on each wait, far above the expected time.
const TIMEOUT: Duration = Duration::from_secs(40);
/// How long callers may take to send what they will.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(120);
/// The memory of an instance, in bytes.
const MEMORY: u64 = 128 << 20;
/// The default of the longest body of a request.
const BODY_LEN: usize = 1 << 20;
const ENTRY: &str = "entry";
const CONTROL: &str = "control";

/// Held by the test that runs: one at a time, also after one has failed.
static ALONE: Mutex<()> = Mutex::new(());

/// A fleet of an entry, a control instance and a plain service.
struct SmallFleet {
    fleet: Fleet,
    /// Serves for as long as the value lives.
    _platform: Platform,
    _alone: MutexGuard<'static, ()>,
}

impl SmallFleet {
    fn start(max_requests: usize) -> SmallFleet {
        SmallFleet::start_with("max_requests: 2000", &format!("max_requests: {max_requests}"))
    }

    /// Starts a fleet whose entry has a line of the settings replaced.
    fn start_with(line: &str, replacement: &str) -> SmallFleet {
        let alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
        let platform = Platform::start(Duration::from_millis(200));
        let plain = PlainService::start(Duration::from_millis(20));
        platform.add(
            "orders-1",
            "orders",
            "north",
            plain.address(),
            FakeUpstream::Plain(plain.clone()),
        );
        let engine = Engine::start(EngineConfig {
            token_time: Duration::from_millis(1),
            ..EngineConfig::default()
        });
        let address = engine.address();
        platform.add("tutor-1", "tutor", "north", address, FakeUpstream::Engine(engine));
        let plans = [InstancePlan::entry(ENTRY, "north"), InstancePlan::control(CONTROL, "north")];
        let daemon = Program::daemon(env!("CARGO_BIN_EXE_kingcupd"));
        let mut fleet = Fleet::prepare(daemon, &plans, &platform, false).expect("a fleet");
        let path = fleet.settings_path(ENTRY).to_owned();
        let text = fs::read_to_string(&path).expect("settings");
        assert!(text.contains(line), "{line}: {text}");
        fs::write(&path, text.replace(line, replacement)).expect("settings");
        for plan in &plans {
            fleet.start_instance(&plan.instance).expect("an instance");
        }
        let limits = "limits: {deadline_ms: 8000, silence_ms: 6000}\n";
        let services = [("orders", "plain-service", 8), ("tutor", "model-engine", 2)];
        for (service, kind, slots) in services {
            let rest = format!("slots: {{cold: {slots}, warm: 8}}\n{limits}");
            let text = document(service, kind, &[("alder", 1), ("birch", 1)], &rest);
            let is_applied = || fleet.apply(service, 0, &text).is_ok();
            assert!(wait_until(TIMEOUT, is_applied), "the document is not applied");
            fleet.wait_for_dispatchers(service).expect("a dispatcher");
        }
        let small = SmallFleet { fleet, _platform: platform, _alone: alone };
        assert!(small.is_served(), "the first request is not answered");
        small
    }

    /// Returns whether an ordinary request with a body is answered.
    fn is_served(&self) -> bool {
        let caller = Caller::new(&token("birch"));
        let body = "x".repeat(20 << 10);
        let entry = self.fleet.entry(ENTRY);
        wait_until(TIMEOUT, || caller.post(entry, "/orders/list", &body, None).status == 200)
    }

    /// Returns whether an ordinary request to the engine is answered.
    fn is_prompt_served(&self) -> bool {
        let caller = Caller::new(&token("birch"));
        let prompt =
            Prompt { id: "ordinary".to_owned(), organisation: "birch".to_owned(), tokens: 4 };
        let entry = self.fleet.entry(ENTRY);
        wait_until(TIMEOUT, || caller.prompt(entry, "tutor", &prompt).is_complete_for(&prompt))
    }

    /// Lets a crowd send all it will to an instance, asks for ordinary service while it holds on and
    /// afterwards, and checks the instance's memory.
    fn assert_withstands(&self, instance: &str, crowd: Crowd) {
        self.assert_withstands_within(MEMORY, instance, crowd);
    }

    fn assert_withstands_within(&self, limit: u64, instance: &str, crowd: Crowd) {
        let (mut memory, mut is_alive) = (0, true);
        let mut sample = || match self.fleet.usage(instance) {
            Some(usage) if usage.memory > 0 => memory = usage.memory.max(memory),
            _ => is_alive = false,
        };
        let is_settled = wait_until(SETTLE_TIMEOUT, || {
            sample();
            crowd.wait_until_settled(Duration::ZERO)
        });
        assert!(is_settled, "the crowd is not done");
        let is_served = self.is_served();
        sample();
        drop(crowd);
        assert!(self.is_served(), "no ordinary request is answered afterwards");
        println!("at most {} MB", memory >> 20);
        assert!(is_alive, "the process has ended");
        assert!(memory < limit, "{memory} bytes of {limit}");
        assert!(is_served, "no ordinary request is answered while the crowd holds on");
    }
}

/// Returns a request whose answer has 26 MB, far more than the kernel holds for a connection.
fn long_prompt(entry: SocketAddr) -> Vec<u8> {
    let prompt = Prompt { id: "x".repeat(64 << 10), organisation: "alder".to_owned(), tokens: 400 };
    let body = serde_json::to_string(&prompt).expect("a prompt");
    let head = request_head(entry).replace("/orders/list", "/tutor/generate");
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn request_head(entry: SocketAddr) -> String {
    format!(
        "POST /orders/list HTTP/1.1\r\nHost: {entry}\r\nAuthorization: Bearer {}\r\n",
        token("alder")
    )
}

/// Guards against an entry whose memory is filled by bodies that stop short of their end.
#[test]
fn bodies_without_their_end_are_withstood() {
    let small = SmallFleet::start(2_000);
    let entry = small.fleet.entry(ENTRY);
    let bytes = announced_body(&request_head(entry), BODY_LEN, BODY_LEN - 1);
    small.assert_withstands(ENTRY, Crowd::start(entry, 160, bytes, AfterClose::Leave));
}

/// Guards against an entry in which each byte of a body takes many times its size.
#[test]
fn chunks_of_one_byte_are_withstood() {
    let small = SmallFleet::start(2_000);
    let entry = small.fleet.entry(ENTRY);
    let bytes = chunked_body(&request_head(entry), 64 << 10, 1);
    small.assert_withstands(ENTRY, Crowd::start(entry, 48, bytes, AfterClose::Leave));
}

/// Guards against callers that stop short of their end and take the places of all requests.
#[test]
fn bodies_without_their_end_take_no_place_of_ordinary_requests() {
    let small = SmallFleet::start(16);
    let entry = small.fleet.entry(ENTRY);
    let bytes = announced_body(&request_head(entry), 1_000, 999);
    small.assert_withstands(ENTRY, Crowd::start(entry, 64, bytes, AfterClose::ComeAgain));
}

/// Guards against an entry whose memory is filled by heads that don't end.
#[test]
fn heads_without_end_are_withstood() {
    let small = SmallFleet::start_with("body_memory_mb: 64", "body_memory_mb: 16");
    let entry = small.fleet.entry(ENTRY);
    let bytes = unended_head(&request_head(entry), 35 << 10);
    let crowd = Crowd::start(entry, 2_000, bytes, AfterClose::Leave);
    small.assert_withstands_within(64 << 20, ENTRY, crowd);
}

/// Guards against a head that may take for ever, and against a caller that is cut off without a reason.
#[test]
fn a_head_that_takes_too_long_is_refused() {
    let small = SmallFleet::start(2_000);
    let entry = small.fleet.entry(ENTRY);
    let mut stream = TcpStream::connect(entry).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    stream.write_all(&unended_head(&request_head(entry), 1 << 10)).expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 408 ") && answer.contains("2011"), "{answer:?}");
}

/// Guards against callers that don't read their answers and keep the upstreams' slots for ever.
#[test]
fn answers_that_are_not_read_take_no_slot_of_ordinary_requests() {
    let small = SmallFleet::start(2_000);
    assert!(small.is_prompt_served(), "the first prompt is not answered");
    let entry = small.fleet.entry(ENTRY);
    let script = Script { bytes: long_prompt(entry), ignores_answers: true, ..Script::default() };
    let crowd = Crowd::play(entry, 24, script, AfterClose::Leave);
    assert!(crowd.wait_until_settled(SETTLE_TIMEOUT), "the crowd is not done");
    let is_served = small.is_prompt_served();
    small.assert_withstands(ENTRY, crowd);
    assert!(is_served, "no ordinary prompt is answered while the crowd holds on");
}

/// Guards against a control instance whose memory is filled by operators' requests without their end.
#[test]
fn operators_requests_without_their_end_are_withstood() {
    let small = SmallFleet::start(2_000);
    let operators = small.fleet.operator_address(CONTROL);
    let head = "POST /v1/operator HTTP/1.1\r\nHost: c\r\n";
    let bytes = announced_body(head, 8 << 20, (8 << 20) - 1);
    small.assert_withstands(CONTROL, Crowd::start(operators, 40, bytes, AfterClose::Leave));
}
