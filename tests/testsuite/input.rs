//! Invalid input: rejected as a whole, with a numbered error that states place and reason, and
//! without harm to other requests.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    process::Command,
    sync::{Arc, mpsc},
    time::Duration,
};

use insta::assert_snapshot;
use kingcup_support::{
    caller::Caller,
    engine::EngineConfig,
    fleet::{Program, token},
    free_address, wait_until,
};
use kingcupgrade::{
    core::{Document, Settings},
    protocol::{Message, lease::LeaseMessage},
    transport::peers::{PeerConfig, Peers},
};

use crate::support::{TIMEOUT, prompt, start, tutor_document};

fn document_error(text: &str) -> String {
    Document::parse(text).expect_err("a refused document").to_string()
}

fn settings_text() -> String {
    "instance: entry-0\n\
     peers:\n\
     - {instance: entry-0, address: 127.0.0.1:7000, failure_domain: north, roles: [entry]}\n\
     caller_address: 127.0.0.1:7001\n\
     operator_address: 127.0.0.1:7002\n\
     fleet_key: a key that is long enough\n\
     platform_list: http://127.0.0.1:7003/\n"
        .to_owned()
}

fn settings_error(from: &str, to: &str) -> String {
    let text = settings_text();
    assert!(text.contains(from));
    Settings::parse(&text.replace(from, to)).expect_err("refused settings").to_string()
}

// Guards against a document with a mistake that is applied in part: the last of two shares would
// win, or one pattern would shadow another and a deposit could repeat.
#[test]
fn a_wrong_document_is_refused_with_place_and_reason() {
    let digest = "0".repeat(64);
    let with = |organisations: &str, rest: &str| {
        format!(
            "service: tutor\nkind: model-engine\norganisations:\n{organisations}\
             slots: {{cold: 1, warm: 2}}\n{rest}"
        )
    };
    let one = format!("  alder: {{share: 1, token_digests: [{digest:?}]}}\n");
    let errors = [
        document_error(&with(&format!("{one}{one}"), "")),
        document_error(&with("  alder: {share: -1, token_digests: []}\n", "")),
        document_error(&with("  alder: {share: 0, token_digests: []}\n", "")),
        document_error(&with("  al der: {share: 1, token_digests: []}\n", "")),
        document_error(&with("  alder: {share: 1, token_digests: [secret]}\n", "")),
        document_error(&with(&one, "colour: red\n")),
        document_error(&with(
            &one,
            "never_repeat:\n- {method: POST, path: /deposits/*}\n- {method: POST, path: /deposits/new}\n",
        )),
        document_error(&with(&one, "limits: {deadline_ms: 0}\n")),
        document_error(&with("  {}\n", "")),
        document_error("service: [\n"),
    ];
    assert_snapshot!(errors.join("\n"));
}

// Guards against an instance that starts from a settings file with a mistake and behaves in a way
// other than the file states.
#[test]
fn wrong_settings_are_refused_with_place_and_reason() {
    let errors = [
        settings_error("instance: entry-0\npeers", "instance: entry-9\npeers"),
        settings_error("127.0.0.1:7002", "localhost"),
        settings_error("roles: [entry]", "roles: [entrance]"),
        settings_error("roles: [entry]", "roles: [control]"),
        settings_error("a key that is long enough", "short"),
        settings_error("fleet_key", "fleet_keys"),
        settings_error("http://127.0.0.1:7003/", "ftp://there"),
    ];
    assert_snapshot!(errors.join("\n"));
}

/// Sends raw bytes and returns everything that is received.
fn send_raw(entry: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(entry).expect("a connection");
    // The entry may answer and close the connection before it has read everything.
    let _ = stream.write_all(bytes);
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer
}

