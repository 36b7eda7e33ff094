//! Reading of lists in which elements are broken.

use kingcupgrade::util::json::{find_members, read_list, read_value};
use serde::Deserialize;

#[derive(Debug, Deserialize)]
struct Item {
    id: String,
    slots: u32,
}

fn item(id: &str) -> String {
    format!(r#"{{"id":"{id}","slots":6,"models":[{{"name":"m"}},{{"name":"n"}}]}}"#)
}

/// Reads a list of an item, an element of other bytes and two further items; returns the ids that
/// were read, the number of unreadable elements and what follows the list.
fn read_around(broken: &[u8]) -> (Vec<String>, usize, Option<Vec<u8>>) {
    let mut text = format!("[{},", item("a")).into_bytes();
    text.extend_from_slice(broken);
    text.extend_from_slice(format!(", {},\n{}], rest", item("b"), item("c")).as_bytes());
    let read = read_list::<Item>(&text).expect("a list");
    assert!(read.elements.iter().all(|item| item.slots == 6));
    let ids = read.elements.into_iter().map(|item| item.id).collect();
    (ids, read.unreadable, read.rest.map(<[u8]>::to_vec))
}

fn assert_others_hold(broken: &[u8]) {
    let (ids, unreadable, rest) = read_around(broken);
    let shown = String::from_utf8_lossy(broken);
    assert_eq!(ids, ["a", "b", "c"], "around {shown}");
    assert_eq!(unreadable, 1, "around {shown}");
    assert_eq!(rest.as_deref(), Some(&b", rest"[..]), "around {shown}");
}

/// Guards against an element that makes a parser refuse the whole text, though its end is plain: all
/// others would be lost with it.
#[test]
fn an_element_that_is_complete_but_unreadable_hides_no_other() {
    assert_others_hold(b"{\"id\":\"x\",\"slots\":1,\"version\":\"Stra\xdfe\"}");
    assert_others_hold(br#"{"id":"x","slots":1,"version":"\ud800"}"#);
    assert_others_hold(br#"{"id":"x","slots":1,"load":1e999}"#);
    assert_others_hold(br#"{"id":"x","slots":-1}"#);
    assert_others_hold(br#"{"id":7}"#);
    assert_others_hold(b"17");
    assert_others_hold(b"null");
    let deep = [b"[".repeat(500), b"]".repeat(500)].concat();
    assert_others_hold(&[br#"{"id":"x","slots":1,"deep":"#, deep.as_slice(), b"}"].concat());
}

/// Guards against an element whose end can't be found, so that it seems to contain the others.
#[test]
fn an_element_without_an_end_hides_no_other() {
    assert_others_hold(br#"{"id":"x","slots":1"#);
    assert_others_hold(br#"{"id":"x"#);
    assert_others_hold(br#"{"id":"x","slots":[1"#);
    assert_others_hold(br#"{"id":"x","slots":{"a":1"#);
    assert_others_hold(br#"{"id":"x","models":[{"name":"m"},{"name":"#);
    assert_others_hold(br#"{"id":"x","slots":1}}"#);
    assert_others_hold(b"{\"id\":\"x\ny\",\"slots\":1}");
    assert_others_hold(b"\xff\xfe\x00");
    assert_others_hold(b"no JSON");
}

/// Guards against a broken last element that makes a list seem to have ended: what follows would be
/// taken for the rest of the page.
#[test]
fn a_list_that_is_cut_off_has_no_end() {
    for broken in [&br#"{"id":"x"#[..], b"{", br#"{"id":"x","slots":[1"#] {
        let text = [format!("[{},", item("a")).as_bytes(), broken].concat();
        let read = read_list::<Item>(&text).expect("a list");
        assert_eq!((read.elements.len(), read.unreadable, read.rest), (1, 1, None));
    }
    assert!(read_list::<Item>(br#"{"id":"a"}"#).is_none());
}

/// Guards against a text that is all broken and takes a process as long as its length squared.
#[test]
fn a_text_without_any_element_is_read_in_bounded_time() {
    let text = [b"[".to_vec(), br#",{"a":[1"#.repeat(500_000)].concat();
    let began = std::time::Instant::now();
    let read = read_list::<Item>(&text).expect("a list");
    assert_eq!((read.elements.len(), read.rest), (0, None));
    assert!(began.elapsed().as_secs() < 10, "took {:?}", began.elapsed());
}

#[test]
fn members_are_found_by_name() {
    let text = br#"{"next" : null, "list": ["next"], "next":"p-2"}"#;
    let values: Vec<_> = find_members(text, "next").map(read_value).collect();
    assert_eq!(values, [Some(serde_json::Value::Null), Some("p-2".into())]);
    assert!(find_members(b"", "next").next().is_none());
}
