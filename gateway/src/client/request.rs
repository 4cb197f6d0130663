//! Parses and validates a client's request.

use crate::body::{BodyError, next_data, remaining_bytes};
use crate::client::connection_state::ConnectionState;
use crate::client::overload::MemoryOverload;
use crate::endpoint::{ForwardedRequest, MAX_BODY_BYTES};
use crate::headers::{
    CLIENT_RETRY, DEADLINE_MS, IDEMPOTENCY_KEY, PLAN, REQUEST_ID, TENANT, TERMS, TERMS_FIRST_GATEWAY,
    TERMS_GATEWAYS, TERMS_UNITS,
};
use crate::request_ids::TakenId;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, StatusCode};
use percent_encoding::percent_decode_str;
use ryefront_policy::{Idempotency, Name, Settings};
use std::str::FromStr;
use std::time::Duration;

/// The maximum time to a deadline.
pub(crate) const MAX_DEADLINE_MS: u64 = 600_000;
/// The maximum length of a request ID, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 64;
/// The number of hexadecimal digits of a tenant.
const TENANT_DIGITS: usize = 16;
/// Tenants are numbers below this.
const TENANT_LIMIT: u64 = 1 << 33;

/// Why a request is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestError {
    /// The path names no request class.
    #[error("no such path, expected a request class as its first segment")]
    MissingClass,
    /// The settings have no such class.
    #[error("unknown request class as the first segment of the path, expected one of the settings")]
    UnknownClass,
    /// The class or the path requires another method.
    #[error("wrong method, expected {expected}")]
    WrongMethod {
        /// The methods that are valid.
        expected: &'static str,
    },
    /// A required header is missing, a header has an invalid value, or the class does not allow it.
    #[error("invalid {header}, expected {expected}")]
    InvalidHeader {
        /// The header's name.
        header: &'static str,
        /// What is valid.
        expected: &'static str,
    },
    /// A header is repeated: endpoints or proxies may use another of its values.
    #[error("{0} is given more than once, expected one value")]
    RepeatedHeader(&'static str),
    /// Another request with this ID has no final response yet.
    #[error("a request with this {REQUEST_ID} is in progress, expected another id")]
    IdInProgress,
    /// Another request with this ID may have run, and its client did not get the response.
    #[error("a request with this {REQUEST_ID} may have run, expected another id")]
    IdMayHaveRun,
    /// The length of the body is ambiguous.
    #[error("invalid transfer-encoding, expected chunked alone and no content-length")]
    AmbiguousLength,
    /// The method does not allow a body.
    #[error("unexpected body, expected none with GET")]
    UnexpectedBody,
    #[error("the body is too large, expected at most {MAX_BODY_BYTES} bytes")]
    BodyTooLarge,
    /// The body is incomplete or has invalid chunks.
    #[error("the body cannot be read, expected valid chunks or as many bytes as in content-length")]
    UnreadableBody,
    /// The memory limit is reached. Nothing was forwarded.
    #[error("the gateway has no memory for this request, retry later")]
    MemoryExceeded,
    /// The connection is needed for another client before the request is complete. Nothing was forwarded.
    #[error("the gateway has no connection for a request that arrives so slowly, retry later")]
    Evicted,
}

impl From<BodyError> for RequestError {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge { .. } => Self::BodyTooLarge,
            BodyError::Unreadable => Self::UnreadableBody,
        }
    }
}

impl From<TakenId> for RequestError {
    fn from(reason: TakenId) -> Self {
        match reason {
            TakenId::InProgress => Self::IdInProgress,
            TakenId::MayHaveRun => Self::IdMayHaveRun,
        }
    }
}

impl RequestError {
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::MissingClass => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::MemoryExceeded | Self::Evicted => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// A valid request.
pub(super) struct ParsedRequest {
    pub(super) class: Name,
    pub(super) plan: Name,
    pub(super) tenant: Name,
    pub(super) terms: QuotaTerms,
    pub(super) client_retry: bool,
    pub(super) time_to_deadline: Duration,
    pub(super) forwarded: ForwardedRequest,
}

/// The units that a request uses of its tenant's quota, and the gateways that serve the tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct QuotaTerms {
    pub(super) units: f64,
    pub(super) gateways_per_tenant: u32,
    pub(super) first_gateway: u32,
}

/// Parses requests and checks them against the classes and plans of the settings.
pub(super) struct RequestParser {
    classes: Vec<ClassRule>,
    plans: Vec<Name>,
    max_units: f64,
    gateway_count: u32,
}

struct ClassRule {
    name: Name,
    idempotency: Idempotency,
}