// Guards against invalid requests that are answered without a code and a reason, or that disturb
// the entry: it must serve the next valid request.
#[test]
fn wrong_requests_are_refused_with_numbers() {
    let harness = start(&["north"], 1, &EngineConfig::default()).with_documents();
    let entry = harness.fleet.entry("entry-north-0");
    let caller = Caller::new(&token("alder"));
    let unauthorized = Caller::new("no such token");
    let large = "x".repeat(2 << 20);
    let long_path = format!("/tutor/{}", "x".repeat(40_000));
    let codes = [
        unauthorized.post(entry, "/tutor/generate", "{}", None).code,
        caller.post(entry, "/nothing/there", "{}", None).code,
        caller.post(entry, "/", "{}", None).code,
        caller.post(entry, "/tutor/generate", &large, None).code,
        caller.post(entry, &long_path, "{}", None).code,
        caller.post(entry, "/orders/deposits", "50", None).code,
        caller.post(entry, "/orders/deposits", "50", Some(&"k".repeat(300))).code,
    ];
    assert_eq!(codes, [2002, 2003, 2001, 2004, 2005, 2006, 2001]);
    let malformed = send_raw(entry, b"this is not HTTP\r\n\r\n");
    assert!(malformed.starts_with("HTTP/1.1 400"), "{malformed}");
    assert!(malformed.to_ascii_lowercase().contains("kingcup-code: 2001"), "{malformed}");
    assert!(malformed.contains("\"outcome\":\"not-run\""), "{malformed}");
    let endless = format!("GET /tutor/ HTTP/1.1\r\nx: {}", "x".repeat(200_000));
    let too_large = send_raw(entry, endless.as_bytes());
    assert!(too_large.to_ascii_lowercase().contains("kingcup-code: 2005"), "{too_large}");
    let asked = prompt("after", "alder", 3);
    assert!(caller.prompt(entry, "tutor", &asked).is_complete_for(&asked));
}

// Guards against a lease message accepted from a peer without the fleet key. The frame is dropped,
// and counted so that the attempt shows in the metrics.
#[test]
fn a_peer_without_the_fleet_key_is_dropped_and_counted() {
    let harness = start(&["north"], 1, &EngineConfig::default()).with_documents();
    let text =
        std::fs::read_to_string(harness.fleet.settings_path("entry-north-0")).expect("settings");
    let mut settings: Settings = Settings::parse(&text).expect("valid settings");
    let target = settings.own_peer().address;
    for peer in &mut settings.peers {
        peer.address =
            if peer.instance.as_str() == "entry-north-0" { target } else { free_address() };
    }
    settings.instance = "control-north".into();
    settings.fleet_key = "another key, just as long".to_owned();
    let (tx, _rx) = mpsc::channel();
    let impostor =
        Peers::start(PeerConfig::of(&Arc::new(settings), tx)).expect("a listening impostor");
    let announcement = Message::Lease(LeaseMessage::Announce { claims: Vec::new() });
    impostor.send(&"entry-north-0".into(), &announcement);
    let is_counted =
        || harness.fleet.metrics("entry-north-0").contains("kingcup_peer_frames_refused 1");
    assert!(wait_until(TIMEOUT, is_counted), "the frame is not counted");
    let asked = prompt("after", "alder", 3);
    let entry = harness.fleet.entry("entry-north-0");
    assert!(Caller::new(&token("alder")).prompt(entry, "tutor", &asked).is_complete_for(&asked));
}

/// Runs the `kingcup` tool; returns its exit code and its combined output.
fn kingcup(fleet: &std::path::Path, args: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_kingcup"))
        .arg("--fleet")
        .arg(fleet)
        .args(args)
        .output()
        .expect("the operator's tool");
    let text = String::from_utf8_lossy(&output.stdout).into_owned()
        + &String::from_utf8_lossy(&output.stderr);
    (output.status.code(), text)
}

