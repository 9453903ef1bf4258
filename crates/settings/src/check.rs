//! Validates settings and converts them from the schema types to the domain types.

use std::net::SocketAddr;
use std::num::NonZeroU64;
use std::str::FromStr;

use lentil_core::{Blocks, ByteCount, ParseIdError, Permille, Span};

use crate::process::{
    Agent, EndpointSpec, Entry, IdempotentCalls, Identity, Limits, Listen, Platform, Process, Role,
    Security, Trace,
};
use crate::{
    AgentSettings, EndpointKind, EntrySettings, IdempotentRule, InvalidField, LimitSettings,
    ListenSettings, LogFormat, LogLevel, PlatformSettings, Problem, Secret, SecuritySettings,
    Settings, TraceExport, TraceSettings,
};

/// Minimum number of characters of a key.
const KEY_MIN_CHARS: usize = 16;
/// Maximum duration in a setting, in milliseconds: 30 days.
const SPAN_MAX_MS: u64 = 30 * 24 * 3_600 * 1_000;
/// Maximum value of the body size limit, in bytes: 1 GiB.
const BODY_MAX_BYTES: u64 = 1 << 30;

/// The path of an invalid field and the problem with it.
type FieldProblem = (String, Problem);

impl TryFrom<&Settings> for Process {
    type Error = InvalidField;

    fn try_from(settings: &Settings) -> Result<Self, InvalidField> {
        Self::checked(settings).map_err(|(field, problem)| InvalidField { field, problem })
    }
}

impl Process {
    fn checked(settings: &Settings) -> Result<Self, FieldProblem> {
        let log = settings.log.clone().unwrap_or_default();
        Ok(Self {
            host: name("host", &settings.host)?,
            zone: name("zone", &settings.zone)?,
            region: name("region", &settings.region)?,
            role: role(settings)?,
            platform: platform(&settings.platform.clone().unwrap_or_default())?,
            listen: listen(&settings.listen.clone().unwrap_or_default())?,
            limits: limits(&settings.limits.clone().unwrap_or_default())?,
            log_format: log.format.unwrap_or(LogFormat::Text),
            log_level: log.level.unwrap_or(LogLevel::Info),
            trace: trace(&settings.trace.clone().unwrap_or_default())?,
            security: security(&settings.security.clone().unwrap_or_default())?,
            grace: grace(settings)?,
        })
    }
}

fn invalid<T>(field: &str, problem: Problem) -> Result<T, FieldProblem> {
    Err((field.to_owned(), problem))
}

fn name<T: FromStr<Err = ParseIdError>>(field: &str, text: &str) -> Result<T, FieldProblem> {
    lentil_core::check_name(text)
        .and_then(|()| text.parse())
        .map_err(|error| (field.to_owned(), Problem::Name(error)))
}

fn address(field: &str, text: &str) -> Result<SocketAddr, FieldProblem> {
    text.parse()
        .map_err(|_| (field.to_owned(), Problem::Address))
}

fn url(field: &str, text: &str) -> Result<String, FieldProblem> {
    let rest = text
        .strip_prefix("http://")
        .or_else(|| text.strip_prefix("https://"));
    let authority = rest.and_then(|rest| rest.split('/').next());
    if !authority.is_some_and(is_authority) || text.contains(['?', '#', ' ']) {
        return invalid(field, Problem::Url);
    }
    Ok(text.trim_end_matches('/').to_owned())
}

fn is_authority(text: &str) -> bool {
    if text.parse::<SocketAddr>().is_ok() {
        return true;
    }
    let (host, port) = text.split_once(':').unwrap_or((text, "80"));
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.';
    !host.is_empty()
        && host.chars().all(is_allowed)
        && port.parse::<u16>().is_ok_and(|port| port > 0)
}

fn range(field: &str, value: u64, min: u64, max: u64) -> Result<u64, FieldProblem> {
    if (min..=max).contains(&value) {
        Ok(value)
    } else {
        invalid(field, Problem::Range { min, max })
    }
}

fn span(field: &str, ms: NonZeroU64) -> Result<Span, FieldProblem> {
    range(field, ms.get(), 1, SPAN_MAX_MS).map(Span::from_ms)
}

fn grace(settings: &Settings) -> Result<Span, FieldProblem> {
    let stop = settings.stop.clone().unwrap_or_default();
    range("stop.grace_ms", stop.grace_ms, 0, SPAN_MAX_MS).map(Span::from_ms)
}

