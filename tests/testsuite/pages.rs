//! Pages that must say what the program does.

use kingcupgrade::core::Code;

// A code added without its line in the table would leave an operator with a bare number.
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
