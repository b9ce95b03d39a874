//! Assigns runners to queued requests, the most urgent first.

use {
    super::{
        Assignment, DispatchRefusal, Variant,
        registry_shared::{Grant, RegistryShared},
        service_runners::{Selection, ServiceRunners},
        wait_queue::RequestProfile,
    },
    crate::{capacity::StreamPace, traffic::SoftwareVersion},
    std::sync::Arc,
    tokio::time::Instant,
};

impl RegistryShared {
    /// Assigns runners to the queued requests of a service that can be served now.
    pub(super) fn assign_queued(
        self: &Arc<Self>,
        service: &mut ServiceRunners,
        grants: &mut Vec<Grant>,
        now: Instant,
    ) {
        if service.queue.is_empty() {
            return;
        }
        let mut blocked: Vec<(Option<Variant>, Option<SoftwareVersion>, bool)> = Vec::new();
        let mut remaining = Vec::new();
        for mut queued in service
            .queue
            .take_ordered(service.expected_response_at(now))
        {
            let is_first_attempt = queued.profile.tried_runners.is_empty();
            let profile = &queued.profile;
            let is_same = |variant: &Option<Variant>, software: &Option<SoftwareVersion>| {
                *variant == profile.variant && *software == profile.software
            };
            let same = blocked.iter().find(|(v, s, _)| is_same(v, s));
            if let Some((_, _, waits_for_copy)) = same.filter(|_| is_first_attempt) {
                queued.waits_for_copy = *waits_for_copy;
                remaining.push(queued);
                continue;
            }
            match service.choose(&queued.profile, &self.zone, now) {
                Selection::Runner(position) => {
                    let assignment = self.reserve(service, position, &queued.profile, now);
                    let sender = queued.sender;
                    let result = Ok(assignment);
                    grants.push(Grant { sender, result });
                    continue;
                }
                Selection::OutOfReach => {
                    let sender = queued.sender;
                    let result = Err(DispatchRefusal::OUT_OF_REACH);
                    grants.push(Grant { sender, result });
                    continue;
                }
                Selection::NoCopy if queued.profile.software.is_some() => {
                    let sender = queued.sender;
                    let result = Err(DispatchRefusal::NO_SOFTWARE);
                    grants.push(Grant { sender, result });
                    continue;
                }
                selection => queued.waits_for_copy = selection == Selection::NoCopy,
            }
            if is_first_attempt {
                let profile = &queued.profile;
                blocked.push((
                    profile.variant.clone(),
                    profile.software.clone(),
                    queued.waits_for_copy,
                ));
            }
            remaining.push(queued);
        }
        service.queue.put_back(remaining);
    }

    /// Reserves capacity of a runner for a request.
    pub(super) fn reserve(
        self: &Arc<Self>,
        service: &mut ServiceRunners,
        position: usize,
        profile: &RequestProfile,
        now: Instant,
    ) -> Assignment {
        let service_name = service.name.clone();
        let runner = &mut service.runners[position];
        if runner.gate.limit.limit().is_some() {
            let (first, further) = &mut service.limited_attempts;
            match profile.tried_runners.is_empty() {
                true => *first += 1,
                false => *further += 1,
            }
        }
        runner.gate.limit.record_sent(now);
        let load = runner.reserve(profile, now);
        self.report_pending.notify_one();
        Assignment {
            runner: runner.entry.clone(),
            service: service_name,
            load,
            output_tokens: profile
                .needs
                .kv_tokens
                .saturating_sub(profile.needs.prompt_tokens),
            started_at: now,
            first_event_at: None,
            last_event_at: None,
            pace: StreamPace::default(),
            ends_with_connection: false,
            fingerprint: profile.fingerprint.clone(),
            software: profile.software.clone(),
            outcome: None,
            registry: self.clone(),
        }
    }
}
