//! Converts the lines of a message in a script to bytes, and matches received bytes against them.

/// The bytes of a `noise` line, which are not valid HTTP.
const NOISE: &str = "\u{1}\u{13}n\0ise\u{7f}";

/// Returns whether a text matches the pattern. `*` matches any bytes up to the end of a line.
pub(super) fn matches_pattern(pattern: &[u8], text: &[u8]) -> bool {
    match pattern.split_first() {
        None => text.is_empty(),
        Some((b'*', rest)) => {
            let line = text.iter().position(|&byte| byte == b'\n').unwrap_or(text.len());
            (0..=line).any(|skipped| matches_pattern(rest, &text[skipped..]))
        }
        Some((byte, rest)) => {
            text.split_first().is_some_and(|(first, more)| first == byte && matches_pattern(rest, more))
        }
    }
}

/// Returns the bytes of a message. Its lines are `body:` and `chunk:` lines, in which `\n` is a line end,
/// `repeat N:` lines, `noise`, and header lines, in which `{len}` is replaced with the length of the body.
pub(super) fn message_bytes(lines: &[String]) -> Vec<u8> {
    let body_length: usize = lines.iter().filter_map(|line| body_text(line)).map(|body| body.len()).sum();
    let mut text = String::new();
    for line in lines {
        text += &encode_line(line, body_length);
    }
    text.into_bytes()
}

fn encode_line(line: &str, body_length: usize) -> String {
    if let Some(text) = body_text(line) {
        return text;
    }
    if let Some(text) = line.strip_prefix("chunk:") {
        let text = unescape_line_ends(text.trim_start());
        return format!("{:X}\r\n{text}\r\n", text.len());
    }
    if line == "noise" {
        return NOISE.to_owned();
    }
    if let Some((times, text)) = line.strip_prefix("repeat ").and_then(|rest| rest.split_once(": ")) {
        return text.repeat(times.parse().expect("expected a number after `repeat`"));
    }
    line.replace("{len}", &body_length.to_string()) + "\r\n"
}

fn body_text(line: &str) -> Option<String> {
    line.strip_prefix("body: ").map(unescape_line_ends)
}

fn unescape_line_ends(text: &str) -> String {
    text.replace("\\n", "\n")
}
