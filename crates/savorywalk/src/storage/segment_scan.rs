use prost::Message;

use super::{Result, StorageError};
use crate::consensus::LogFrame;

const SEGMENT_MAGIC: u32 = 0x5356_5331;
const FRAME_MAGIC: u32 = 0x5356_4652;
const MARKER_MAGIC: u32 = 0x5356_4d4b;
const FORMAT: u32 = 1;

/// Bytes before the first frame of a segment.
pub(super) const SEGMENT_HEADER_BYTES: usize = 20;

const FRAME_HEADER_BYTES: usize = 20;

/// What one segment holds.
#[derive(Debug, Default)]
pub(super) struct SegmentScan {
    pub(super) frames: Vec<LogFrame>,
    /// Number of the last frame; 0 when there is none.
    pub(super) last_sequence: u64,
    /// Length of the part that is whole.
    pub(super) whole_bytes: usize,
    /// False when bytes follow that a crash left behind.
    pub(super) is_clean: bool,
    /// False when the crash came before the header was there.
    pub(super) has_header: bool,
}

/// The first bytes of segment `number`.
pub(super) fn encode_header(number: u64) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(SEGMENT_HEADER_BYTES);
    bytes.extend_from_slice(&SEGMENT_MAGIC.to_le_bytes());
    bytes.extend_from_slice(&FORMAT.to_le_bytes());
    bytes.extend_from_slice(&number.to_le_bytes());
    let checksum = crc32c::crc32c(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

/// One frame of segment `number`.
pub(super) fn encode_frame(number: u64, sequence: u64, frame: &LogFrame) -> Vec<u8> {
    let payload = frame.encode_to_vec();
    let mut bytes = encode_head(FRAME_MAGIC, number, sequence, &payload);
    bytes.extend_from_slice(&payload);
    bytes
}

/// Says that frame `sequence` is synced; the next frame is written over it.
///
/// It is not synced itself. While it stands, damage of the frame before it
/// can't be taken for a write that a crash cut short.
pub(super) fn encode_marker(number: u64, sequence: u64) -> Vec<u8> {
    encode_head(MARKER_MAGIC, number, sequence, &[])
}

fn encode_head(magic: u32, number: u64, sequence: u64, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&magic.to_le_bytes());
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&sequence.to_le_bytes());
    let checksum = checksum(number, &bytes, payload);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

fn checksum(number: u64, head: &[u8], payload: &[u8]) -> u32 {
    let seed = crc32c::crc32c(&number.to_le_bytes());
    crc32c::crc32c_append(crc32c::crc32c_append(seed, head), payload)
}

/// Reads segment `number`; `first` is the number its first frame must have,
/// when that is known. Damage before anything whole is an error; whole frames
/// followed by an unfinished one are not.
pub(super) fn scan(
    name: &str,
    number: u64,
    bytes: &[u8],
    first: Option<u64>,
) -> Result<SegmentScan> {
    let mut scan = SegmentScan::default();
    if !has_header(name, number, bytes)? {
        if has_piece_after(number, bytes, 0, 0) {
            return Err(StorageError::damaged(name, 0));
        }
        return Ok(scan);
    }
    scan.has_header = true;
    scan.whole_bytes = SEGMENT_HEADER_BYTES;
    let mut expected = first;
    while let Some(piece) = read_piece(number, bytes, scan.whole_bytes) {
        if piece.magic == MARKER_MAGIC {
            break;
        }
        let is_next = expected.is_none_or(|expected| expected == piece.sequence);
        let frame = LogFrame::decode(piece.payload).ok().filter(|_| is_next);
        let frame = frame.ok_or_else(|| StorageError::damaged(name, scan.whole_bytes))?;
        scan.frames.push(frame);
        scan.last_sequence = piece.sequence;
        scan.whole_bytes += FRAME_HEADER_BYTES + piece.payload.len();
        expected = Some(piece.sequence + 1);
    }
    scan.is_clean = scan.whole_bytes == bytes.len();
    let after = expected.unwrap_or(0);
    if !scan.is_clean && has_piece_after(number, bytes, scan.whole_bytes, after) {
        return Err(StorageError::damaged(name, scan.whole_bytes));
    }
    Ok(scan)
}

fn has_header(name: &str, number: u64, bytes: &[u8]) -> Result<bool> {
    let Some(header) = bytes.get(..SEGMENT_HEADER_BYTES) else {
        return Ok(false);
    };
    let is_sound = word(header, 0) == SEGMENT_MAGIC
        && word(header, 16) == crc32c::crc32c(&header[..16])
        && long(header, 8) == number;
    if !is_sound {
        return Ok(false);
    }
    match word(header, 4) {
        FORMAT => Ok(true),
        found => Err(StorageError::UnsupportedFormat {
            file: name.to_string(),
            found,
            known: FORMAT,
        }),
    }
}

/// Whether a whole frame or marker numbered `from` or later stands after `offset`.
fn has_piece_after(number: u64, bytes: &[u8], offset: usize, from: u64) -> bool {
    let places = offset..bytes.len();
    places
        .filter_map(|place| read_piece(number, bytes, place))
        .any(|piece| piece.sequence >= from)
}

/// A frame or a marker.
struct SegmentPiece<'a> {
    magic: u32,
    sequence: u64,
    payload: &'a [u8],
}

fn read_piece(number: u64, bytes: &[u8], offset: usize) -> Option<SegmentPiece<'_>> {
    let rest = bytes.get(offset..)?;
    let head = rest.get(..FRAME_HEADER_BYTES)?;
    let magic = word(head, 0);
    if magic != FRAME_MAGIC && magic != MARKER_MAGIC {
        return None;
    }
    let length = word(head, 4) as usize;
    let payload = rest.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES.checked_add(length)?)?;
    let is_whole = word(head, 16) == checksum(number, &head[..16], payload);
    is_whole.then(|| SegmentPiece {
        magic,
        sequence: long(head, 8),
        payload,
    })
}

fn word(bytes: &[u8], offset: usize) -> u32 {
    let mut word = [0; 4];
    word.copy_from_slice(&bytes[offset..offset + 4]);
    u32::from_le_bytes(word)
}

fn long(bytes: &[u8], offset: usize) -> u64 {
    let mut long = [0; 8];
    long.copy_from_slice(&bytes[offset..offset + 8]);
    u64::from_le_bytes(long)
}
