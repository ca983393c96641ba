use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// A stamp, in milliseconds since 1970, as a time in UTC.
pub fn time_text(stamp_ms: u64) -> String {
    let nanoseconds = i128::from(stamp_ms) * 1_000_000;
    let time = OffsetDateTime::from_unix_timestamp_nanos(nanoseconds);
    let text = time.ok().and_then(|time| time.format(&Rfc3339).ok());
    text.unwrap_or_else(|| format!("{stamp_ms} ms"))
}
