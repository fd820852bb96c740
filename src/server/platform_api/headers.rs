//! Parses the headers that describe a request.

use std::rc::Rc;

use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use xxhash_rust::xxh3::xxh3_64;

use super::invalid_request::InvalidRequest;
use crate::config::settings::SettingNames;
use crate::scheduler::{CacheKey, ClassId, Micros, RequestSpec, TenantId};
use crate::server::forwarded_head::ForwardedHead;

const REQUEST_ID: &str = "Request-Id";
const REQUEST_CLASS: &str = "Request-Class";
const REQUEST_TIMEOUT_MS: &str = "Request-Timeout-Ms";
const REQUEST_INFO: &str = "Request-Info";
const TENANT: &str = "Tenant";
const AFFINITY_KEY: &str = "Affinity-Key";
const CLIENT_RETRY: &str = "Client-Retry";

/// Maximum length of a request ID in bytes. IDs are logged and sent to endpoints.
const MAX_ID_LENGTH: usize = 128;
/// Maximum client timeout in milliseconds: one hour, far above the deadline of any class.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// Deducted from the client's timeout, in microseconds, for time spent on the network and in buffers. The
/// client measures from the last byte of its request to the first byte of the response.
const TRANSIT_ALLOWANCE: Micros = 5_000;

/// The parsed headers of a request.
pub(super) struct RequestHead {
    /// Request ID assigned by the client.
    pub(super) id: Rc<str>,
    /// Input of the scheduler's decisions.
    pub(super) spec: RequestSpec,
    /// What is forwarded to endpoints.
    pub(super) forwarded: ForwardedHead,
}

impl RequestHead {
    /// Parses the head of a request.
    ///
    /// # Errors
    ///
    /// Returns an error if a header is missing or malformed, or names a class or tenant that is not in the
    /// settings.
    pub(super) fn parse(head: &Parts, names: &SettingNames) -> Result<Self, InvalidRequest> {
        let id = parse_id(&head.headers)?;
        let spec = parse_spec(&head.headers, names)?;
        let forwarded = ForwardedHead::copy_of(head).ok_or(InvalidRequest::UnknownPath)?;
        Ok(RequestHead { id: id.into(), spec, forwarded })
    }
}

fn parse_id(headers: &HeaderMap) -> Result<&str, InvalidRequest> {
    let id = required_header(headers, REQUEST_ID)?;
    let is_allowed = |character: char| character.is_ascii_alphanumeric() || "-_.~".contains(character);
    if id.len() > MAX_ID_LENGTH || !id.chars().all(is_allowed) {
        let expected = "at most 128 letters, digits and -_.~";
        return Err(InvalidRequest::MalformedHeader { name: REQUEST_ID, expected });
    }
    Ok(id)
}

fn parse_spec(headers: &HeaderMap, names: &SettingNames) -> Result<RequestSpec, InvalidRequest> {
    let class = parse_class(headers, names)?;
    let client_timeout = parse_timeout(headers)? - TRANSIT_ALLOWANCE;
    let info = parse_info(headers)?;
    let tenant = parse_tenant(headers, names)?;
    let session = optional_header(headers, AFFINITY_KEY)?.map(|key| CacheKey(xxh3_64(key.as_bytes())));
    let retry = parse_client_retry(headers)?;
    Ok(RequestSpec {
        class,
        tenant,
        session,
        prefix: info.prefix,
        prefix_tokens: info.prefix_tokens,
        prompt_tokens: info.prompt_tokens,
        max_output_tokens: info.max_output_tokens,
        client_timeout,
        is_retry: retry == ClientRetry::Retry,
        is_resumption: retry == ClientRetry::Resumption,
        ..RequestSpec::default()
    })
}

fn parse_class(headers: &HeaderMap, names: &SettingNames) -> Result<ClassId, InvalidRequest> {
    let class = required_header(headers, REQUEST_CLASS)?;
    match names.classes.iter().position(|known| known == class) {
        Some(index) => Ok(ClassId(index)),
        None => Err(InvalidRequest::UnknownClass(class.into())),
    }
}

