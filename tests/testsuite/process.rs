//! Process termination, and the log lines that report its cause.

use std::{env, panic, process::Command, thread, time::Duration};

use anyhow::anyhow;
use kingcup_support::{engine::EngineConfig, wait_until};
use kingcupgrade::util::process;
use serde_json::Value;

use crate::support::{LoadGenerator, TIMEOUT, start};

/// The environment variable that makes the test binary end in a given way, as a child process.
const TERMINATION: &str = "KINGCUP_TEST_TERMINATION";

fn terminate_by(termination: &str) {
    let result = process::run_logged(|| match termination {
        "error" => Err(anyhow!("the address is taken")),
        "panic" => panic!("a list is empty"),
        "thread" => {
            let thread = process::spawn_essential("control", || panic!("a list is empty"))?;
            // The panic of an essential thread terminates the process.
            thread.join().map_err(|_| anyhow!("the thread's panic reached its parent"))?;
            thread::sleep(Duration::from_secs(20));
            Ok(())
        }
        _ => Ok(()),
    });
    std::process::exit(i32::from(result.is_err()));
}

/// Runs a process that ends in the given way; returns its log lines and its exit code.
fn run_child(termination: &str) -> (Vec<Value>, Option<i32>) {
    let executable = env::current_exe().expect("the path of the test binary");
    let name = "process::the_last_line_of_a_process_tells_why_it_ended";
    let child = Command::new(executable)
        .args(["--exact", name, "--nocapture"])
        .env(TERMINATION, termination)
        .output();
    let child = child.expect("a child process");
    let text = String::from_utf8_lossy(&child.stdout);
    let lines = text.lines().filter_map(|line| serde_json::from_str(line).ok());
    (lines.collect(), child.status.code())
}

/// Guards against an instance of kingcupd that ends without a word when its terminal is closed, or
/// when its shell ends while it is stopped: the kernel then sends SIGHUP, and its callers are cut off.
#[test]
fn a_hang_up_does_not_end_an_instance() {
    let world = start(&["north"], 1, &EngineConfig::default()).with_documents();
    let entry = "entry-north-0";
    let callers = LoadGenerator::start("kept", world.fleet.entry(entry), "alder", 2, 5);
    assert!(callers.wait_for(3));
    world.fleet.signal(entry, "HUP");
    let is_logged = || world.fleet.log(entry).contains("hang-up-ignored");
    assert!(wait_until(TIMEOUT, is_logged), "the signal is not logged");
    assert!(callers.wait_for(10), "nothing is served after the signal");
    let answers = callers.finish();
    assert!(answers.iter().all(|(asked, answer)| answer.is_complete_for(asked)));
}

/// Guards against a restart without a known cause: a process that fails or panics and logs nothing
/// about it.
#[test]
fn the_last_line_of_a_process_tells_why_it_ended() {
    if let Ok(termination) = env::var(TERMINATION) {
        panic::set_hook(Box::new(|_| {}));
        terminate_by(&termination);
    }
    let cases = [
        ("success", None, 0),
        ("error", Some("the address is taken"), 1),
        ("panic", Some("panicked: a list is empty"), 1),
        ("thread", Some("thread control panicked: a list is empty"), 70),
    ];
    for (case, cause, status) in cases {
        let (lines, code) = run_child(case);
        let last = lines.last().unwrap_or_else(|| panic!("{case}: no log line"));
        assert_eq!((&last["event"], code), (&Value::from("ended"), Some(status)), "{case}: {last}");
        assert_eq!(last["fields"]["cause"], cause.map_or(Value::Null, Value::from), "{case}");
        let panics = lines.iter().filter(|line| line["event"] == "panicked").count();
        assert_eq!(panics, usize::from(case == "panic" || case == "thread"), "{case}");
    }
}