// Guards against a step of the operator's tool whose result is not evident from its output and its
// exit code: operators have no other interface.
#[test]
fn the_operators_tool_applies_refuses_and_reports() {
    let harness = start(&["north"], 1, &EngineConfig::default());
    let fleet = harness.fleet.fleet_file().expect("a fleet file");
    let document = fleet.with_file_name("tutor-document.yaml");
    std::fs::write(&document, tutor_document()).expect("a written document");
    let path = document.to_str().expect("a UTF-8 path");
    let steps: [&[&str]; 12] = [
        &["check", path],
        &["apply", path, "--change-id", "first"],
        &["apply", path, "--change-id", "first", "--base", "0"],
        &["apply", path, "--base", "0"],
        &["apply", "/nowhere.yaml"],
        &["domain", "out", "north", "--wait"],
        &["domain", "sideways", "north"],
        &["domain", "out", "nroth"],
        &["domain", "in", "north"],
        &["upstream", "leave", "engine-north"],
        &["get", "nothing"],
        &["member", "remove", "nobody"],
    ];
    let mut report = String::new();
    for step in steps {
        let (code, text) = kingcup(&fleet, step);
        let shown: Vec<&str> =
            step.iter().map(|a| if *a == path { "tutor.yaml" } else { *a }).collect();
        let text = text.replace(path, "tutor.yaml");
        // How long a change took differs from run to run.
        let text: Vec<&str> =
            text.lines().filter(|line| !line.starts_with("in force on")).collect();
        report += &format!("$ kingcup {}\n{}\nexit {code:?}\n", shown.join(" "), text.join("\n"));
    }
    assert_snapshot!(report);
    let (code, status) = kingcup(&fleet, &["status"]);
    assert_eq!(code, Some(0));
    assert!(status.contains("entry-north-0") && status.contains("leads the record"), "{status}");
    assert_eq!(kingcup(&fleet, &["nonsense"]).0, Some(2));
    let data = fleet.with_file_name("control-north.data");
    let (code, text) = kingcup(&fleet, &["verify", data.to_str().expect("a UTF-8 path")]);
    assert_eq!(code, Some(0), "{text}");
    // The control instance still runs after all steps.
    let is_running = || harness.fleet.status("control-north").is_ok();
    assert!(wait_until(Duration::from_secs(5), is_running));
}

// Guards against an entry that stops accepting connections for good after callers have used up its
// file descriptors: it looks healthy and answers nobody. It must serve again once the connections
// are closed. The last descriptor may go to an accepted connection or to another use, so the test
// runs with both an even and an odd limit.
#[test]
fn an_entry_out_of_file_descriptors_serves_again() {
    let mut harness = start(&["north"], 1, &EngineConfig::default()).with_documents();
    let caller = Caller::new(&token("alder"));
    for limit in [64, 65] {
        harness.fleet.kill("entry-north-0");
        let daemon = env!("CARGO_BIN_EXE_kingcupd");
        let limited = format!("ulimit -n {limit}; exec {daemon} \"$@\"");
        let run = vec!["-c".to_owned(), limited, "sh".to_owned()];
        let program = Program { path: "/bin/sh".into(), run, init: Vec::new() };
        harness.fleet.start_instance_with("entry-north-0", &program).expect("a started entry");
        let entry = harness.fleet.entry("entry-north-0");
        let is_served = |id: &str| {
            let asked = prompt(id, "alder", 3);
            caller.prompt(entry, "tutor", &asked).is_complete_for(&asked)
        };
        assert!(wait_until(TIMEOUT, || is_served("before")));
        let failures = || harness.fleet.log("entry-north-0").matches("accept-failed").count();
        let before = failures();
        let connections: Vec<_> = (0..100).filter_map(|_| TcpStream::connect(entry).ok()).collect();
        assert!(wait_until(TIMEOUT, || failures() > before), "the limit was never reached");
        drop(connections);
        assert!(wait_until(TIMEOUT, || is_served("after")), "the entry does not serve again");
    }
}

// Guards against connections that are starved when a load balancer opens many at once and keeps
// them open: each must be served however many others are open, or its requests wait until another
// connection closes.
#[test]
fn connections_opened_at_once_and_held_are_all_served() {
    let harness = start(&["north"], 1, &EngineConfig::default()).with_documents();
    let entry = harness.fleet.entry("entry-north-0");
    // The entry is suspended, so that it finds all connections pending at once when it resumes.
    harness.fleet.signal("entry-north-0", "STOP");
    let mut connections: Vec<_> =
        (0..60).map(|_| TcpStream::connect(entry).expect("a connection")).collect();
    for connection in &mut connections {
        let request = b"GET /nothing HTTP/1.1\r\nHost: entry\r\n\r\n";
        connection.write_all(request).expect("written");
    }
    harness.fleet.signal("entry-north-0", "CONT");
    let is_served = |connection: &mut TcpStream| {
        connection.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
        let mut status = [0; 12];
        connection.read_exact(&mut status).is_ok() && status == *b"HTTP/1.1 404"
    };
    // All connections stay open until the last one has been checked.
    assert!(connections.iter_mut().all(is_served), "a connection waits for others to close");
}
