//! How processes end, as their logs tell it.

use std::{env, panic, process::Command, thread, time::Duration};

use anyhow::anyhow;
use kingcupgrade::util::process;
use serde_json::Value;

/// Names the way in which the test's own child process ends.
const WAY: &str = "KINGCUP_TEST_WAY_TO_END";

fn end_by(way: &str) {
    let ended = process::run_logged(|| match way {
        "error" => Err(anyhow!("the address is taken")),
        "panic" => panic!("a list is empty"),
        "thread" => {
            let thread = process::spawn_essential("control", || panic!("a list is empty"))?;
            // The thread ends the process.
            thread.join().map_err(|_| anyhow!("the thread's panic came through"))?;
            thread::sleep(Duration::from_secs(20));
            Ok(())
        }
        _ => Ok(()),
    });
    std::process::exit(i32::from(ended.is_err()));
}

/// Returns the lines of a process that ends in a way, and its status.
fn lines_of(way: &str) -> (Vec<Value>, Option<i32>) {
    let itself = env::current_exe().expect("the path of the tests");
    let name = "process::the_last_line_of_a_process_tells_why_it_ended";
    let child = Command::new(itself).args(["--exact", name, "--nocapture"]).env(WAY, way).output();
    let child = child.expect("a child process");
    let text = String::from_utf8_lossy(&child.stdout);
    let lines = text.lines().filter_map(|line| serde_json::from_str(line).ok());
    (lines.collect(), child.status.code())
}

/// Guards against a restart that nobody can explain: a process that failed or panicked and wrote no
/// line about it.
#[test]
fn the_last_line_of_a_process_tells_why_it_ended() {
    if let Ok(way) = env::var(WAY) {
        panic::set_hook(Box::new(|_| {}));
        end_by(&way);
    }
    let cases = [
        ("told", None, 0),
        ("error", Some("the address is taken"), 1),
        ("panic", Some("panicked: a list is empty"), 1),
        ("thread", Some("thread control panicked: a list is empty"), 70),
    ];
    for (way, cause, status) in cases {
        let (lines, code) = lines_of(way);
        let last = lines.last().unwrap_or_else(|| panic!("{way}: no line"));
        assert_eq!((&last["event"], code), (&Value::from("ended"), Some(status)), "{way}: {last}");
        assert_eq!(last["fields"]["cause"], cause.map_or(Value::Null, Value::from), "{way}");
        let panics = lines.iter().filter(|line| line["event"] == "panicked").count();
        assert_eq!(panics, usize::from(way == "panic" || way == "thread"), "{way}");
    }
}
