//! Parses the text of a script into typed steps.

use std::path::PathBuf;

use super::pattern::message_bytes;
use crate::common::config_files::{
    chat_config, platform_config, platform_config_with_discovery, platform_config_with_replacements,
    stub_port, write_test_file,
};

/// Placeholder for the test's loopback address in a script.
const BASE_PLACEHOLDER: &str = "{base}";

/// A heading (`== ...`) and the lines below it.
struct Section {
    heading: String,
    lines: Vec<String>,
}

/// One step of a script.
pub(super) enum Step {
    /// Sends the router a signal.
    Signal(&'static str),
    /// Waits for a line in the router's log.
    WaitForLog(String),
    /// Replaces the router's configuration file.
    Configure(Configuration),
    /// Sends a new state of an endpoint on the watch.
    ChangeEndpoint { name: String, state: String },
    /// Performs an action of a peer.
    Peer { name: String, action: PeerAction },
    /// Expects these counters in the router's log at exit, each with its value.
    ExpectCounters(Vec<String>),
}

/// The configuration that replaces the current one.
pub(super) enum Configuration {
    /// An invalid configuration.
    Malformed,
    /// A configuration with the peer of this name as discovery.
    Discovery(String),
}

/// An action of a peer.
pub(super) enum PeerAction {
    /// Sends bytes on the current connection; opens the first one if there is none.
    Send(Vec<u8>),
    /// Waits until all that a connection has received matches this pattern, and makes it the current
    /// connection.
    Expect(Vec<u8>),
    /// Closes the current connection.
    Close,
    /// Makes the connection with this index the current one.
    SwitchTo(usize),
    /// Waits until the router has closed the current connection.
    ExpectClosed,
}

/// A step and its title for failure messages.
pub(super) struct TitledStep {
    /// The number of the step, starting at 1, and its heading.
    pub(super) title: String,
    pub(super) step: Step,
}

/// The API that the clients in a script use.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Api {
    /// The platform API.
    Platform,
    /// The platform API, with health checks of endpoints enabled.
    PlatformWithHealthChecks,
    Chat,
}

impl Api {
    /// Returns the port on which the router serves this API.
    pub(super) fn port(self) -> u32 {
        match self {
            Api::Platform | Api::PlatformWithHealthChecks => 8_081,
            Api::Chat => 8_090,
        }
    }

    /// Writes the configuration of a router that serves this API, and returns its path.
    pub(super) fn write_configuration(self, base: &str, endpoints: &[&str]) -> PathBuf {
        match self {
            Api::Platform => platform_config(base),
            Api::PlatformWithHealthChecks => {
                platform_config_with_replacements(base, &[("\"mayProbe\": false", "\"mayProbe\": true")])
            }
            Api::Chat => chat_config(base, endpoints, ""),
        }
    }
}

/// The first line of a script: the API and the endpoints, as in `platform r1 w1` or `chat s1 s2`.
pub(super) struct Setup<'a> {
    pub(super) api: Api,
    /// The endpoints. `!w1` is in the endpoint list but does not listen; `d` is discovery as a peer in the
    /// script.
    pub(super) names: Vec<&'a str>,
}

impl<'a> Setup<'a> {
    /// Parses the first line of a script that is not a comment.
    pub(super) fn parse(script: &'a str) -> Self {
        let head = script.lines().find(|line| !line.starts_with('#')).expect("script has no first line");
        let (api, names) = head.split_once(' ').expect("expected an API and its endpoints");
        let api = match api {
            "platform" => Api::Platform,
            "probing" => Api::PlatformWithHealthChecks,
            _ => Api::Chat,
        };
        Setup { api, names: names.split(' ').collect() }
    }

    /// Whether discovery is a peer in the script.
    pub(super) fn has_scripted_discovery(&self) -> bool {
        self.names.contains(&"d")
    }
}

/// Parses the steps of a script for a router at this address.
pub(super) fn parse_steps(script: &str, base: &str) -> Vec<TitledStep> {
    let templates = sections(include_str!("../../exchanges/templates.txt"));
    let parse_section = |(index, section): (usize, &Section)| {
        let title = format!("step {} ({})", index + 1, section.heading);
        let lines = expand(&section.lines, &templates);
        let lines: Vec<_> = lines.iter().map(|line| line.replace(BASE_PLACEHOLDER, base)).collect();
        let step = parse_step(&section.heading, &lines, &title);
        TitledStep { title, step }
    };
    sections(script).iter().enumerate().map(parse_section).collect()
}

/// Writes the configuration that a step specifies.
pub(super) fn write_configuration(base: &str, configuration: &Configuration) {
    match configuration {
        Configuration::Malformed => {
            write_test_file(base, "config.json", "{\"name\":");
        }
        Configuration::Discovery(name) => {
            platform_config_with_discovery(base, stub_port(name));
        }
    }
}

fn sections(text: &str) -> Vec<Section> {
    let mut sections: Vec<Section> = Vec::new();
    for line in text.lines() {
        if let Some(heading) = line.strip_prefix("== ") {
            sections.push(Section { heading: heading.to_owned(), lines: Vec::new() });
        } else if let Some(section) = sections.last_mut() {
            section.lines.push(line.to_owned());
        }
    }
    sections
}

/// Replaces each line `@name argument...` with the template of that name. The arguments replace `$1`, `$2`
/// and so on.
fn expand(lines: &[String], templates: &[Section]) -> Vec<String> {
    lines.iter().flat_map(|line| expand_line(line, templates)).collect()
}

fn expand_line(line: &str, templates: &[Section]) -> Vec<String> {
    let Some(call) = line.strip_prefix('@') else { return vec![line.to_owned()] };
    let words: Vec<_> = call.split(' ').collect();
    let template = templates.iter().find(|template| template.heading == words[0]).expect("unknown template");
    let substitute = |template_line: &String| {
        let arguments = words.iter().enumerate().skip(1);
        arguments
            .fold(template_line.clone(), |text, (number, word)| text.replace(&format!("${number}"), word))
    };
    template.lines.iter().map(substitute).collect()
}

fn parse_step(heading: &str, lines: &[String], title: &str) -> Step {
    let (subject, rest) = heading.split_once(' ').unwrap_or((heading, ""));
    match subject {
        "counters" => Step::ExpectCounters(lines.iter().filter(|line| !line.is_empty()).cloned().collect()),
        "log" => Step::WaitForLog(rest.to_owned()),
        "SIGTERM" => Step::Signal("TERM"),
        "SIGHUP" => Step::Signal("HUP"),
        "configured" if rest == "badly" => Step::Configure(Configuration::Malformed),
        "configured" => Step::Configure(Configuration::Discovery(rest.to_owned())),
        "update" => {
            let (name, state) = rest.split_once(' ').expect("expected an endpoint and its state");
            Step::ChangeEndpoint { name: name.to_owned(), state: state.to_owned() }
        }
        name => Step::Peer { name: name.to_owned(), action: parse_peer_action(rest, lines, title) },
    }
}

fn parse_peer_action(verb: &str, lines: &[String], title: &str) -> PeerAction {
    if let Some(number) = verb.strip_prefix("is on ") {
        return PeerAction::SwitchTo(
            number.parse::<usize>().expect("expected the number of a connection") - 1,
        );
    }
    match verb {
        "sends" => PeerAction::Send(message_bytes(lines)),
        "gets" => PeerAction::Expect(message_bytes(lines)),
        "closes" => PeerAction::Close,
        "is closed" => PeerAction::ExpectClosed,
        other => panic!("{title}: unknown verb {other}"),
    }
}
