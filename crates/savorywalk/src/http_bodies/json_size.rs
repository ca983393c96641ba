/// Memory of one value of a JSON text once it is parsed, in bytes, beside its texts: the largest record
/// of a document or an input, divided by the values that it needs at least.
const VALUE_BYTES: usize = 128;

/// Most bytes that a JSON text takes once it is parsed. Values of a few bytes each take many times
/// their size, which a bound on the text alone does not see.
pub(crate) fn parsed_size(json: &[u8]) -> usize {
    count_values(json)
        .saturating_mul(VALUE_BYTES)
        .saturating_add(json.len())
}

/// Counts what separates values outside of texts, so that no value is missed, whether or not the rest
/// is valid.
fn count_values(json: &[u8]) -> usize {
    let mut values = 1;
    let mut bytes = json.iter();
    while let Some(byte) = bytes.next() {
        match byte {
            b',' | b':' | b'[' | b'{' => values += 1,
            b'"' => skip_text(&mut bytes),
            _ => {}
        }
    }
    values
}

/// Skips the rest of a text and the quote that ends it.
fn skip_text<'a>(bytes: &mut impl Iterator<Item = &'a u8>) {
    while let Some(byte) = bytes.next() {
        match byte {
            b'"' => return,
            b'\\' => _ = bytes.next(),
            _ => {}
        }
    }
}

#[cfg(test)]
#[path = "json_size_tests.rs"]
mod tests;
