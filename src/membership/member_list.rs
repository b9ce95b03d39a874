//! The list of members that count as live.

use {super::Member, crate::units::VmName, std::time::Duration, tokio::time::Instant};

/// How long a member counts as live after its key was deleted. Without this grace, a store that
/// loses its leases in an outage would reassign every runner at once.
pub const REMOVAL_GRACE: Duration = Duration::from_secs(5);

/// A member that counts as live.
#[derive(Debug, Clone)]
struct ListedMember {
    member: Member,
    /// When the member's key was deleted, if it was.
    deleted_at: Option<Instant>,
}

/// The members that count as live, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct MemberList {
    members: Vec<ListedMember>,
}

impl MemberList {
    /// Adds a member, or replaces its earlier incarnation.
    ///
    /// Returns whether the live members changed.
    pub fn insert(&mut self, member: Member) -> bool {
        match self.position_of(&member.vm) {
            Ok(position) => {
                let listed = &mut self.members[position];
                listed.deleted_at = None;
                if listed.member.incarnation > member.incarnation || listed.member == member {
                    return false;
                }
                listed.member = member;
                true
            }
            Err(position) => {
                let listed = ListedMember {
                    member,
                    deleted_at: None,
                };
                self.members.insert(position, listed);
                true
            }
        }
    }

    /// Records that a member's key was deleted; the member counts as live for [`REMOVAL_GRACE`].
    pub fn mark_missing(&mut self, vm: &VmName, now: Instant) {
        if let Ok(position) = self.position_of(vm) {
            self.members[position].deleted_at.get_or_insert(now);
        }
    }

    /// Removes a member at once, for a planned stop.
    ///
    /// Returns whether the live members changed.
    pub fn remove(&mut self, vm: &VmName) -> bool {
        match self.position_of(vm) {
            Ok(position) => {
                self.members.remove(position);
                true
            }
            Err(_) => false,
        }
    }

    /// Adds the members of a full read, and starts the removal grace of all others.
    ///
    /// Returns whether the live members changed.
    pub fn replace(&mut self, members: Vec<Member>, now: Instant) -> bool {
        for listed in &mut self.members {
            if members.iter().all(|member| member.vm != listed.member.vm) {
                listed.deleted_at.get_or_insert(now);
            }
        }
        let mut changed = false;
        for member in members {
            changed |= self.insert(member);
        }
        changed
    }

    /// Removes the members whose removal grace is over.
    ///
    /// Returns whether the live members changed.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        let before = self.members.len();
        let is_expired = |deleted_at: Instant| now.duration_since(deleted_at) >= REMOVAL_GRACE;
        self.members
            .retain(|listed| !listed.deleted_at.is_some_and(is_expired));
        self.members.len() != before
    }

    /// Returns the live members, sorted by name.
    pub fn members(&self) -> Vec<Member> {
        self.members
            .iter()
            .map(|listed| listed.member.clone())
            .collect()
    }

    fn position_of(&self, vm: &VmName) -> Result<usize, usize> {
        self.members
            .binary_search_by(|listed| listed.member.vm.cmp(vm))
    }
}
