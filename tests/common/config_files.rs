//! Configuration files and loopback addresses, private to one test.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// The port of discovery at each test's addresses.
const DISCOVERY_PORT: u32 = 8_500;

/// A prefix of loopback addresses that no other test uses.
pub(crate) fn address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let pid = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("127.{}.{}.{number}", 16 + pid / 250 % 200, 1 + pid % 250)
}

/// The folder of a test's files.
pub(crate) fn folder(base: &str) -> PathBuf {
    std::env::temp_dir().join(format!("inference-router-{base}"))
}

/// Writes a file for one test.
pub(crate) fn file(base: &str, name: &str, text: &str) -> PathBuf {
    let folder = folder(base);
    std::fs::create_dir_all(&folder).expect("a folder for the test");
    let path = folder.join(name);
    std::fs::write(&path, text).expect("a file for the test");
    path
}

/// A path as a command line argument.
pub(crate) fn path_argument(path: &Path) -> &str {
    path.to_str().expect("a plain path")
}

/// The port of an endpoint or of another stub.
pub(crate) fn port(name: &str) -> u32 {
    name.bytes().fold(9_000, |sum, byte| sum + u32::from(byte))
}

/// An endpoint's entry in the endpoint list; names that begin with `r` are prefill endpoints, others decode endpoints.
pub(crate) fn endpoint_entry(base: &str, name: &str, state: &str) -> String {
    let kind = if name.starts_with('r') { "prefill" } else { "decode" };
    let address = format!("{base}:{}", port(name));
    format!(
        r#"{{"id":"{name}","addr":"{address}","zone":"sejong-1","kind":"{kind}","cell":1,"state":"{state}","weight":1.0,"started_ms":0}}"#
    )
}

/// One message of the endpoint list: a snapshot (`full`) or a delta.
pub(crate) fn endpoint_list(version: u64, full: bool, entries: &[String]) -> String {
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}

/// The platform's configuration of a router at these addresses.
pub(crate) fn platform_config(base: &str) -> PathBuf {
    platform_config_with_discovery(base, DISCOVERY_PORT)
}

/// The same with discovery at another port.
pub(crate) fn platform_config_with_discovery(base: &str, discovery_port: u32) -> PathBuf {
    let settings = include_str!("../exchanges/settings.json");
    let text = format!(
        r#"{{"name":"n1","listen":"{base}:8081","discovery":"{base}:{discovery_port}","seed":"1f",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"settings":{settings}}}"#
    );
    file(base, "config.json", &text)
}

/// The same with parts of its text replaced: pairs of an old text, which it must contain, and its successor.
pub(crate) fn configuration(base: &str, replacements: &[(&str, &str)]) -> PathBuf {
    let path = platform_config(base);
    let mut text = std::fs::read_to_string(&path).expect("the file just written");
    for (old, new) in replacements {
        assert!(text.contains(old), "no {old} in the settings");
        text = text.replace(old, new);
    }
    file(base, "config.json", &text)
}

/// The operator's file for the chat API of a router at these addresses, with these endpoints and more text at its end.
pub(crate) fn chat_config(base: &str, endpoints: &[&str], more: &str) -> PathBuf {
    let example =
        include_str!("../../deploy/chat.example.toml").replace("127.0.0.1:8090", &format!("{base}:8090"));
    let (head, tail) = example.split_once("[[servers]]").expect("servers in the example");
    let (_, tail) = tail.split_once("[[classes]]").expect("classes in the example");
    let section =
        |name: &&str| format!("[[servers]]\nname = \"{name}\"\naddress = \"{base}:{}\"\n", port(name));
    let sections: String = endpoints.iter().map(section).collect();
    file(base, "chat.toml", &format!("{head}{sections}[[classes]]{tail}\n{more}"))
}
