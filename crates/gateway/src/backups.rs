//! Backup engines: copies of running generations for the case that their engine crashes.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use lentil_core::{EndpointId, ServiceName, Time, TokenCount};
use lentil_fleet::{Fleet, GenerationSize, PlacementId, PlacementRequest, VersionNeed};
use lentil_handoff::{BackupCandidate, BackupPlanner, BackupRequest};
use lentil_rollout::Version;

use crate::attempt::Job;
use crate::endpoints::KvCopy;
use crate::gateway::{Gateway, Permit, is_stream};
use crate::request::RequestId;
use crate::runs::Run;

/// The planners of all services.
pub(crate) type BackupPlanners = RefCell<HashMap<ServiceName, BackupPlanner>>;

/// The engine that receives copies of a run. Its memory is counted until this is dropped.
#[derive(Debug)]
pub(crate) struct Backup {
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
    id: PlacementId,
    fleet: Rc<RefCell<Fleet>>,
}

impl Backup {
    /// The copy, whose handle is the id of the run.
    pub(crate) fn kv_copy(&self, request: &RequestId) -> KvCopy {
        KvCopy {
            source: self.address,
            handle: request.as_str().to_owned(),
        }
    }
}

impl Drop for Backup {
    fn drop(&mut self) {
        self.fleet.borrow_mut().end_copy(self.id);
    }
}

impl Gateway {
    /// Chooses the backup engine of a generation that is about to be sent to the engine of
    /// `permit`, if it is to have one.
    pub(crate) fn plan_backup(&self, job: &Job, permit: &Permit) {
        let backup = self.choose_backup(job, permit);
        if let Some(backup) = &backup {
            self.metrics.count_backup("made");
            log::debug!(request:% = job.request.id, backup:% = backup.endpoint; "backup engine chosen");
        }
        permit.set_backup(backup);
    }

    fn choose_backup(&self, job: &Job, permit: &Permit) -> Option<Backup> {
        let request = self.backup_request(job)?;
        let now = self.now();
        let candidates = self.backup_candidates(now, job, permit);
        let chosen = self
            .backup_planners
            .borrow_mut()
            .entry(job.service.clone())
            .or_default()
            .choose(&request, candidates);
        let (endpoint, address) = chosen?;
        let mut fleet = self.fleet.borrow_mut();
        let id = fleet.begin_copy(endpoint.clone(), request.total_tokens());
        Some(Backup {
            endpoint,
            address,
            id,
            fleet: Rc::clone(&self.fleet),
        })
    }

    /// The size of a generation that may have a backup engine; `None` if it may not.
    fn backup_request(&self, job: &Job) -> Option<BackupRequest> {
        if !self.bounds.backup_copies
            || !is_stream(&job.route)
            || job.route.is_retryable()
            || !self.fleet.borrow().is_adaptive(&job.service)
        {
            return None;
        }
        let engine = self.catalog()?.service(&job.service)?.engine?;
        if !engine.supports_backups {
            return None;
        }
        let (prompt_tokens, expected_output_tokens) = job.token_estimate()?;
        Some(BackupRequest {
            prompt_tokens,
            expected_output_tokens,
            transfer_time: engine.transfer_time(prompt_tokens + expected_output_tokens),
        })
    }

    fn backup_candidates(
        &self,
        now: Time,
        job: &Job,
        permit: &Permit,
    ) -> Vec<BackupCandidate<(EndpointId, SocketAddr)>> {
        let own = &permit.place.endpoint;
        let fleet = self.fleet.borrow();
        let zone = fleet.zone_of(own);
        let version = VersionNeed::Only(permit.place.version.clone());
        let hosts = fleet.copy_hosts(now, &job.service, version, std::slice::from_ref(own));
        hosts
            .into_iter()
            .map(|host| BackupCandidate {
                is_same_zone: Some(&host.zone) == zone,
                memory_total: host.memory_total,
                memory_forecast: host.memory_forecast,
                has_free_slot: host.has_free_slot,
                is_leaving: fleet.terminates_at(&host.endpoint).is_some(),
                spread: rand::random(),
                engine: (host.endpoint, host.address),
            })
            .collect()
    }

    /// Reserves capacity for a run at its backup engine. Returns `None` if the engine gets no
    /// requests now or has another version than `version`.
    pub(crate) fn place_at_backup(
        &self,
        service: &ServiceName,
        backup: &Backup,
        version: Option<Version>,
        size: GenerationSize,
    ) -> Option<Permit> {
        let now = self.now();
        let version = VersionNeed::Only(version);
        let place = self
            .fleet
            .borrow_mut()
            .place_at_copy(now, backup.id, service, version, size)?;
        Some(self.permit(place))
    }

    /// Frees copies at an engine that has no room for a request only because of them. Returns
    /// whether any was freed.
    pub(crate) fn free_copies_for(
        &self,
        now: Time,
        need: &PlacementRequest,
        excluded: &[EndpointId],
    ) -> bool {
        let filled = self.fleet.borrow().filled_by_copies(now, need, excluded);
        let Some(endpoint) = filled else {
            return false;
        };
        let Some(run) = self.runs.cheapest_backup_at(&endpoint) else {
            return false;
        };
        log::info!(request:% = run.request, backup:% = endpoint; "copy freed, as a run needs its room");
        self.metrics.count_backup("freed");
        self.release_backup(&run);
        true
    }

    /// Frees the copy of a run at its backup engine, if it has one.
    pub(crate) fn release_backup(&self, run: &Run) {
        let Some(backup) = run.backup.take() else {
            return;
        };
        // An order to free the run's id must not reach the engine that runs it by now.
        if run.endpoint() == backup.endpoint {
            return;
        }
        let kv_copy = backup.kv_copy(&run.request);
        let endpoints = Rc::clone(&self.endpoint_client);
        tokio::task::spawn_local(async move { endpoints.release(kv_copy).await });
    }

    /// Takes the backups of runs whose backup engine leaves or was lost.
    pub(crate) fn drop_backups_at(&self, endpoint: &EndpointId) {
        for run in self.runs.with_backup_at(endpoint) {
            run.backup.take();
        }
    }

    /// Tells the fleet how many tokens of runs at leaving engines still need room.
    pub(crate) fn update_displaced(&self, now: Time) {
        let mut displaced: BTreeMap<ServiceName, BTreeMap<_, TokenCount>> = BTreeMap::new();
        for run in self.runs.all() {
            let leaving = self.fleet.borrow().terminates_at(&run.endpoint());
            let Some(terminates_at) = leaving.filter(|at| !at.has_passed(now)) else {
                continue;
            };
            let needs_room = !run.status(now).ends_in_place(now, terminates_at);
            if needs_room && self.supports_moves(&run.service) {
                let tokens = run.cached_tokens.get() + run.remaining_tokens.get();
                let versions = displaced.entry(run.service.clone()).or_default();
                *versions.entry(run.version()).or_default() += tokens;
            }
        }
        self.fleet.borrow_mut().set_displaced(displaced);
    }
}
