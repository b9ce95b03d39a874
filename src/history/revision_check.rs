//! Checks that each revision is published once, reaches every VM in time and is never replaced by
//! an older one.

use {
    super::RevisionEvent,
    crate::{
        config::Digest,
        units::{PublishId, Revision, VmName},
    },
    thiserror::Error,
};

/// Why a history of published revisions is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RevisionViolation {
    /// A VM put a lower revision in force, or the same one again.
    #[error("{vm} went from revision {from} to {to}")]
    NotIncreasing {
        /// The VM of the violation.
        vm: VmName,
        /// The revision that was in force.
        from: Revision,
        /// The revision that replaced it.
        to: Revision,
    },
    /// A revision belongs to two publications or has two contents.
    #[error("revision {0} belongs to two publications")]
    DuplicateRevision(Revision),
    /// A publication is in force although it was reported as not published.
    #[error("publication {0} is in force although it was reported as not published")]
    InForceAfterRefusal(PublishId),
    /// A VM did not put an accepted revision in force in time.
    #[error("{vm} did not put revision {revision} in force in time")]
    Late {
        /// The VM of the violation.
        vm: VmName,
        /// The accepted revision.
        revision: Revision,
    },
    /// A VM did not put a revision in force that was in force at another VM, whatever outcome was
    /// reported for the publication.
    #[error("{vm} did not put revision {revision} in force, which was in force at another VM")]
    MissingAtVm {
        /// The VM of the violation.
        vm: VmName,
        /// The missing revision.
        revision: Revision,
    },
}

/// Checks a history of a run that ended at `end_ms`.
///
/// Each VM must have an accepted revision, or a later one, in force `bound_ms` after its acceptance
/// or after the start of the VM, whichever is later. The same holds for a revision that came into
/// force at a VM which then stays up for `bound_ms`, even if the operator got no response.
pub fn check_revisions(
    events: &[RevisionEvent],
    bound_ms: u64,
    end_ms: u64,
) -> Vec<RevisionViolation> {
    let mut violations = find_non_increasing(events);
    violations.extend(find_duplicate_revisions(events));
    violations.extend(find_in_force_after_refusal(events));
    violations.extend(find_late(events, bound_ms, end_ms));
    violations.extend(find_missing_at_vm(events, bound_ms, end_ms));
    violations
}

fn find_non_increasing(events: &[RevisionEvent]) -> Vec<RevisionViolation> {
    let mut violations = Vec::new();
    for (position, event) in events.iter().enumerate() {
        let RevisionEvent::InForce { vm, head, .. } = event else {
            continue;
        };
        let before = last_in_force(&events[..position], vm);
        if before >= head.revision {
            violations.push(RevisionViolation::NotIncreasing {
                vm: vm.clone(),
                from: before,
                to: head.revision,
            });
        }
    }
    violations
}

/// Returns the revision that a VM has in force after some events; zero after its start.
fn last_in_force(events: &[RevisionEvent], wanted: &VmName) -> Revision {
    for event in events.iter().rev() {
        match event {
            RevisionEvent::InForce { vm, head, .. } if vm == wanted => return head.revision,
            RevisionEvent::Started { vm, .. } if vm == wanted => break,
            _ => {}
        }
    }
    Revision::default()
}

fn find_duplicate_revisions(events: &[RevisionEvent]) -> Vec<RevisionViolation> {
    let mut published: Vec<(Revision, PublishId, Digest)> = events
        .iter()
        .filter_map(|event| match event {
            RevisionEvent::Published { head, .. } | RevisionEvent::InForce { head, .. } => {
                Some((head.revision, head.publish_id, head.digest))
            }
            _ => None,
        })
        .collect();
    published.sort();
    published.dedup();
    let pairs = published.windows(2);
    let duplicates = pairs.filter(|pair| pair[0].0 == pair[1].0);
    duplicates
        .map(|pair| RevisionViolation::DuplicateRevision(pair[0].0))
        .collect()
}

fn find_in_force_after_refusal(events: &[RevisionEvent]) -> Vec<RevisionViolation> {
    let mut refused: Vec<PublishId> = events
        .iter()
        .filter_map(|event| match event {
            RevisionEvent::NotPublished { publish_id } => Some(*publish_id),
            _ => None,
        })
        .collect();
    refused.sort();
    let mut in_force_ids: Vec<PublishId> = events
        .iter()
        .filter_map(|event| match event {
            RevisionEvent::InForce { head, .. } => Some(head.publish_id),
            _ => None,
        })
        .filter(|publish_id| refused.binary_search(publish_id).is_ok())
        .collect();
    in_force_ids.sort();
    in_force_ids.dedup();
    let violations = in_force_ids.into_iter();
    violations
        .map(RevisionViolation::InForceAfterRefusal)
        .collect()
}

