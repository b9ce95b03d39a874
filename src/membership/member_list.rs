//! The list of members that count as live.

use {super::Member, crate::units::VmName, std::time::Duration, tokio::time::Instant};

/// How long a member counts as live after its key was deleted. Without this grace, a store that
/// loses its leases in an outage would reassign every runner at once.
pub const REMOVAL_GRACE: Duration = Duration::from_secs(5);

/// A member that counts as live.
#[derive(Debug, Clone)]
struct Listed {
    member: Member,
    /// When the member's key was deleted, if it was.
    gone_at: Option<Instant>,
}

/// The members that count as live, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    listed: Vec<Listed>,
}

impl Roster {
    /// Adds a member, or replaces its earlier incarnation.
    ///
    /// Returns whether the live members changed.
    pub fn join(&mut self, member: Member) -> bool {
        match self.find(&member.vm) {
            Ok(position) => {
                let listed = &mut self.listed[position];
                listed.gone_at = None;
                if listed.member.incarnation > member.incarnation || listed.member == member {
                    return false;
                }
                listed.member = member;
                true
            }
            Err(position) => {
                let listed = Listed {
                    member,
                    gone_at: None,
                };
                self.listed.insert(position, listed);
                true
            }
        }
    }

    /// Records that a member's key was deleted; the member counts as live for [`REMOVAL_GRACE`].
    pub fn leave(&mut self, vm: &VmName, now: Instant) {
        if let Ok(position) = self.find(vm) {
            self.listed[position].gone_at.get_or_insert(now);
        }
    }

    /// Removes a member at once, for a planned stop.
    ///
    /// Returns whether the live members changed.
    pub fn depart(&mut self, vm: &VmName) -> bool {
        match self.find(vm) {
            Ok(position) => {
                self.listed.remove(position);
                true
            }
            Err(_) => false,
        }
    }

    /// Adds the members of a full read, and starts the removal grace of all others.
    ///
    /// Returns whether the live members changed.
    pub fn replace(&mut self, members: Vec<Member>, now: Instant) -> bool {
        for listed in &mut self.listed {
            if members.iter().all(|member| member.vm != listed.member.vm) {
                listed.gone_at.get_or_insert(now);
            }
        }
        let mut changed = false;
        for member in members {
            changed |= self.join(member);
        }
        changed
    }

    /// Removes the members whose removal grace is over.
    ///
    /// Returns whether the live members changed.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.listed.len();
        let is_over = |gone_at: Instant| now.duration_since(gone_at) >= REMOVAL_GRACE;
        self.listed
            .retain(|listed| !listed.gone_at.is_some_and(is_over));
        self.listed.len() != before
    }

    /// Returns the live members, sorted by name.
    pub fn members(&self) -> Vec<Member> {
        self.listed
            .iter()
            .map(|listed| listed.member.clone())
            .collect()
    }

    fn find(&self, vm: &VmName) -> Result<usize, usize> {
        self.listed
            .binary_search_by(|listed| listed.member.vm.cmp(vm))
    }
}
