//! Finding out afterwards what became of a request.

use std::{fs, path::PathBuf};

use kingcupgrade::ops;

fn write(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("kingcup-explain-{}-{name}", std::process::id()));
    fs::write(&path, text).expect("a log");
    path
}

/// An engineer on call has a request's id and the logs of all processes, one of them cut off in a
/// line and with a collector's words before each. The lines of that request come in order, the one
/// that decided is named, and what can't be read is said and hides nothing.
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

/// A log that is not there must be said: without it the story may be another one.
#[test]
fn a_log_that_is_not_there_is_an_error() {
    let err = ops::explain("id-7", ["/nowhere/at/all.log"]).expect_err("no such log");
    assert!(format!("{err:#}").contains("/nowhere/at/all.log"), "{err:#}");
}