impl RequestParser {
    pub(super) fn new(settings: &Settings) -> Self {
        let rule = |class: &ryefront_policy::RequestClass| ClassRule {
            name: class.name.clone(),
            idempotency: class.idempotency,
        };
        Self {
            classes: settings.classes.iter().map(rule).collect(),
            plans: settings.plans.iter().map(|plan| plan.name.clone()).collect(),
            max_units: if settings.max_units > 0.0 { settings.max_units } else { f64::MAX },
            gateway_count: settings.gateway_count,
        }
    }

    /// Validates the head of a request and reads its body. The request timeout of the connection covers both.
    pub(super) async fn parse(
        &self, request: Request<Incoming>, connection: &ConnectionState, overload: &MemoryOverload,
    ) -> Result<ParsedRequest, RequestError> {
        let (head, body) = request.into_parts();
        let mut parsed = self.parse_head(&head)?;
        if body.is_end_stream() {
            return Ok(parsed);
        }
        if head.method == Method::GET {
            return Err(RequestError::UnexpectedBody);
        }
        // The headers keep the HTTP library's read buffer alive.
        drop(head);
        parsed.forwarded.body = read_body(body, connection, overload).await?;
        Ok(parsed)
    }

    fn parse_head(&self, head: &Parts) -> Result<ParsedRequest, RequestError> {
        let target = head.uri.path_and_query().ok_or(RequestError::MissingClass)?;
        let headers = &head.headers;
        let class = self.class(target)?;
        let key = idempotency_key(class.idempotency, &head.method, headers)?;
        let id = request_id(headers)?;
        Ok(ParsedRequest {
            class: class.name.clone(),
            plan: self.plan(headers)?,
            tenant: tenant(headers)?,
            time_to_deadline: time_to_deadline(headers)?,
            client_retry: client_retry(headers)?,
            terms: self.terms(headers)?,
            forwarded: ForwardedRequest {
                method: head.method.clone(),
                target: copy_target(target)?,
                request_id: copy_value(id),
                idempotency_key: key.map(copy_value),
                content_type: headers.get(CONTENT_TYPE).map(copy_value),
                body: Bytes::new(),
            },
        })
    }

    /// Returns the class that the first segment of the path names. The segment is percent-decoded, as names
    /// in the settings may contain characters that a path must encode.
    fn class(&self, target: &PathAndQuery) -> Result<&ClassRule, RequestError> {
        let segment = target.path().strip_prefix('/').and_then(|path| path.split('/').next());
        let segment = segment.filter(|segment| !segment.is_empty()).ok_or(RequestError::MissingClass)?;
        self.classes
            .iter()
            .find(|class| percent_decode_str(segment).eq(class.name.bytes()))
            .ok_or(RequestError::UnknownClass)
    }

    fn plan(&self, headers: &HeaderMap) -> Result<Name, RequestError> {
        let invalid = RequestError::InvalidHeader { header: PLAN, expected: "a plan of the settings" };
        let value = single_value(headers, PLAN)?.ok_or(invalid)?;
        let plan = self.plans.iter().find(|plan| plan.as_bytes() == value.as_bytes());
        plan.cloned().ok_or(invalid)
    }

    fn terms(&self, headers: &HeaderMap) -> Result<QuotaTerms, RequestError> {
        let invalid =
            RequestError::InvalidHeader { header: TERMS, expected: "the form units=2,spread=3,first=1" };
        let value = single_text(headers, TERMS, invalid)?.ok_or(invalid)?;
        let terms = parse_terms(value).ok_or(invalid)?;
        if self.are_valid(terms) {
            return Ok(terms);
        }
        Err(RequestError::InvalidHeader {
            header: TERMS,
            expected: "units within the limit of a request, and gateways of the fleet",
        })
    }

    /// Whether the terms are within the limits of the settings. Others would corrupt the recorded usage of
    /// the tenant.
    fn are_valid(&self, terms: QuotaTerms) -> bool {
        terms.units > 0.0
            && terms.units <= self.max_units
            && (1..=self.gateway_count).contains(&terms.gateways_per_tenant)
            && terms.first_gateway < self.gateway_count
    }
}

/// Copies a target out of the head, which would otherwise stay in memory for as long as the request.
fn copy_target(target: &PathAndQuery) -> Result<PathAndQuery, RequestError> {
    PathAndQuery::try_from(target.as_str()).map_err(|_| RequestError::MissingClass)
}

