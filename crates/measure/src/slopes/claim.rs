//! Costs of claims and orders.

use lentil_core::{
    AttemptId, BootId, FenceNumber, Fingerprint, ModelId, Offset, OrganisationId, ParseIdError,
    Permille, RequestKey, Span, Time, TokensPerSecond,
};
use lentil_once::{Batch, ClaimLedger, Executor, KeyDigest, Record};
use lentil_order::{
    Bounds, Claim, ClaimTable, ModelPlan, Planner, PresetPlan, Record as OrderRecord, ZoneView,
};

use super::fit::{Slope, Unit};
use super::meter;
use super::names;
use crate::orders::assignment;

/// Records in a batch.
const BATCH: usize = 8;
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

fn batches(count: usize) -> Result<Vec<Batch>, ParseIdError> {
    let executor = executor()?;
    let organisation = names::organisation(0)?;
    let claim = |number: usize| {
        let claim = AttemptId::new(u128::try_from(number).unwrap_or(u128::MAX));
        let key = key(&organisation, number)?;
        let fingerprint = Fingerprint::new(claim.get());
        let claimed = Record::Claim {
            claim,
            key,
            fingerprint,
        };
        let answer = None;
        Ok([claimed, Record::Done { claim, key, answer }])
    };
    let claims = (0..count)
        .map(claim)
        .collect::<Result<Vec<_>, ParseIdError>>()?;
    let mut batches = vec![Batch {
        executor: executor.clone(),
        sequence: 0,
        records: vec![Record::Start],
    }];
    for (sequence, part) in (1..).zip(claims.chunks(BATCH / 2)) {
        batches.push(Batch {
            executor: executor.clone(),
            sequence,
            records: part.concat(),
        });
    }
    Ok(batches)
}

fn fold(batches: &[Batch]) -> ClaimLedger {
    let mut ledger = ClaimLedger::new(ANSWERS_MAX_BYTES);
    for (offset, batch) in (0..).zip(batches) {
        ledger.apply(Offset::new(offset), batch);
    }
    ledger
}

/// A ledger of this many finished claims.
pub(crate) fn claimed(count: usize) -> Result<ClaimLedger, ParseIdError> {
    Ok(fold(&batches(count)?))
}

fn order_records(count: usize) -> eyre::Result<Vec<OrderRecord>> {
    let mut records = Vec::new();
    for index in 0..count {
        let endpoint = names::endpoint(index)?;
        let number = FenceNumber::new(u64::try_from(records.len())?);
        records.push(OrderRecord::Claim(Claim {
            endpoint: endpoint.clone(),
            boot: BootId::new(1),
            sequence: 1,
            from: None,
            to: assignment(&names::model(index % names::MODELS)?, "v1")?,
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

fn zone(count: usize) -> eyre::Result<(PresetPlan, ZoneView)> {
    let ledger = ClaimTable::new();
    let models = (0..names::MODELS)
        .map(names::model)
        .collect::<Result<Vec<ModelId>, _>>()?;
    let mut endpoints = Vec::new();
    for (index, model) in models.iter().cycle().take(count).enumerate() {
        let held = assignment(model, "v1")?;
        endpoints.push(ledger.view(&names::endpoint(index)?, Some(&held)));
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

/// Plans of one zone, so many that the time shows.
const PLANS: usize = 8_000;

fn plan(zone: eyre::Result<(PresetPlan, ZoneView)>) {
    let Ok((preset, view)) = zone else { return };
    let mut planner = Planner::new();
    for round in 0..PLANS {
        let now = Time::from_us(u64::try_from(round).unwrap_or(0));
        std::hint::black_box(planner.plan(now, &preset, &view));
    }
}

pub(crate) fn slopes() -> eyre::Result<Vec<Slope>> {
    let sizes = [50_000, 100_000, 200_000];
    let folded = meter::time(
        &sizes,
        |count| batches(count).unwrap_or_default(),
        |batches, _| drop(fold(&batches)),
    );
    let planned = meter::time(&[50, 100, 200], zone, |zone, _| plan(zone));
    let planned = planned.into_iter().map(|mut point| {
        point.cost /= meter::to_f64(PLANS);
        point
    });
    let orders = order_records(1_200)?;
    Ok(vec![
        Slope::fit(
            "claim: key remembered",
            Unit::Bytes,
            meter::memory(&sizes, claimed),
        ),
        Slope::fit("claim: key folded", Unit::Nanoseconds, folded),
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
            planned.collect(),
        ),
    ])
}
