use prost::Message;

use super::{DiskFolder, Result, StorageError};

const MAGIC: u32 = 0x5356_4631;
const FORMAT: u32 = 1;
const HEADER_BYTES: usize = 16;

/// Ending of a file that is not whole yet.
pub(super) const TEMPORARY_ENDING: &str = ".tmp";

/// Writes a whole file so that after a crash it is there entirely or not at all.
pub(super) fn write<F: DiskFolder>(
    folder: &mut F,
    name: &str,
    message: &impl Message,
) -> Result<()> {
    let temporary = format!("{name}{TEMPORARY_ENDING}");
    let step = |action, result| {
        let failed = |error| StorageError::io(action, name, error);
        std::result::Result::map_err(result, failed)
    };
    step("create", folder.create(&temporary))?;
    step("write", folder.write_at(&temporary, 0, &encode(message)))?;
    step("sync", folder.sync(&temporary))?;
    step("rename", folder.rename(&temporary, name))?;
    step("sync the name of", folder.sync_folder())
}

/// Reads a file that [`write`] made.
pub(super) fn read<M: Message + Default>(folder: &impl DiskFolder, name: &str) -> Result<M> {
    let failed = |error| StorageError::io("read", name, error);
    let bytes = folder.read(name).map_err(failed)?;
    decode(name, &bytes)
}

fn encode(message: &impl Message) -> Vec<u8> {
    let payload = message.encode_to_vec();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&MAGIC.to_le_bytes());
    bytes.extend_from_slice(&FORMAT.to_le_bytes());
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    let checksum = crc32c::crc32c_append(crc32c::crc32c(&bytes), &payload);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(&payload);
    bytes
}

fn decode<M: Message + Default>(name: &str, bytes: &[u8]) -> Result<M> {
    let damaged = |offset| StorageError::damaged(name, offset);
    let header = bytes.get(..HEADER_BYTES).ok_or_else(|| damaged(0))?;
    let payload = &bytes[HEADER_BYTES..];
    let checksum = crc32c::crc32c_append(crc32c::crc32c(&header[..12]), payload);
    let is_whole = word(header, 0) == MAGIC && word(header, 2) as usize == payload.len();
    if !is_whole || word(header, 3) != checksum {
        return Err(damaged(0));
    }
    let format = word(header, 1);
    if format != FORMAT {
        return Err(StorageError::UnsupportedFormat {
            file: name.to_string(),
            found: format,
            known: FORMAT,
        });
    }
    M::decode(payload).map_err(|_| damaged(HEADER_BYTES))
}

fn word(header: &[u8], place: usize) -> u32 {
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&header[place * 4..place * 4 + 4]);
    u32::from_le_bytes(bytes)
}
