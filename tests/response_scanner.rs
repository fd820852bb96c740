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

/// Scans a response in pieces that end at these positions. Returns the number of bytes up to the excess, if
/// there is any.
fn scan(response: &str, ends: impl IntoIterator<Item = usize>) -> Option<usize> {
    let mut scanner = ResponseScanner::default();
    scanner.start_response(MAX_SIZE);
    let mut start = 0;
    for end in ends {
        if let Err(ResponseTooLarge { valid_bytes }) = scanner.scan(&response.as_bytes()[start..end]) {
            assert!(scanner.is_too_large());
            return Some(start + valid_bytes);
        }
        start = end;
    }
    assert!(!scanner.is_too_large());
    None
}

// Guards against a size that is overlooked because of where the bytes were split when they arrived.
#[test]
fn a_response_is_found_too_large_at_the_same_byte_however_it_is_split() {
    let mut rng = Rng::with_seed(SEED);
    for (response, excess) in responses() {
        let length = response.len();
        let expected = excess.map(|excess| response.rfind(excess).expect("the excess is in the response"));
        assert_eq!(scan(&response, [length]), expected, "{response:?} at once");
        assert_eq!(scan(&response, 1..=length), expected, "{response:?} byte by byte");
        for _ in 0..RANDOM_SPLITS {
            let mut ends: Vec<_> = (1..length).filter(|_| rng.u32(..8) == 0).collect();
            ends.push(length);
            assert_eq!(scan(&response, ends.iter().copied()), expected, "{response:?} split at {ends:?}");
        }
    }
}

#[test]
fn a_scanner_starts_anew_with_each_response() {
    let mut scanner = ResponseScanner::default();
    for _ in 0..3 {
        scanner.start_response(MAX_SIZE);
        let response = format!("{CHUNKED}14\r\nabcdefghijklmnopqrst\r\n0\r\n\r\n");
        assert_eq!(scanner.scan(response.as_bytes()), Ok(()));
        // What arrives behind a response is not scanned.
        assert_eq!(scanner.scan(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"), Ok(()));
    }
}
