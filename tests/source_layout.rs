//! Size limits of the source files, and the dependencies that the scheduler may have.

use std::path::{Path, PathBuf};

/// Maximum lines of a file in `src`.
const MAX_FILE_LINES: usize = 350;
/// Maximum non-blank lines of a file in `src/scheduler`.
const MAX_SCHEDULER_LINES: usize = 260;
/// Maximum columns of a line in `src/scheduler`.
const MAX_SCHEDULER_COLUMNS: usize = 110;
/// What the scheduler may not use: I/O, clocks, async runtimes, sources of randomness, and collections with a
/// random iteration order. The time and all other input are passed in by the caller. `std::{` is forbidden
/// because a grouped import would hide some of these from the search.
const FORBIDDEN_IN_SCHEDULER: [&str; 25] = [
    "std::{",
    "std::env",
    "std::fs",
    "std::io",
    "std::net",
    "std::os",
    "std::process",
    "std::thread",
    "std::time",
    "tokio",
    "tokio_rustls",
    "hyper",
    "hyper_util",
    "rustls",
    "async_std",
    "smol",
    "SystemTime",
    "Instant",
    "rand",
    "fastrand",
    "getrandom",
    "RandomState",
    "HashMap",
    "HashSet",
    "async",
];

fn package_root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// All files in a directory and its subdirectories, sorted.
fn source_files(directory: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(directory).expect("source directory is readable") {
        let path = entry.expect("directory entry is readable").path();
        if path.is_dir() {
            files.extend(source_files(&path));
        } else {
            files.push(path);
        }
    }
    files.sort();
    files
}

/// Whether a line of code contains a path or a name, alone or as part of a longer path, but not within
/// another name.
fn contains_path(line: &str, path: &str) -> bool {
    let is_identifier_char = |character: char| character.is_alphanumeric() || character == '_';
    line.match_indices(path).any(|(start, _)| {
        let before = line[..start].chars().next_back();
        let after = line[start + path.len()..].chars().next();
        let ends_within_name = path.ends_with(is_identifier_char) && after.is_some_and(is_identifier_char);
        !before.is_some_and(is_identifier_char) && !ends_within_name
    })
}

/// A message for each use of something in `text` that the scheduler may not use, with the line number.
fn forbidden_uses(text: &str) -> Vec<String> {
    let mut found = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let code = line.split("//").next().unwrap_or_default();
        let mut forbidden: Vec<_> =
            FORBIDDEN_IN_SCHEDULER.into_iter().filter(|path| contains_path(code, path)).collect();
        if code.replace("crate::scheduler", "").contains("crate::") {
            forbidden.push("another module of the crate");
        }
        for path in forbidden {
            found.push(format!("{path} in line {}: {}", index + 1, line.trim()));
        }
    }
    found
}

#[test]
fn source_files_stay_within_the_line_limit() {
    let files = source_files(&package_root().join("src"));
    assert!(files.len() > 1, "expected several source files in src");
    let mut too_long = Vec::new();
    for path in files {
        let lines = std::fs::read_to_string(&path).expect("source file is readable as UTF-8").lines().count();
        if lines > MAX_FILE_LINES {
            too_long.push(format!("{lines} lines in {}", path.display()));
        }
    }
    assert!(too_long.is_empty(), "files with more than {MAX_FILE_LINES} lines: {too_long:#?}");
}

#[test]
fn scheduler_files_stay_within_the_line_and_column_limits() {
    let mut files = 0;
    for path in source_files(&package_root().join("src/scheduler")) {
        let text = std::fs::read_to_string(&path).expect("source file is readable as UTF-8");
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MAX_SCHEDULER_LINES, "{lines} non-blank lines in {}", path.display());
        files += 1;
        let widest = text.lines().map(|line| line.chars().count()).max().unwrap_or(0);
        assert!(widest <= MAX_SCHEDULER_COLUMNS, "a line of {widest} columns in {}", path.display());
    }
    assert!(files > 1, "expected several source files in src/scheduler");
}

#[test]
fn scheduler_uses_no_io_clock_or_randomness() {
    let files = source_files(&package_root().join("src/scheduler"));
    assert!(files.len() > 1, "expected several source files in src/scheduler");
    for path in files {
        let found =
            forbidden_uses(&std::fs::read_to_string(&path).expect("source file is readable as UTF-8"));
        assert!(found.is_empty(), "{}: {found:#?}", path.display());
    }
}

#[test]
fn forbidden_uses_finds_every_form_of_import() {
    for line in [
        "use std::time::Duration;",
        "use std::{collections::BTreeMap, time};",
        "    let now = ::std::time::Instant::now();",
        "use tokio::time;",
        "pub(crate) use hyper as http;",
        "use rand::Rng; // drawn from the system",
        "use crate::clock::Clock;",
    ] {
        assert!(!forbidden_uses(line).is_empty(), "{line}");
    }
    for line in [
        "use std::collections::BTreeMap;",
        "use crate::scheduler::ids::Micros;",
        "/// Not an Instant.",
        "let operand = strand;",
    ] {
        assert_eq!(forbidden_uses(line), Vec::<String>::new(), "{line}");
    }
}

#[test]
fn deploy_file_lists_every_scheduler_file() {
    let deploy = std::fs::read_to_string(package_root().join("deploy/balancer.toml"))
        .expect("deploy/balancer.toml is readable");
    for path in source_files(&package_root().join("src/scheduler")) {
        let relative = path.strip_prefix(package_root()).expect("file is below the package root");
        let name = format!("\"{}\"", relative.to_str().expect("path is valid UTF-8"));
        assert!(deploy.contains(&name), "deploy/balancer.toml does not list {name}");
    }
}
