use super::*;

/// Guards against values that take memory and are not counted.
#[test]
fn every_value_counts() {
    assert_eq!(count_values(br#"["","",""]"#), 4);
    assert_eq!(count_values(br#"{"a":1,"b":[2,3]}"#), 7);
    assert_eq!(count_values(b"[[[[[["), 7);
}

/// Guards against prose that is refused for its commas.
#[test]
fn signs_inside_texts_are_no_values() {
    assert_eq!(count_values(br#"{"input":"a, b: [c] {d}"}"#), 3);
    assert_eq!(count_values(br#"["say \"a, b\", c\\", ","]"#), 3);
}

/// Guards against a text without end, which is counted as if it had one.
#[test]
fn a_text_without_end_is_one_value() {
    assert_eq!(count_values(br#"["a,b,c"#), 2);
    assert_eq!(count_values(br#"["a\"#), 2);
}

/// Guards against lists of small texts that take more than they are counted for.
#[test]
fn small_texts_take_no_more_than_counted() {
    let json = format!("[{}\"\"]", "\"x\",".repeat(1_000));
    let texts: Vec<String> = serde_json::from_str(&json).expect("a list");
    let blocks: usize = texts.iter().map(|text| text.capacity().max(32)).sum();
    let taken = texts.capacity() * size_of::<String>() + blocks;
    assert!(taken <= parsed_size(json.as_bytes()));
}