/// Copies a value out of the head, as [`copy_target`] does.
fn copy_value(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

/// Parses the form `units=2,spread=3,first=1`. The default of `units` is 1.
fn parse_terms(value: &str) -> Option<QuotaTerms> {
    let mut units = 1.0;
    let mut gateways_per_tenant = None;
    let mut first_gateway = None;
    for pair in value.split(',') {
        match pair.trim().split_once('=')? {
            (TERMS_UNITS, value) => units = value.parse::<f64>().ok()?,
            (TERMS_GATEWAYS, value) => gateways_per_tenant = Some(parse_digits(value)?),
            (TERMS_FIRST_GATEWAY, value) => first_gateway = Some(parse_digits(value)?),
            _ => {}
        }
    }
    Some(QuotaTerms { units, gateways_per_tenant: gateways_per_tenant?, first_gateway: first_gateway? })
}

/// Checks that the method and the idempotency key are valid for the class, and returns the key.
fn idempotency_key<'a>(
    idempotency: Idempotency, method: &Method, headers: &'a HeaderMap,
) -> Result<Option<&'a HeaderValue>, RequestError> {
    let key = single_value(headers, IDEMPOTENCY_KEY)?;
    let expected = match idempotency {
        Idempotency::Idempotent => "GET",
        Idempotency::WithKey | Idempotency::NonIdempotent => "POST",
    };
    if method.as_str() != expected {
        return Err(RequestError::WrongMethod { expected });
    }
    let invalid = |expected| RequestError::InvalidHeader { header: IDEMPOTENCY_KEY, expected };
    match idempotency {
        Idempotency::Idempotent | Idempotency::NonIdempotent if key.is_some() => {
            Err(invalid("none for this class"))
        }
        Idempotency::WithKey if key.is_none_or(HeaderValue::is_empty) => Err(invalid("a key for this class")),
        _ => Ok(key),
    }
}

fn request_id(headers: &HeaderMap) -> Result<&HeaderValue, RequestError> {
    let invalid = RequestError::InvalidHeader {
        header: REQUEST_ID,
        expected: "1 to 64 letters, digits, '-', '_' or '.'",
    };
    single_value(headers, REQUEST_ID)?.filter(|id| is_request_id(id.as_bytes())).ok_or(invalid)
}

fn is_request_id(bytes: &[u8]) -> bool {
    (1..=MAX_REQUEST_ID_BYTES).contains(&bytes.len())
        && bytes.iter().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(b))
}

/// Returns the tenant in lower case. Otherwise a client could multiply the quota by changing the case of
/// digits.
fn tenant(headers: &HeaderMap) -> Result<Name, RequestError> {
    let invalid = RequestError::InvalidHeader {
        header: TENANT,
        expected: "16 hexadecimal digits of a number below 2^33",
    };
    let value = single_text(headers, TENANT, invalid)?.ok_or(invalid)?;
    let is_valid = value.len() == TENANT_DIGITS
        && value.bytes().all(|b| b.is_ascii_hexdigit())
        && u64::from_str_radix(value, 16).is_ok_and(|number| number < TENANT_LIMIT);
    if is_valid { Ok(Name::from(value.to_ascii_lowercase())) } else { Err(invalid) }
}

fn time_to_deadline(headers: &HeaderMap) -> Result<Duration, RequestError> {
    let invalid =
        RequestError::InvalidHeader { header: DEADLINE_MS, expected: "1 to 600000, whole milliseconds" };
    let millis = single_text(headers, DEADLINE_MS, invalid)?.and_then(parse_digits).ok_or(invalid)?;
    if (1..=MAX_DEADLINE_MS).contains(&millis) { Ok(Duration::from_millis(millis)) } else { Err(invalid) }
}

fn client_retry(headers: &HeaderMap) -> Result<bool, RequestError> {
    let invalid = RequestError::InvalidHeader { header: CLIENT_RETRY, expected: "0 or 1" };
    match single_text(headers, CLIENT_RETRY, invalid)? {
        None | Some("0") => Ok(false),
        Some("1") => Ok(true),
        Some(_) => Err(invalid),
    }
}

/// Returns the value of a header that must not be repeated.
fn single_value<'a>(
    headers: &'a HeaderMap, name: &'static str,
) -> Result<Option<&'a HeaderValue>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() { Err(RequestError::RepeatedHeader(name)) } else { Ok(value) }
}

/// Returns the value of such a header as text, or `invalid` if it has other characters than visible ASCII.
fn single_text<'a>(
    headers: &'a HeaderMap, name: &'static str, invalid: RequestError,
) -> Result<Option<&'a str>, RequestError> {
    single_value(headers, name)?.map(|value| value.to_str().map_err(|_| invalid)).transpose()
}

/// Parses a number that consists of digits only, without sign or space.
fn parse_digits<T: FromStr>(text: &str) -> Option<T> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// Reads the body into the state of the connection, where it is discarded if memory is short.
async fn read_body(
    mut body: Incoming, connection: &ConnectionState, overload: &MemoryOverload,
) -> Result<Bytes, RequestError> {
    if remaining_bytes(&body).is_some_and(|bytes| bytes > MAX_BODY_BYTES) {
        return Err(RequestError::BodyTooLarge);
    }
    while let Some(data) = next_data(&mut body).await? {
        connection.append_to_body(&data, remaining_bytes(&body))?;
        overload.relieve();
    }
    connection.take_body().ok_or(RequestError::MemoryExceeded)
}
