//! Assigns runners to queued requests, the most urgent first.

use {
    super::{
        Place, Variant,
        board_shared::{BoardShared, Grant},
        service_runners::{Chosen, ServiceRunners},
        wait_queue::Ask,
    },
    std::sync::Arc,
    tokio::time::Instant,
};

impl BoardShared {
    /// Assigns runners to the queued requests of a service that can be served now.
    pub(super) fn pump(
        self: &Arc<Self>,
        service: &mut ServiceRunners,
        grants: &mut Vec<Grant>,
        now: Instant,
    ) {
        if service.queue.is_empty() {
            return;
        }
        let mut blocked: Vec<(Option<Variant>, bool)> = Vec::new();
        let mut kept = Vec::new();
        for mut waiter in service.queue.take_ordered(service.answer_at(now)) {
            let first_try = waiter.ask.tried.is_empty();
            let known = blocked.iter().find(|(v, _)| *v == waiter.ask.variant);
            if let Some((_, no_copy)) = known.filter(|_| first_try) {
                waiter.no_copy = *no_copy;
                kept.push(waiter);
                continue;
            }
            match service.choose(&waiter.ask, &self.zone, now) {
                Chosen::Runner(position) => {
                    let place = self.seat(service, position, &waiter.ask, now);
                    let sender = waiter.sender;
                    let answer = Ok(place);
                    grants.push(Grant { sender, answer });
                    continue;
                }
                chosen => waiter.no_copy = chosen == Chosen::NoCopy,
            }
            if first_try {
                blocked.push((waiter.ask.variant.clone(), waiter.no_copy));
            }
            kept.push(waiter);
        }
        service.queue.put_back(kept);
    }

    /// Reserves capacity of a runner for a request.
    pub(super) fn seat(
        self: &Arc<Self>,
        service: &mut ServiceRunners,
        position: usize,
        ask: &Ask,
        now: Instant,
    ) -> Place {
        let name = service.name.clone();
        let slot = &mut service.slots[position];
        let load = slot.reserve(ask, now);
        self.gossip_soon.notify_one();
        Place {
            runner: slot.entry.clone(),
            priority: ask.priority.min(9),
            service: name,
            load,
            output_tokens: ask.need.kv_tokens.saturating_sub(ask.need.prompt_tokens),
            started_at: now,
            first_event_at: None,
            outcome: None,
            board: self.clone(),
        }
    }
}