/// Returns the sorted times, in milliseconds, that accepted revisions took to come into force at
/// each VM that was up at their acceptance and stayed up until then.
pub fn in_force_delays_ms(events: &[RevisionEvent], end_ms: u64) -> Vec<u64> {
    let mut delays_ms = Vec::new();
    let uptimes = find_uptimes(events, end_ms);
    for event in events {
        let RevisionEvent::Published { at_ms, head } = event else {
            continue;
        };
        let up = |uptime: &&Uptime| uptime.start_ms <= *at_ms && uptime.stop_ms > *at_ms;
        for uptime in uptimes.iter().filter(up) {
            let in_force_ms = in_force_at(events, uptime, head.revision);
            delays_ms.extend(in_force_ms.map(|reached_ms| reached_ms.saturating_sub(*at_ms)));
        }
    }
    delays_ms.sort_unstable();
    delays_ms
}

fn find_missing_at_vm(
    events: &[RevisionEvent],
    bound_ms: u64,
    end_ms: u64,
) -> Vec<RevisionViolation> {
    let mut violations = Vec::new();
    let uptimes = find_uptimes(events, end_ms);
    for (at_ms, revision) in adopted_revisions(events, &uptimes, bound_ms) {
        for uptime in &uptimes {
            let due_ms = uptime.start_ms.max(at_ms) + bound_ms;
            if due_ms <= uptime.stop_ms && !had_in_force(events, uptime, revision, due_ms) {
                violations.push(RevisionViolation::MissingAtVm {
                    vm: uptime.vm.clone(),
                    revision,
                });
            }
        }
    }
    violations
}

/// Returns when each revision first came into force at a VM that stayed up for `bound_ms`.
fn adopted_revisions(
    events: &[RevisionEvent],
    uptimes: &[Uptime],
    bound_ms: u64,
) -> Vec<(u64, Revision)> {
    let mut adopted: Vec<(u64, Revision)> = Vec::new();
    for event in events {
        let RevisionEvent::InForce { at_ms, vm, head } = event else {
            continue;
        };
        let is_adopted = |uptime: &Uptime| uptime.vm == vm && uptime.stop_ms >= at_ms + bound_ms;
        let known = adopted
            .iter()
            .any(|(_, revision)| *revision == head.revision);
        if !known && uptimes.iter().any(is_adopted) {
            adopted.push((*at_ms, head.revision));
        }
    }
    adopted
}

/// One period of a VM from its start to its stop.
struct Uptime<'a> {
    vm: &'a VmName,
    start_ms: u64,
    stop_ms: u64,
}

fn find_late(events: &[RevisionEvent], bound_ms: u64, end_ms: u64) -> Vec<RevisionViolation> {
    let mut violations = Vec::new();
    let uptimes = find_uptimes(events, end_ms);
    for event in events {
        let RevisionEvent::Published { at_ms, head } = event else {
            continue;
        };
        for uptime in &uptimes {
            let due_ms = uptime.start_ms.max(*at_ms) + bound_ms;
            if due_ms <= uptime.stop_ms && !had_in_force(events, uptime, head.revision, due_ms) {
                violations.push(RevisionViolation::Late {
                    vm: uptime.vm.clone(),
                    revision: head.revision,
                });
            }
        }
    }
    violations
}

fn find_uptimes(events: &[RevisionEvent], end_ms: u64) -> Vec<Uptime<'_>> {
    let mut uptimes: Vec<Uptime> = Vec::new();
    for event in events {
        match event {
            RevisionEvent::Started { at_ms, vm } => uptimes.push(Uptime {
                vm,
                start_ms: *at_ms,
                stop_ms: end_ms,
            }),
            RevisionEvent::Stopped { at_ms, vm } => {
                if let Some(uptime) = uptimes.iter_mut().rev().find(|uptime| uptime.vm == vm) {
                    uptime.stop_ms = *at_ms;
                }
            }
            _ => {}
        }
    }
    uptimes
}

fn had_in_force(events: &[RevisionEvent], uptime: &Uptime, wanted: Revision, due_ms: u64) -> bool {
    in_force_at(events, uptime, wanted).is_some_and(|at_ms| at_ms <= due_ms)
}

/// Returns when a VM first had a revision or a later one in force, counted from the start of an
/// uptime.
fn in_force_at(events: &[RevisionEvent], uptime: &Uptime, wanted: Revision) -> Option<u64> {
    events.iter().find_map(|event| match event {
        RevisionEvent::InForce { at_ms, vm, head }
            if vm == uptime.vm && head.revision >= wanted && *at_ms >= uptime.start_ms =>
        {
            Some(*at_ms)
        }
        _ => None,
    })
}
