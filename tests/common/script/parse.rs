//! The text of a script, read into typed steps.

use std::path::PathBuf;

use super::pattern::message_bytes;
use crate::common::config_files::{
    chat_config, configuration, file, platform_config, platform_config_with_discovery, port,
};

/// Stands for the test's loopback addresses in a script.
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
    /// Waits for a line of the router's log.
    WaitForLog(String),
    /// Replaces the router's configuration file.
    Configure(Configuration),
    /// Reports another state of an endpoint on the watch.
    ChangeEndpoint {
        /// The endpoint's name.
        name: String,
        /// Its new state.
        state: String,
    },
    /// Lets a peer do something.
    Peer {
        /// The peer's name.
        name: String,
        /// What it does.
        action: PeerAction,
    },
    /// Lists counters that the router logs at its end, each with its value.
    ExpectCounters(Vec<String>),
}

/// What a script's configuration file becomes.
pub(super) enum Configuration {
    /// A text that is no configuration.
    Malformed,
    /// One with another peer as discovery.
    Discovery(String),
}

/// What a peer of the router does.
pub(super) enum PeerAction {
    /// Sends bytes on its present connection, or on its first one.
    Send(Vec<u8>),
    /// Waits until one of its connections has received exactly this; goes on with that one.
    Expect(Vec<u8>),
    /// Closes its present connection.
    Close,
    /// Goes on with an earlier connection, by its index.
    SwitchTo(usize),
    /// Waits until the router has closed its present connection.
    ExpectClosed,
}

/// A step and the heading that failures show.
pub(super) struct TitledStep {
    /// The step's number, from 1, and its heading.
    pub(super) title: String,
    /// The step.
    pub(super) step: Step,
}

/// The API that a script's clients use.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Api {
    /// The platform's API.
    Platform,
    /// The platform's API where endpoints may be health checked.
    PlatformWithHealthChecks,
    /// The chat API.
    Chat,
}

impl Api {
    /// The port of its listener.
    pub(super) fn port(self) -> u32 {
        match self {
            Api::Platform | Api::PlatformWithHealthChecks => 8_081,
            Api::Chat => 8_090,
        }
    }

    /// Writes the configuration of a router that serves it.
    pub(super) fn write_configuration(self, base: &str, endpoints: &[&str]) -> PathBuf {
        match self {
            Api::Platform => platform_config(base),
            Api::PlatformWithHealthChecks => {
                configuration(base, &[("\"mayProbe\": false", "\"mayProbe\": true")])
            }
            Api::Chat => chat_config(base, endpoints, ""),
        }
    }
}

/// The head line of a script: the API, then the endpoints, as in `platform r1 w1` or `chat s1 s2`.
pub(super) struct Setup<'a> {
    /// The API.
    pub(super) api: Api,
    /// The names: `!w1` is on the list and does not listen; `d` is discovery itself, played by the script.
    pub(super) names: Vec<&'a str>,
}

impl<'a> Setup<'a> {
    /// Reads the first line of a script that is no comment.
    pub(super) fn parse(script: &'a str) -> Self {
        let head = script.lines().find(|line| !line.starts_with('#')).expect("a head line");
        let (api, names) = head.split_once(' ').expect("an API and its endpoints");
        let api = match api {
            "platform" => Api::Platform,
            "probing" => Api::PlatformWithHealthChecks,
            _ => Api::Chat,
        };
        Setup { api, names: names.split(' ').collect() }
    }

    /// Whether the script plays discovery itself.
    pub(super) fn scripts_discovery(&self) -> bool {
        self.names.contains(&"d")
    }
}

/// Reads the steps of a script for a router at these addresses.
pub(super) fn steps(script: &str, base: &str) -> Vec<TitledStep> {
    let templates = sections(include_str!("../../exchanges/templates.txt"));
    let read = |(index, section): (usize, &Section)| {
        let title = format!("step {} ({})", index + 1, section.heading);
        let lines = expand(&section.lines, &templates);
        let lines: Vec<_> = lines.iter().map(|line| line.replace(BASE_PLACEHOLDER, base)).collect();
        let step = parse_step(&section.heading, &lines, &title);
        TitledStep { title, step }
    };
    sections(script).iter().enumerate().map(read).collect()
}

/// Writes the configuration that a step asks for.
pub(super) fn write_configuration(base: &str, configuration: &Configuration) {
    match configuration {
        Configuration::Malformed => {
            file(base, "config.json", "{\"name\":");
        }
        Configuration::Discovery(name) => {
            platform_config_with_discovery(base, port(name));
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

/// Replaces each line `@name argument...` by the template of that name, with its arguments for `$1`, `$2` and so on.
fn expand(lines: &[String], templates: &[Section]) -> Vec<String> {
    lines.iter().flat_map(|line| expand_line(line, templates)).collect()
}

fn expand_line(line: &str, templates: &[Section]) -> Vec<String> {
    let Some(call) = line.strip_prefix('@') else { return vec![line.to_owned()] };
    let words: Vec<_> = call.split(' ').collect();
    let template = templates.iter().find(|template| template.heading == words[0]).expect("a known template");
    let fill = |template_line: &String| {
        let arguments = words.iter().enumerate().skip(1);
        arguments
            .fold(template_line.clone(), |text, (number, word)| text.replace(&format!("${number}"), word))
    };
    template.lines.iter().map(fill).collect()
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
            let (name, state) = rest.split_once(' ').expect("an endpoint and its state");
            Step::ChangeEndpoint { name: name.to_owned(), state: state.to_owned() }
        }
        name => Step::Peer { name: name.to_owned(), action: parse_peer_action(rest, lines, title) },
    }
}

fn parse_peer_action(verb: &str, lines: &[String], title: &str) -> PeerAction {
    if let Some(number) = verb.strip_prefix("is on ") {
        return PeerAction::SwitchTo(number.parse::<usize>().expect("a connection") - 1);
    }
    match verb {
        "sends" => PeerAction::Send(message_bytes(lines)),
        "gets" => PeerAction::Expect(message_bytes(lines)),
        "closes" => PeerAction::Close,
        "is closed" => PeerAction::ExpectClosed,
        other => panic!("{title}: unknown verb {other}"),
    }
}
