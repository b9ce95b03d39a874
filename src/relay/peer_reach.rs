//! Which peers reach the runners of a service, by their answers to requests that were passed on.
//!
//! Load pattern: several nodes lose their runners at once, so that a peer chosen at random is often
//! cut off itself. Each of them refuses at once, and the others take the load in turn.

use {
    crate::{
        leader::PeerNode,
        traffic::{NodeName, ServiceId, ZoneId},
    },
    rand::seq::SliceRandom,
    std::time::Duration,
    tokio::time::Instant,
};

/// The most peers that are asked for one request.
const PEERS_ASKED_MAX: usize = 4;

/// How long the answer of a peer counts.
const ANSWER_TTL: Duration = Duration::from_secs(2);

/// The peers, none of which reaches a service, after which the others are not asked.
const PEERS_OUT_MAX: usize = 8;

/// The last answer of a peer about a service.
#[derive(Debug)]
struct PeerAnswer {
    peer: NodeName,
    service: ServiceId,
    reaches: bool,
    at: Instant,
}

/// The last answers of peers.
#[derive(Debug, Default)]
pub(super) struct PeerReach(Vec<PeerAnswer>);

impl PeerReach {
    /// Records whether a peer reaches the runners of a service.
    pub(super) fn record(
        &mut self,
        peer: &NodeName,
        service: &ServiceId,
        reaches: bool,
        now: Instant,
    ) {
        self.0.retain(|answer| {
            let is_same = answer.peer == *peer && answer.service == *service;
            !is_same && now < answer.at + ANSWER_TTL
        });
        self.0.push(PeerAnswer {
            peer: peer.clone(),
            service: service.clone(),
            reaches,
            at: now,
        });
    }

    /// Returns the peers to ask for a request, in order: at random, those of the own data centre
    /// first, without those that do not reach the service.
    pub(super) fn peers_to_ask(
        &self,
        mut peers: Vec<PeerNode>,
        service: &ServiceId,
        zone: &ZoneId,
        now: Instant,
    ) -> Vec<PeerNode> {
        peers.retain(|peer| self.answer(&peer.name, service, now) != Some(false));
        peers.shuffle(&mut rand::rng());
        peers.sort_by_key(|peer| peer.zone != *zone);
        peers.truncate(PEERS_ASKED_MAX);
        peers
    }

    /// Returns whether no peer is likely to reach a service.
    pub(super) fn is_out_everywhere(
        &self,
        peers_count: usize,
        service: &ServiceId,
        now: Instant,
    ) -> bool {
        let recent = self.0.iter();
        let recent = recent.filter(|answer| answer.service == *service);
        let mut out = 0;
        for answer in recent.filter(|answer| now < answer.at + ANSWER_TTL) {
            if answer.reaches {
                return false;
            }
            out += 1;
        }
        out >= peers_count.min(PEERS_OUT_MAX)
    }

    fn answer(&self, peer: &NodeName, service: &ServiceId, now: Instant) -> Option<bool> {
        let mut answers = self.0.iter();
        let answer = answers.find(|answer| answer.peer == *peer && answer.service == *service)?;
        (now < answer.at + ANSWER_TTL).then_some(answer.reaches)
    }
}
