//! The `explain` command: the history of a request, from the logs of all processes.

use std::{fs, path::PathBuf};

use kingcupgrade::ops;

fn write(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("kingcup-explain-{}-{name}", std::process::id()));
    fs::write(&path, text).expect("a log");
    path
}

/// Guards against lines of a request that are missed, out of order or mixed with those of another
/// request, when one log has collector prefixes and is truncated in the middle of a line. The line
/// that decided the outcome is named, and unreadable lines are counted and hide no others.
#[test]
fn the_lines_of_a_request_are_joined_over_all_logs() {
    let first = write(
        "first",
        "  1.0 entry-1 {\"unix_ms\":30,\"level\":\"info\",\"event\":\"refused\",\"fields\":{\"request\":\"id-7\",\"code\":4002}}\n\
         {\"unix_ms\":20,\"level\":\"info\",\"event\":\"placed\",\"fields\":{\"request\":\"id-70\"}}\n\
         {\"unix_ms\":31,\"lev",
    );
    let second = write(
        "second",
        "{\"unix_ms\":10,\"level\":\"info\",\"event\":\"placed\",\"fields\":{\"request\":\"id-7\",\"upstream\":\"i-1\"}}\n\n\
         {\"unix_ms\":12,\"level\":\"warn\",\"event\":\"answer-of-another-request\",\"fields\":[\"i-1\",\"id-7\",\"id-9\"]}\n\
         no line of ours\n",
    );
    let explanation = ops::explain("id-7", [&first, &second]).expect("logs that can be read");
    let events: Vec<&str> = explanation.lines.iter().map(|line| line.event.as_str()).collect();
    assert_eq!(events, ["placed", "answer-of-another-request", "refused"]);
    assert_eq!(explanation.deciding, Some(2));
    assert_eq!(explanation.unreadable, 2);
    for path in [first, second] {
        fs::remove_file(path).expect("a log");
    }
}

/// Guards against a missing log file that is silently skipped: without its lines the explanation
/// may be wrong.
#[test]
fn a_log_that_is_not_there_is_an_error() {
    let err = ops::explain("id-7", ["/nowhere/at/all.log"]).expect_err("no such log");
    assert!(format!("{err:#}").contains("/nowhere/at/all.log"), "{err:#}");
}
