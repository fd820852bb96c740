//! Follows the framing of a connection's responses, limits their size and removes chunk extensions.
//!
//! hyper accepts chunks and lengths of any size, does not report the size of a chunk, and rejects a response
//! whose chunk extensions have more than 16 KiB in total. The scanner therefore inspects the bytes first. It
//! finds a response that is too large when its size is announced, as the bytes may take arbitrarily long to
//! arrive.

use httparse::{EMPTY_HEADER, Response, Status};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// Maximum number of bytes kept of an incomplete head. hyper rejects such a head before.
const MAX_RETAINED_HEAD_SIZE: usize = 32 * 1024;
/// Maximum number of headers in a head, as in hyper, which rejects heads with more.
const MAX_HEADERS: usize = 100;
/// Chunk sizes are hexadecimal.
const CHUNK_SIZE_RADIX: u32 = 16;

/// Maximum size of the extension of one chunk, in bytes. A chunk with a longer one ends the response.
const MAX_EXTENSION_SIZE: usize = 16 * 1024;

/// A response is larger than its limit, or announces that it will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the response exceeds its maximum size")]
pub struct ResponseTooLarge {
    /// Number of bytes left of those that precede the excess.
    pub valid_bytes: usize,
}

/// Position in the byte stream of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    /// Within a response head.
    Head,
    /// Within the digits of a chunk's size, which form this number so far.
    ChunkSize(u64),
    /// Behind the digits of a chunk's size, within the same line.
    ChunkSizeEnd(u64),
    /// Within a chunk extension, in the line with this size.
    ChunkExtension(u64),
    /// Within the data of a chunk, of which this number of bytes is left.
    ChunkData(u64),
    /// Between the data of a chunk and the next size.
    ChunkEnd,
    /// Within a body that ends with the connection.
    UnknownLength,
    /// Where nothing has to be checked: before the first request, in a body of known length, in trailers,
    /// behind a response, or behind bytes that hyper rejects.
    #[default]
    Unchecked,
    /// Behind the maximum size of the response.
    TooLarge,
}

/// Bytes that were scanned, of which there are this many.
enum Scanned {
    /// They are passed on.
    Kept(usize),
    /// They belong to a chunk extension.
    Removed(usize),
}

/// Scans the responses of a connection, one after another.
#[derive(Debug, Default)]
pub struct ResponseScanner {
    position: Position,
    /// The bytes of the current head.
    head: Vec<u8>,
    /// Number of chunks of the current response whose size has been received, without the last chunk.
    chunks: u64,
    /// Number of bytes of the current chunk extension.
    extension_size: usize,
    /// Number of bytes by which the body of the current response may still grow.
    remaining: u64,
}

impl ResponseScanner {
    /// Starts to scan the response to the next request, whose body may have up to `max_size` bytes.
    pub fn start_response(&mut self, max_size: u64) {
        *self =
            ResponseScanner { position: Position::Head, remaining: max_size, ..ResponseScanner::default() };
    }

    /// Returns whether the current response has been found to be too large.
    pub fn is_too_large(&self) -> bool {
        self.position == Position::TooLarge
    }

    /// Returns the index within its response, from 0, of the chunk of which data is missing. Returns `None` if
    /// there is none, as between chunks.
    pub fn incomplete_chunk(&self) -> Option<u64> {
        match self.position {
            Position::ChunkData(_) => Some(self.chunks - 1),
            _ => None,
        }
    }

    /// Scans received bytes and removes chunk extensions. Returns the number of bytes that are left at the
    /// start of `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is too large.
    pub fn scan(&mut self, bytes: &mut [u8]) -> Result<usize, ResponseTooLarge> {
        let mut scanned = 0;
        let mut kept = 0;
        while scanned < bytes.len() {
            match self.advance(&bytes[scanned..]) {
                Scanned::Kept(length) => {
                    if kept < scanned {
                        bytes.copy_within(scanned..scanned + length, kept);
                    }
                    scanned += length;
                    kept += length;
                }
                Scanned::Removed(length) => scanned += length,
            }
            if self.is_too_large() {
                return Err(ResponseTooLarge { valid_bytes: kept });
            }
        }
        Ok(kept)
    }

    /// Scans the first of these bytes. Their number is 0 only if the position changes.
    fn advance(&mut self, bytes: &[u8]) -> Scanned {
        let kept = match self.position {
            Position::Head => self.scan_head(bytes),
            Position::ChunkSize(size) => self.scan_chunk_size(size, bytes[0]),
            Position::ChunkSizeEnd(size) => self.scan_chunk_size_end(size, bytes[0]),
            Position::ChunkExtension(size) => return Scanned::Removed(self.scan_extension(size, bytes[0])),
            Position::ChunkData(left) => self.scan_chunk_data(left, bytes.len()),
            Position::ChunkEnd => {
                if bytes[0] == b'\n' {
                    self.position = Position::ChunkSize(0);
                }
                1
            }
            Position::UnknownLength => self.scan_unknown_length(bytes.len()),
            Position::Unchecked => bytes.len(),
            Position::TooLarge => 0,
        };
        Scanned::Kept(kept)
    }

