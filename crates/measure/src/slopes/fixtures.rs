//! Test data for the measurements, with names as long as those of a real fleet.

use lentil_core::{
    Blocks, BootId, EndpointId, EndpointLoad, EndpointState, ModelId, OrganisationId, ParseIdError,
    RegionId, Span, ZoneId,
};

pub(crate) const ORGANISATIONS: usize = 9_200;
pub(crate) const MODELS: usize = 8;
/// Agents per model that an entry keeps links to.
pub(crate) const AGENTS_PER_MODEL: usize = 48;

pub(crate) fn organisation(index: usize) -> Result<OrganisationId, ParseIdError> {
    format!("organisation-{index:05}").parse()
}

pub(crate) fn organisations(count: usize) -> Result<Vec<OrganisationId>, ParseIdError> {
    (0..count).map(organisation).collect()
}

pub(crate) fn endpoint(index: usize) -> Result<EndpointId, ParseIdError> {
    format!("lentil-pool-{index:04}").parse()
}

pub(crate) fn endpoints(count: usize) -> Result<Vec<EndpointId>, ParseIdError> {
    (0..count).map(endpoint).collect()
}

pub(crate) fn model(index: usize) -> Result<ModelId, ParseIdError> {
    format!("inspection-writer-{index}").parse()
}

pub(crate) fn zone(index: usize) -> Result<ZoneId, ParseIdError> {
    let letter = ["a", "b", "c"].get(index % 3).copied().unwrap_or("a");
    format!("kyushu-north-{letter}").parse()
}

pub(crate) fn region() -> Result<RegionId, ParseIdError> {
    "kyushu-north".parse()
}

/// Load of an endpoint with enough free slots and blocks for all requests of a run.
pub(crate) fn unsaturated_load(sequence: u64) -> EndpointLoad {
    EndpointLoad {
        boot: BootId::new(1),
        sequence,
        state: EndpointState::Warm,
        running: 8,
        waiting: 0,
        free_slots: 1_000_000,
        blocks_used: Blocks::new(1_000),
        blocks_total: Blocks::new(4_000_000),
        wait: Span::ZERO,
    }
}
