//! The scanner of endpoints' responses must find the same, however the bytes are split.

use fastrand::Rng;
use inference_router::upstream::response_scanner::{ResponseScanner, ResponseTooLarge};

/// Maximum size of the bodies in these tests.
const MAX_SIZE: u64 = 20;
/// Number of random ways to split each response.
const RANDOM_SPLITS: usize = 200;
const SEED: u64 = 9;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, Chunked\r\n\r\n";

/// Responses, and the text from which on each is too large, if it is.
fn responses() -> Vec<(String, Option<&'static str>)> {
    let length = |length: &str| format!("HTTP/1.1 200 OK\r\ncontent-length:{length}\r\n\r\n");
    let without_length = |body: &str| format!("HTTP/1.1 200 OK\r\n\r\n{body}");
    vec![
        (format!("{CHUNKED}14\r\nabcdefghijklmnopqrst\r\n0\r\n\r\n"), None),
        (format!("{CHUNKED}A;b=c\r\nabcdefghij\r\n00a \r\nklmnopqrst\r\n0\r\nd: e\r\n\r\n"), None),
        // Neither the data of a chunk nor what follows the last one is taken for a size.
        (format!("{CHUNKED}8\r\nff\r\nff\r\n\r\n0\r\nff\r\nff\r\n"), None),
        // What precedes an extension stays, so that a size that cannot be read is still rejected.
        (format!("{CHUNKED}1x;b=c\r\na\r\n"), None),
        (format!("{CHUNKED};b=c\r\na\r\n"), None),
        (format!("{CHUNKED}15;b=c\r\nabc"), Some("5;b=c\r\nabc")),
        (format!("{CHUNKED}15\r\nabc"), Some("5\r\nabc")),
        (format!("{CHUNKED}b2d05e00\r\nabc"), Some("2d05e00")),
        (format!("{CHUNKED}00000000000000000000b2d05e00\r\nabc"), Some("2d05e00")),
        (format!("{CHUNKED}11\r\nabcdefghijklmnopq\r\n4\r\nrstu\r\n"), Some("4\r\nrstu")),
        (format!("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n{CHUNKED}15\r\nabc"), Some("5\r\nabc")),
        (length(" 20 ") + "abcdefghijklmnopqrstuvw", None),
        (length("21") + "abc", Some("abc")),
        (length("3000000000") + "abc", Some("abc")),
        (without_length("abcdefghijklmnopqrst"), None),
        (without_length("abcdefghijklmnopqrstuvw"), Some("uvw")),
        ("HTTP/1.1 204 No Content\r\n\r\nabcdefghijklmnopqrstuvw".to_owned(), None),
        ("no response at all, but a text that is long enough\r\n\r\nabc".to_owned(), None),
    ]
}

/// Scans a response in pieces that end at these positions. Returns the bytes that are left, and whether the
/// response is too large.
fn scan(response: &str, ends: impl IntoIterator<Item = usize>) -> (String, bool) {
    let mut scanner = ResponseScanner::default();
    scanner.start_response(MAX_SIZE);
    let mut start = 0;
    let mut left = Vec::new();
    for end in ends {
        let mut piece = response.as_bytes()[start..end].to_vec();
        let result = scanner.scan(&mut piece);
        let (Ok(length) | Err(ResponseTooLarge { valid_bytes: length })) = result;
        left.extend_from_slice(&piece[..length]);
        assert_eq!(scanner.is_too_large(), result.is_err());
        if result.is_err() {
            break;
        }
        start = end;
    }
    (String::from_utf8(left).expect("the response is not UTF-8"), scanner.is_too_large())
}

/// Returns what is expected to be left of a response that is too large from `excess` on.
fn expected_result(response: &str, excess: Option<&str>) -> (String, bool) {
    let end = excess.map_or(response.len(), |excess| response.rfind(excess).expect("no such excess"));
    // The only extension in these responses.
    (response[..end].replace(";b=c", ""), excess.is_some())
}

// Guards against a size that is overlooked because of where the bytes were split when they arrived.
#[test]
fn a_response_is_found_too_large_at_the_same_byte_however_it_is_split() {
    let mut rng = Rng::with_seed(SEED);
    for (response, excess) in responses() {
        let length = response.len();
        let expected = expected_result(&response, excess);
        assert_eq!(scan(&response, [length]), expected, "{response:?} at once");
        assert_eq!(scan(&response, 1..=length), expected, "{response:?} byte by byte");
        for _ in 0..RANDOM_SPLITS {
            let mut ends: Vec<_> = (1..length).filter(|_| rng.u32(..8) == 0).collect();
            ends.push(length);
            assert_eq!(scan(&response, ends.iter().copied()), expected, "{response:?} split at {ends:?}");
        }
    }
}

// Guards against an endpoint that counts as one whose chunk does not fit, although it only sends the line end of
// a chunk together with the next chunk.
#[test]
fn a_chunk_is_incomplete_only_while_its_data_is() {
    let mut scanner = ResponseScanner::default();
    scanner.start_response(MAX_SIZE);
    let pieces = [(CHUNKED, None), ("2\r\na", Some(0)), ("b", None), ("\r\n2\r\nc", Some(1)), ("d", None)];
    for (piece, expected) in pieces {
        assert_eq!(scanner.scan(&mut piece.to_owned().into_bytes()), Ok(piece.len()));
        assert_eq!(scanner.incomplete_chunk(), expected, "after {piece:?}");
    }
}

#[test]
fn a_scanner_starts_anew_with_each_response() {
    let mut scanner = ResponseScanner::default();
    for _ in 0..3 {
        scanner.start_response(MAX_SIZE);
        let response = format!("{CHUNKED}14\r\nabcdefghijklmnopqrst\r\n0\r\n\r\n");
        assert_eq!(scanner.scan(&mut response.clone().into_bytes()), Ok(response.len()));
        // What arrives behind a response is not scanned.
        let mut excess = *b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n";
        assert_eq!(scanner.scan(&mut excess), Ok(excess.len()));
    }
}
