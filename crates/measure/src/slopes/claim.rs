//! Marginal costs of the claim ledger, the order ledger and the planner.

use lentil_core::{
    AttemptId, BootId, FenceNumber, Fingerprint, ModelId, Offset, OrganisationId, ParseIdError,
    Permille, RequestKey, Span, Time, TokensPerSecond,
};
use lentil_once::{Batch, ClaimLedger, Executor, KeyDigest, Record};
use lentil_order::{
    Bounds, Claim, ClaimTable, ModelPlan, Planner, PresetPlan, Record as OrderRecord, ZoneView,
};

use super::fit::{Slope, Unit};
use super::fixtures;
use super::meter;
use crate::orders::assignment;

/// Records per batch. Each claim takes two: the claim itself and its end.
const RECORDS_PER_BATCH: usize = 8;
const ANSWERS_MAX_BYTES: usize = 8 * 1_024 * 1_024;

fn executor() -> Result<Executor, ParseIdError> {
    Ok(Executor {
        endpoint: "round-desk-01".parse()?,
        boot: BootId::new(1),
    })
}

fn key(organisation: &OrganisationId, number: usize) -> Result<KeyDigest, ParseIdError> {
    let key = RequestKey::new(organisation.clone(), &format!("pickup-{number:08}"))?;
    Ok(KeyDigest::of(&key))
}

fn claim_batches(count: usize) -> Result<Vec<Batch>, ParseIdError> {
    let executor = executor()?;
    let organisation = fixtures::organisation(0)?;
    let claim = |number: usize| {
        let claim = AttemptId::new(u128::try_from(number).unwrap_or(u128::MAX));
        let key = key(&organisation, number)?;
        let fingerprint = Fingerprint::new(claim.get());
        let claim_record = Record::Claim {
            claim,
            key,
            fingerprint,
        };
        let answer = None;
        Ok([claim_record, Record::Done { claim, key, answer }])
    };
    let claims = (0..count)
        .map(claim)
        .collect::<Result<Vec<_>, ParseIdError>>()?;
    let mut batches = vec![Batch {
        executor: executor.clone(),
        sequence: 0,
        records: vec![Record::Start],
    }];
    for (sequence, chunk) in (1..).zip(claims.chunks(RECORDS_PER_BATCH / 2)) {
        batches.push(Batch {
            executor: executor.clone(),
            sequence,
            records: chunk.concat(),
        });
    }
    Ok(batches)
}

fn fold_claims(batches: &[Batch]) -> ClaimLedger {
    let mut ledger = ClaimLedger::new(ANSWERS_MAX_BYTES);
    for (offset, batch) in (0..).zip(batches) {
        ledger.apply(Offset::new(offset), batch);
    }
    ledger
}

/// Builds a ledger of `count` finished claims.
pub(crate) fn ledger_with_claims(count: usize) -> Result<ClaimLedger, ParseIdError> {
    Ok(fold_claims(&claim_batches(count)?))
}

fn order_records(count: usize) -> eyre::Result<Vec<OrderRecord>> {
    let mut records = Vec::new();
    for index in 0..count {
        let endpoint = fixtures::endpoint(index)?;
        let number = FenceNumber::new(u64::try_from(records.len())?);
        records.push(OrderRecord::Claim(Claim {
            endpoint: endpoint.clone(),
            boot: BootId::new(1),
            sequence: 1,
            from: None,
            to: assignment(&fixtures::model(index % fixtures::MODELS)?, "v1")?,
            from_live: 0,
            to_live: 0,
            read_to: Offset::default(),
            bounds: Bounds {
                changing_max: 2,
                replicas_min: 1,
                fetching_max: 5,
            },
        }));
        records.push(OrderRecord::Finished { endpoint, number });
    }
    Ok(records)
}

fn fold_orders(records: &[OrderRecord]) -> ClaimTable {
    let mut ledger = ClaimTable::new();
    for (offset, record) in (0..).zip(records) {
        ledger.apply(Offset::new(offset), record);
    }
    ledger
}

fn zone_view(count: usize) -> eyre::Result<(PresetPlan, ZoneView)> {
    let ledger = ClaimTable::new();
    let models = (0..fixtures::MODELS)
        .map(fixtures::model)
        .collect::<Result<Vec<ModelId>, _>>()?;
    let mut endpoints = Vec::new();
    for (index, model) in models.iter().cycle().take(count).enumerate() {
        let current = assignment(model, "v1")?;
        endpoints.push(ledger.view(&fixtures::endpoint(index)?, Some(&current)));
    }
    let plan = |model: &ModelId| -> eyre::Result<_> {
        let plan = ModelPlan {
            assignment: assignment(model, "v1")?,
            replicas_min: 1,
            replica_rate: TokensPerSecond::new(2_500),
        };
        Ok((model.clone(), plan))
    };
    let preset = PresetPlan {
        models: models.iter().map(plan).collect::<eyre::Result<_>>()?,
        scale_up_above: Permille::new(850),
        scale_down_below: Permille::new(600),
        stabilization_window: Span::from_s(60),
        changing_max: 2,
        fetching_max: 5,
    };
    let demand = models
        .into_iter()
        .map(|model| (model, TokensPerSecond::new(20_000)));
    let demand = demand.collect();
    Ok((preset, ZoneView { endpoints, demand }))
}

/// Number of plans computed per measurement, enough to take a measurable time.
const PLANS: usize = 8_000;

fn compute_plans(zone: eyre::Result<(PresetPlan, ZoneView)>) {
    let Ok((preset, view)) = zone else { return };
    let mut planner = Planner::new();
    for round in 0..PLANS {
        let now = Time::from_us(u64::try_from(round).unwrap_or(0));
        std::hint::black_box(planner.plan(now, &preset, &view));
    }
}

pub(crate) fn slopes() -> eyre::Result<Vec<Slope>> {
    let sizes = [50_000, 100_000, 200_000];
    let fold_times = meter::time(
        &sizes,
        |count| claim_batches(count).unwrap_or_default(),
        |batches, _| drop(fold_claims(&batches)),
    );
    let plan_times = meter::time(&[50, 100, 200], zone_view, |zone, _| compute_plans(zone));
    let plan_times = plan_times.into_iter().map(|mut point| {
        point.cost /= meter::to_f64(PLANS);
        point
    });
    let orders = order_records(1_200)?;
    Ok(vec![
        Slope::fit(
            "claim: key remembered",
            Unit::Bytes,
            meter::memory(&sizes, ledger_with_claims),
        ),
        Slope::fit("claim: key folded", Unit::Nanoseconds, fold_times),
        Slope::fit(
            "order: endpoint in the ledger",
            Unit::Bytes,
            meter::memory(&[150, 300, 600], |count| {
                fold_orders(orders.get(..2 * count).unwrap_or_default())
            }),
        ),
        Slope::fit(
            "order: endpoint in a plan",
            Unit::Nanoseconds,
            plan_times.collect(),
        ),
    ])
}