/// Returns the client's timeout in microseconds.
fn parse_timeout(headers: &HeaderMap) -> Result<Micros, InvalidRequest> {
    let text = required_header(headers, REQUEST_TIMEOUT_MS)?;
    match text.parse::<u64>() {
        Ok(millis) if (1..=MAX_TIMEOUT_MS).contains(&millis) => Ok(millis as Micros * 1_000),
        _ => {
            let expected = "whole milliseconds from 1 to 3600000";
            Err(InvalidRequest::MalformedHeader { name: REQUEST_TIMEOUT_MS, expected })
        }
    }
}

/// Returns the tenant of the request, if the settings define any tenants.
fn parse_tenant(headers: &HeaderMap, names: &SettingNames) -> Result<Option<TenantId>, InvalidRequest> {
    let Some(tenant) = optional_header(headers, TENANT)? else { return Ok(None) };
    if names.tenants.is_empty() {
        return Ok(None);
    }
    match names.tenants.iter().position(|known| known == tenant) {
        Some(index) => Ok(Some(TenantId(index))),
        None => Err(InvalidRequest::UnknownTenant(tenant.into())),
    }
}

/// How a request relates to earlier requests of its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientRetry {
    /// The client's first request.
    Initial,
    /// Repeats a request that failed.
    Retry,
    /// Resumes a stream that broke.
    Resumption,
}

fn parse_client_retry(headers: &HeaderMap) -> Result<ClientRetry, InvalidRequest> {
    match optional_header(headers, CLIENT_RETRY)? {
        None => Ok(ClientRetry::Initial),
        Some("1") => Ok(ClientRetry::Retry),
        Some("again") => Ok(ClientRetry::Resumption),
        Some(_) => Err(InvalidRequest::MalformedHeader { name: CLIENT_RETRY, expected: "1 or again" }),
    }
}

/// Sizes specified in `Request-Info`.
struct RequestInfo {
    prompt_tokens: f64,
    max_output_tokens: f64,
    prefix: Option<CacheKey>,
    prefix_tokens: f64,
}

fn parse_info(headers: &HeaderMap) -> Result<RequestInfo, InvalidRequest> {
    let text = required_header(headers, REQUEST_INFO)?;
    match RequestInfo::parse(text) {
        Some(info) => Ok(info),
        None => {
            let expected = "prompt_len=N,max_out=N and, with an opening, prefix=ID,prefix_len=N";
            Err(InvalidRequest::MalformedHeader { name: REQUEST_INFO, expected })
        }
    }
}

impl RequestInfo {
    /// Parses `key=value` pairs and ignores unknown keys. Returns `None` if a pair is malformed, a required
    /// key is missing or the prefix is longer than the prompt.
    fn parse(text: &str) -> Option<Self> {
        let mut prompt_tokens = None;
        let mut max_output_tokens = None;
        let mut prefix = None;
        let mut prefix_tokens = 0.0;
        for pair in text.split(',') {
            let (key, value) = pair.trim().split_once('=')?;
            match key {
                "prefix" if value.is_empty() || value == "0" => {}
                "prefix" => prefix = Some(CacheKey(xxh3_64(value.as_bytes()))),
                "prefix_len" => prefix_tokens = parse_tokens(value)?,
                "prompt_len" => prompt_tokens = Some(parse_tokens(value)?),
                "max_out" => max_output_tokens = Some(parse_tokens(value)?),
                _ => {}
            }
        }
        let (prompt_tokens, max_output_tokens) = (prompt_tokens?, max_output_tokens?);
        if prefix_tokens > prompt_tokens {
            return None;
        }
        Some(RequestInfo { prompt_tokens, max_output_tokens, prefix, prefix_tokens })
    }
}

fn parse_tokens(text: &str) -> Option<f64> {
    text.parse::<u32>().ok().map(f64::from)
}

/// Returns the trimmed value of a header; `None` if it is missing or empty.
fn optional_header<'a>(
    headers: &'a HeaderMap, name: &'static str,
) -> Result<Option<&'a str>, InvalidRequest> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let Ok(text) = value.to_str() else {
        return Err(InvalidRequest::MalformedHeader { name, expected: "plain text" });
    };
    let trimmed = text.trim();
    if trimmed.is_empty() { Ok(None) } else { Ok(Some(trimmed)) }
}

fn required_header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, InvalidRequest> {
    optional_header(headers, name)?.ok_or(InvalidRequest::MissingHeader(name))
}
