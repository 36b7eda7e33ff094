//! Documentation pages that must match the code.

use kingcupgrade::core::Code;

// Guards against a code that is added without a row in the table, so that an operator finds no
// explanation of its number.
#[test]
fn the_table_of_codes_is_complete() {
    let page = include_str!("../../docs/CODES.md");
    let rows: Vec<&str> = page.lines().filter(|line| line.starts_with("| K")).collect();
    let expected = Code::ALL.iter().map(|code| {
        let outcome = code.outcome().as_str();
        format!("| K{} | {outcome} | {} | {} |", code.number(), code.status(), code.text())
    });
    assert_eq!(rows, expected.collect::<Vec<_>>());
}
