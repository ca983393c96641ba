use super::*;

#[test]
fn plain_values_stay_bare() {
    assert_eq!(LogValue("entry-1").to_string(), "entry-1");
}

#[test]
fn values_that_would_split_are_quoted() {
    assert_eq!(LogValue("no such pool").to_string(), "\"no such pool\"");
    assert_eq!(LogValue("a=b").to_string(), "\"a=b\"");
    assert_eq!(LogValue("").to_string(), "\"\"");
    assert_eq!(LogValue("two\nlines").to_string(), "\"two\\nlines\"");
}