    /// Scans bytes of a head. Returns how many of them belong to it.
    fn scan_head(&mut self, bytes: &[u8]) -> usize {
        let earlier_bytes = self.head.len();
        self.head.extend_from_slice(bytes);
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let mut response = Response::new(&mut headers);
        match response.parse(&self.head) {
            Ok(Status::Complete(head_bytes)) => {
                self.position = position_after_head(&response, self.remaining);
                self.head = Vec::new();
                head_bytes - earlier_bytes
            }
            Ok(Status::Partial) if self.head.len() <= MAX_RETAINED_HEAD_SIZE => bytes.len(),
            Ok(Status::Partial) | Err(_) => {
                self.position = Position::Unchecked;
                self.head = Vec::new();
                bytes.len()
            }
        }
    }

    /// Scans a byte of a chunk's size, whose digits form `size` so far.
    fn scan_chunk_size(&mut self, size: u64, byte: u8) -> usize {
        let Some(digit) = char::from(byte).to_digit(CHUNK_SIZE_RADIX) else {
            self.position = Position::ChunkSizeEnd(size);
            return 0;
        };
        let new_size = size.saturating_mul(CHUNK_SIZE_RADIX.into()).saturating_add(digit.into());
        if new_size > self.remaining {
            self.position = Position::TooLarge;
            return 0;
        }
        self.position = Position::ChunkSize(new_size);
        1
    }

    /// Scans a byte between the size of a chunk and its data.
    fn scan_chunk_size_end(&mut self, size: u64, byte: u8) -> usize {
        match byte {
            b';' => {
                self.position = Position::ChunkExtension(size);
                self.extension_size = 0;
                return 0;
            }
            b'\n' if size == 0 => self.position = Position::Unchecked,
            b'\n' => {
                self.position = Position::ChunkData(size);
                self.chunks += 1;
                self.remaining -= size;
            }
            _ => {}
        }
        1
    }

    /// Scans a byte within a chunk extension or at its end. Returns the number of bytes to remove.
    fn scan_extension(&mut self, size: u64, byte: u8) -> usize {
        if matches!(byte, b'\r' | b'\n') {
            self.position = Position::ChunkSizeEnd(size);
            return 0;
        }
        self.extension_size += 1;
        if self.extension_size > MAX_EXTENSION_SIZE {
            self.position = Position::TooLarge;
        }
        1
    }

    /// Scans data of a chunk that has `left` bytes left.
    fn scan_chunk_data(&mut self, left: u64, available: usize) -> usize {
        let length = clamp_length(available, left);
        let left = left - length as u64;
        self.position = if left == 0 { Position::ChunkEnd } else { Position::ChunkData(left) };
        length
    }

    /// Scans data of a body that ends with the connection.
    fn scan_unknown_length(&mut self, available: usize) -> usize {
        let length = clamp_length(available, self.remaining);
        self.remaining -= length as u64;
        if length < available {
            self.position = Position::TooLarge;
        }
        length
    }
}

/// Returns the lower of a number of available bytes and a limit.
fn clamp_length(available: usize, limit: u64) -> usize {
    usize::try_from(limit).map_or(available, |limit| available.min(limit))
}

/// Returns the position behind a head, given the maximum size of the response's body.
fn position_after_head(response: &Response<'_, '_>, max_size: u64) -> Position {
    match response.code {
        // An interim response, which the final one follows.
        Some(100..=199) => return Position::Head,
        Some(204 | 304) => return Position::Unchecked,
        _ => {}
    }
    if let Some(encodings) = last_header(response, TRANSFER_ENCODING.as_str()) {
        let last_encoding = encodings.rsplit(|&byte| byte == b',').next().unwrap_or_default();
        let is_chunked = last_encoding.trim_ascii().eq_ignore_ascii_case(b"chunked");
        return if is_chunked { Position::ChunkSize(0) } else { Position::UnknownLength };
    }
    let Some(length) = last_header(response, CONTENT_LENGTH.as_str()) else { return Position::UnknownLength };
    let length = std::str::from_utf8(length).ok().and_then(|length| length.trim().parse::<u64>().ok());
    match length {
        Some(length) if length > max_size => Position::TooLarge,
        _ => Position::Unchecked,
    }
}

/// Returns the value of the last header with this name.
fn last_header<'a>(response: &Response<'_, 'a>, name: &str) -> Option<&'a [u8]> {
    let mut headers = response.headers.iter().rev();
    headers.find(|header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value)
}
