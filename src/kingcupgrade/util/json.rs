//! Reading of JSON lists in which some elements can't be read.
//!
//! A list that several programs write is worth what its sound elements say. A parser of the whole
//! text fails at the first byte that is wrong, so each element is delimited and decoded by itself.

use serde::de::{DeserializeOwned, IgnoredAny};
use serde_json::{Deserializer, Value};

/// The maximum length of an element after a broken one, in bytes: it bounds the work of looking for
/// one in what may be no JSON at all.
const MAX_RECOVERED_LEN: usize = 16 << 10;
/// The maximum number of places in a list that are tried as the beginning of such an element.
const MAX_CANDIDATES: usize = 500;

/// The elements of a JSON list that could be read.
#[derive(Debug)]
pub struct ReadElements<'a, T> {
    /// The elements that could be decoded, in their order.
    pub elements: Vec<T>,
    /// The number of elements that could not.
    pub unreadable: usize,
    /// What follows the list; `None` if its end was not found, because it is cut off or its last
    /// element is broken.
    pub rest: Option<&'a [u8]>,
}

/// Reads the list of objects at the start of a text; returns `None` if there is no list.
///
/// An element that is complete in itself but can't be decoded is skipped: it has a member of another
/// type, a number out of range or bytes that are not UTF-8. If the end of an element can't be found,
/// reading goes on with the next object that can be decoded and stands where an element may begin.
pub fn read_list<T: DeserializeOwned>(text: &[u8]) -> Option<ReadElements<'_, T>> {
    let mut reader = ListReader {
        text: trim(text).strip_prefix(b"[")?,
        elements: Vec::new(),
        unreadable: 0,
        candidates: 0,
    };
    let rest = reader.read_all();
    Some(ReadElements { elements: reader.elements, unreadable: reader.unreadable, rest })
}

/// Returns what follows the name and colon of each member of that name in a JSON text, at any depth.
pub fn find_members<'a>(
    text: &'a [u8],
    name: &str,
) -> impl DoubleEndedIterator<Item = &'a [u8]> + use<'a> {
    let quoted = format!("\"{name}\"");
    let value_at = move |start: usize| {
        let rest = text[start..].strip_prefix(quoted.as_bytes())?;
        trim(rest).strip_prefix(b":").map(trim)
    };
    (0..text.len()).filter_map(value_at)
}

/// Reads the value at the start of a text, and ignores what follows it.
pub fn read_value(text: &[u8]) -> Option<Value> {
    Deserializer::from_slice(text).into_iter().next()?.ok()
}

struct ListReader<'a, T> {
    /// What has not been read yet.
    text: &'a [u8],
    elements: Vec<T>,
    unreadable: usize,
    /// The number of places that were tried after broken elements.
    candidates: usize,
}

impl<'a, T: DeserializeOwned> ListReader<'a, T> {
    /// Reads all elements; returns what follows the end of the list.
    fn read_all(&mut self) -> Option<&'a [u8]> {
        loop {
            self.text = trim(self.text);
            match self.text.first()? {
                b']' => return Some(&self.text[1..]),
                b',' => self.text = &self.text[1..],
                _ => self.read_element(),
            }
        }
    }

    fn read_element(&mut self) {
        let element = delimit(self.text);
        // An element that does not end as one may contain those after it.
        match element.filter(|element| ends_element(&self.text[element.len()..])) {
            Some(element) => {
                self.text = &self.text[element.len()..];
                match decode(element) {
                    Some(decoded) => self.elements.push(decoded),
                    None => self.unreadable += 1,
                }
            }
            None => {
                self.unreadable += 1;
                self.recover();
            }
        }
    }

    /// Reads the next object that can be decoded, or moves on to the end of the text.
    fn recover(&mut self) {
        let text = std::mem::take(&mut self.text);
        let mut is_after_comma = false;
        for (position, byte) in text.iter().enumerate().skip(1) {
            if *byte == b'{' && is_after_comma && self.candidates < MAX_CANDIDATES {
                self.candidates += 1;
                let end = text.len().min(position + MAX_RECOVERED_LEN);
                let element = delimit(&text[position..end]);
                if let Some((element, decoded)) = element.and_then(|e| Some((e, decode(e)?))) {
                    self.elements.push(decoded);
                    self.text = &text[position + element.len()..];
                    return;
                }
            }
            is_after_comma = *byte == b',' || (is_after_comma && byte.is_ascii_whitespace());
        }
    }
}

/// Returns the JSON value at the start of a text, whatever bytes its strings contain.
fn delimit(text: &[u8]) -> Option<&[u8]> {
    let mut values = Deserializer::from_slice(text).into_iter::<IgnoredAny>();
    values.next()?.ok()?;
    Some(&text[..values.byte_offset()])
}

/// Decodes an element that can be read in full.
fn decode<T: DeserializeOwned>(element: &[u8]) -> Option<T> {
    let value: Value = serde_json::from_slice(element).ok()?;
    serde_json::from_value(value).ok()
}

fn ends_element(rest: &[u8]) -> bool {
    matches!(trim(rest).first(), Some(b',' | b']'))
}

fn trim(text: &[u8]) -> &[u8] {
    text.trim_ascii_start()
}