fn role(settings: &Settings) -> Result<Role, FieldProblem> {
    match (&settings.entry, &settings.agent) {
        (Some(entry_settings), None) => entry(&settings.name, entry_settings).map(Role::Entry),
        (None, Some(agent_settings)) => agent(&settings.name, agent_settings).map(Role::Agent),
        (Some(_), Some(_)) => invalid(
            "agent",
            Problem::Misplaced {
                reason: "together with the section `entry`: a process has exactly one role",
            },
        ),
        (None, None) => invalid(
            "entry",
            Problem::Missing {
                reason: "unless the section `agent` is present",
            },
        ),
    }
}

fn entry(id: &str, settings: &EntrySettings) -> Result<Entry, FieldProblem> {
    range("entry.workers", settings.workers.get(), 1, 64)?;
    range("entry.agents_max", settings.agents_max.get(), 1, 100_000)?;
    range("entry.queue_max", settings.queue_max.get(), 1, 1_000_000)?;
    Ok(Entry {
        id: name("name", id)?,
        workers: settings.workers,
        agents_max: settings.agents_max,
        queue_max: settings.queue_max,
        deadline: span("entry.deadline_ms", settings.deadline_ms)?,
    })
}

fn agent(endpoint: &str, settings: &AgentSettings) -> Result<Agent, FieldProblem> {
    if settings.cold_slots > settings.slots {
        let other = "agent.slots";
        return invalid("agent.cold_slots", Problem::MoreThan { other });
    }
    range("agent.slots", settings.slots.get().into(), 1, 100_000)?;
    range("agent.waiting_max", settings.waiting_max.into(), 0, 100_000)?;
    Ok(Agent {
        endpoint: name("name", endpoint)?,
        endpoint_url: url("agent.endpoint_url", &settings.endpoint_url)?,
        kind: kind(settings)?,
        slots: settings.slots,
        cold_slots: settings.cold_slots,
        waiting_max: settings.waiting_max,
        hold: span("agent.hold_ms", settings.hold_ms)?,
    })
}

fn kind(settings: &AgentSettings) -> Result<EndpointSpec, FieldProblem> {
    match settings.kind {
        EndpointKind::Engine => engine(settings),
        EndpointKind::Service => service(settings),
    }
}

fn engine(settings: &AgentSettings) -> Result<EndpointSpec, FieldProblem> {
    let reason = "for an endpoint of kind engine";
    if settings.service.is_some() {
        return invalid("agent.service", Problem::Misplaced { reason });
    }
    if !settings.idempotent.is_empty() {
        return invalid("agent.idempotent", Problem::Misplaced { reason });
    }
    if settings.models.is_empty() {
        let reason = "for an endpoint of kind engine";
        return invalid("agent.models", Problem::Missing { reason });
    }
    let models = settings.models.iter().enumerate();
    let models = models.map(|(index, model)| name(&format!("agent.models[{index}]"), model));
    Ok(EndpointSpec::Engine {
        models: models.collect::<Result<_, _>>()?,
        blocks: Blocks::new(settings.blocks.get()),
        block_tokens: settings.block_tokens,
    })
}

fn service(settings: &AgentSettings) -> Result<EndpointSpec, FieldProblem> {
    if !settings.models.is_empty() {
        let reason = "for an endpoint of kind service";
        return invalid("agent.models", Problem::Misplaced { reason });
    }
    if settings.orders.is_some() {
        let reason = "for an endpoint of kind engine";
        return invalid("agent.orders", Problem::Misplaced { reason });
    }
    let Some(service) = &settings.service else {
        let reason = "for an endpoint of kind service";
        return invalid("agent.service", Problem::Missing { reason });
    };
    let rules = settings.idempotent.iter().enumerate();
    Ok(EndpointSpec::Service {
        service: name("agent.service", service)?,
        idempotent: rules
            .map(|(index, rule)| idempotent(index, rule))
            .collect::<Result<_, _>>()?,
    })
}

fn idempotent(index: usize, rule: &IdempotentRule) -> Result<IdempotentCalls, FieldProblem> {
    let field = format!("agent.idempotent[{index}]");
    if rule.method.is_empty() || !rule.method.chars().all(|c| c.is_ascii_uppercase()) {
        return invalid(&format!("{field}.method"), Problem::Method);
    }
    if !rule.path_prefix.starts_with('/') {
        return invalid(&format!("{field}.path_prefix"), Problem::Path);
    }
    Ok(IdempotentCalls {
        method: rule.method.clone(),
        path_prefix: rule.path_prefix.clone(),
    })
}

fn platform(settings: &PlatformSettings) -> Result<Platform, FieldProblem> {
    Ok(Platform {
        log_url: url("platform.log_url", &settings.log_url)?,
        host_list_url: url("platform.host_list_url", &settings.host_list_url)?,
        weight_store_url: url("platform.weight_store_url", &settings.weight_store_url)?,
        timeout: span("platform.timeout_ms", settings.timeout_ms)?,
        poll_interval: span("platform.poll_interval_ms", settings.poll_interval_ms)?,
    })
}

