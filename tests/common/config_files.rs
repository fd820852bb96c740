//! Configuration files and loopback addresses for tests. Each test has its own, so that tests can run in
//! parallel.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// Port of the discovery stub at a test's loopback address.
const DISCOVERY_PORT: u32 = 8_500;

/// Returns a loopback address that no other test uses. It is the `base` of the other functions.
pub(crate) fn loopback_address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let pid = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("127.{}.{}.{number}", 16 + pid / 250 % 200, 1 + pid % 250)
}

/// Returns the path of a test's directory.
pub(crate) fn test_dir(base: &str) -> PathBuf {
    std::env::temp_dir().join(format!("inference-router-{base}"))
}

/// Writes a file in the test's directory, and returns its path.
pub(crate) fn write_test_file(base: &str, name: &str, text: &str) -> PathBuf {
    let directory = test_dir(base);
    std::fs::create_dir_all(&directory).expect("failed to create the test directory");
    let path = directory.join(name);
    std::fs::write(&path, text).expect("failed to write the test file");
    path
}

pub(crate) fn path_argument(path: &Path) -> &str {
    path.to_str().expect("path is not valid UTF-8")
}

/// Returns the port of the endpoint or stub with this name, derived from the name.
pub(crate) fn stub_port(name: &str) -> u32 {
    name.bytes().fold(9_000, |sum, byte| sum + u32::from(byte))
}

/// Returns an entry of the endpoint list. Endpoints whose names start with `r` are prefill endpoints, others
/// are decode endpoints.
pub(crate) fn endpoint_entry(base: &str, name: &str, state: &str) -> String {
    let kind = if name.starts_with('r') { "prefill" } else { "decode" };
    let address = format!("{base}:{}", stub_port(name));
    format!(
        r#"{{"id":"{name}","addr":"{address}","zone":"sejong-1","kind":"{kind}","cell":1,"state":"{state}","weight":1.0,"started_ms":0}}"#
    )
}

/// Returns a snapshot of the endpoint list if `full` is set, otherwise a delta.
pub(crate) fn endpoint_list(version: u64, full: bool, entries: &[String]) -> String {
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}

/// Writes the platform's configuration for a router at this address.
pub(crate) fn platform_config(base: &str) -> PathBuf {
    platform_config_with_discovery(base, DISCOVERY_PORT)
}

/// As [`platform_config`], with discovery at the given port.
pub(crate) fn platform_config_with_discovery(base: &str, discovery_port: u32) -> PathBuf {
    let settings = include_str!("../exchanges/settings.json");
    let text = format!(
        r#"{{"name":"n1","listen":"{base}:8081","discovery":"{base}:{discovery_port}","seed":"1f",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"settings":{settings}}}"#
    );
    write_test_file(base, "config.json", &text)
}

/// As [`platform_config`], with text replacements: pairs of an old text, which must occur, and a new one.
pub(crate) fn platform_config_with_replacements(base: &str, replacements: &[(&str, &str)]) -> PathBuf {
    let path = platform_config(base);
    let mut text = std::fs::read_to_string(&path).expect("failed to read the configuration");
    for (old, new) in replacements {
        assert!(text.contains(old), "{old} not found in the configuration");
        text = text.replace(old, new);
    }
    write_test_file(base, "config.json", &text)
}

/// Writes the operator's file for the chat API of a router at this address, with these endpoints and `more`
/// appended.
pub(crate) fn chat_config(base: &str, endpoints: &[&str], more: &str) -> PathBuf {
    let example =
        include_str!("../../deploy/chat.example.toml").replace("127.0.0.1:8090", &format!("{base}:8090"));
    let (head, tail) = example.split_once("[[servers]]").expect("no [[servers]] in the example");
    let (_, tail) = tail.split_once("[[classes]]").expect("no [[classes]] in the example");
    let section =
        |name: &&str| format!("[[servers]]\nname = \"{name}\"\naddress = \"{base}:{}\"\n", stub_port(name));
    let sections: String = endpoints.iter().map(section).collect();
    write_test_file(base, "chat.toml", &format!("{head}{sections}[[classes]]{tail}\n{more}"))
}