fn listen(settings: &ListenSettings) -> Result<Listen, FieldProblem> {
    let listen = Listen {
        callers: address("listen.callers", &settings.callers)?,
        peers: address("listen.peers", &settings.peers)?,
        operations: address("listen.operations", &settings.operations)?,
    };
    let is_taken = |address: SocketAddr, by: SocketAddr| address.port() != 0 && address == by;
    if is_taken(listen.peers, listen.callers) {
        let other = "listen.callers";
        return invalid("listen.peers", Problem::SameAs { other });
    }
    if is_taken(listen.operations, listen.callers) {
        let other = "listen.callers";
        return invalid("listen.operations", Problem::SameAs { other });
    }
    if is_taken(listen.operations, listen.peers) {
        let other = "listen.peers";
        return invalid("listen.operations", Problem::SameAs { other });
    }
    Ok(listen)
}

fn limits(settings: &LimitSettings) -> Result<Limits, FieldProblem> {
    let body_max_bytes = settings.body_max_bytes.get();
    let head_max_bytes = u64::from(settings.head_max_bytes);
    let headers_max = u64::from(settings.headers_max);
    range("limits.body_max_bytes", body_max_bytes, 1, BODY_MAX_BYTES)?;
    range("limits.head_max_bytes", head_max_bytes, 1_024, 1 << 20)?;
    range("limits.headers_max", headers_max, 8, 1_024)?;
    let connections_max = settings.connections_max;
    range("limits.connections_max", connections_max.get(), 1, 1 << 20)?;
    Ok(Limits {
        body_max: ByteCount::new(body_max_bytes),
        body_memory: ByteCount::new(settings.body_memory_kb * 1024),
        head_max: ByteCount::new(head_max_bytes),
        headers_max: settings.headers_max,
        connections_max,
        idle_timeout: span("limits.idle_timeout_ms", settings.idle_timeout_ms)?,
        request_timeout: span("limits.request_timeout_ms", settings.request_timeout_ms)?,
        send_timeout: span("limits.send_timeout_ms", settings.send_timeout_ms)?,
        stream_buffer_tokens: settings.stream_buffer_tokens,
    })
}

fn trace(settings: &TraceSettings) -> Result<Trace, FieldProblem> {
    let permille = u64::from(settings.sample_permille);
    range("trace.sample_permille", permille, 0, 1_000)?;
    Ok(Trace {
        export: settings.export.unwrap_or(TraceExport::None),
        sample: Permille::new(settings.sample_permille),
    })
}

fn security(settings: &SecuritySettings) -> Result<Security, FieldProblem> {
    let peer_key = key("security.peer_key", settings.peer_key.as_deref())?;
    let operator_key = key("security.operator_key", settings.operator_key.as_deref())?;
    if peer_key.is_some() && peer_key == operator_key {
        let other = "security.peer_key";
        return invalid("security.operator_key", Problem::SameAs { other });
    }
    let identity = identity(settings)?;
    if settings.authority_file.is_some() && identity.is_none() {
        let reason = "without a certificate";
        return invalid("security.authority_file", Problem::Misplaced { reason });
    }
    Ok(Security {
        peer_key,
        operator_key,
        anonymous_callers: settings.anonymous_callers,
        identity,
        authority_file: settings.authority_file.clone().map(Into::into),
    })
}

fn key(field: &str, text: Option<&str>) -> Result<Option<Secret>, FieldProblem> {
    let Some(text) = text else { return Ok(None) };
    if text.chars().count() < KEY_MIN_CHARS {
        let min = KEY_MIN_CHARS;
        return invalid(field, Problem::ShortKey { min });
    }
    if !text.chars().all(|c| c.is_ascii_graphic()) {
        let problem =
            Problem::Malformed("a key must consist of visible ASCII characters".to_owned());
        return invalid(field, problem);
    }
    Ok(Some(Secret::new(text.to_owned())))
}

fn identity(settings: &SecuritySettings) -> Result<Option<Identity>, FieldProblem> {
    match (&settings.certificate_file, &settings.private_key_file) {
        (Some(certificate_file), Some(private_key_file)) => Ok(Some(Identity {
            certificate_file: certificate_file.into(),
            private_key_file: private_key_file.into(),
        })),
        (None, None) => Ok(None),
        (Some(_), None) => {
            let reason = "together with a certificate";
            invalid("security.private_key_file", Problem::Missing { reason })
        }
        (None, Some(_)) => {
            let reason = "together with a private key";
            invalid("security.certificate_file", Problem::Missing { reason })
        }
    }
}
