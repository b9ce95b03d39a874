//! A model of the head as a compare-and-swap register, for the linearizability checker of
//! `todc-utils`.

use {
    greengagetrail::{
        config::Head,
        units::{PublishId, Revision},
    },
    std::cell::RefCell,
    todc_utils::{Action, History, Specification, WGLChecker},
};

/// An operation on the head, with its outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadOp {
    /// A read of the head: its revision and publish id.
    Read(Revision, Option<PublishId>),
    /// A publication based on the first revision became the second.
    Published(Revision, Revision, PublishId),
    /// A publication based on the first revision conflicted with the second, newer one.
    Conflict(Revision, Revision),
}

impl HeadOp {
    /// Returns the operation of a read.
    pub fn read(head: Option<&Head>) -> Self {
        match head {
            Some(head) => Self::Read(head.revision, Some(head.publish_id)),
            None => Self::Read(Revision(0), None),
        }
    }
}

/// The sequential specification of the head.
struct HeadRegister;

impl Specification for HeadRegister {
    type State = (Revision, Option<PublishId>);
    type Operation = HeadOp;

    fn init() -> Self::State {
        (Revision(0), None)
    }

    fn apply(operation: &HeadOp, state: &Self::State) -> (bool, Self::State) {
        let revision = state.0;
        match *operation {
            HeadOp::Read(revision, id) => ((revision, id) == *state, *state),
            HeadOp::Published(expected, next, id) => (
                revision == expected && next == expected.next(),
                (next, Some(id)),
            ),
            HeadOp::Conflict(expected, newest) => (revision == newest && newest > expected, *state),
        }
    }
}

/// The calls and responses of one run, in order.
#[derive(Debug, Clone, Default)]
pub struct HeadHistory {
    actions: RefCell<Vec<(usize, Action<Option<HeadOp>>)>>,
    /// The calls of unknown outcome.
    unresolved: RefCell<Vec<(usize, PublishId)>>,
}

impl HeadHistory {
    /// Records a call and returns its process number.
    pub fn call(&self) -> usize {
        let mut actions = self.actions.borrow_mut();
        let is_call = |(_, action): &&(_, Action<_>)| matches!(action, Action::Call(_));
        let process = actions.iter().filter(is_call).count();
        actions.push((process, Action::Call(None)));
        process
    }

    /// Records the response to a call; a call without one took no effect.
    pub fn respond(&self, process: usize, operation: HeadOp) {
        let mut actions = self.actions.borrow_mut();
        actions.push((process, Action::Response(Some(operation))));
    }

    /// Records that the outcome of a call is unknown.
    pub fn record_unresolved(&self, process: usize, publish_id: PublishId) {
        self.unresolved.borrow_mut().push((process, publish_id));
    }

    /// Resolves the calls of unknown outcome: they took effect if they are in the chain of heads.
    pub fn resolve_from_chain(&self, chain: &[Head]) {
        for (process, publish_id) in self.unresolved.take() {
            let entry = chain.iter().find(|head| head.publish_id == publish_id);
            if let Some(Head { revision, .. }) = entry {
                let expected = Revision(revision.0 - 1);
                self.respond(process, HeadOp::Published(expected, *revision, publish_id));
            }
        }
    }

    /// Returns whether a sequential order of the operations is consistent with every outcome.
    pub fn is_linearizable(&self) -> bool {
        let actions = self.actions.borrow();
        let response_of = |call: usize| {
            actions.iter().find_map(|(process, action)| match action {
                Action::Response(operation) if *process == call => *operation,
                _ => None,
            })
        };
        let complete = actions.iter().filter_map(|(process, action)| {
            let operation = response_of(*process)?;
            let action = match action {
                Action::Call(_) => Action::Call(operation),
                Action::Response(_) => Action::Response(operation),
            };
            Some((*process, action))
        });
        let history = History::from_actions(complete.collect());
        WGLChecker::<HeadRegister>::is_linearizable(history)
    }

    /// Returns the history with one conflict replaced by a second publication of the same revision.
    pub fn with_duplicate_revision(&self) -> Self {
        self.mutate(|operation| match *operation {
            HeadOp::Conflict(expected, _) => Some(HeadOp::Published(
                expected,
                expected.next(),
                PublishId::random(),
            )),
            _ => None,
        })
    }

    /// Returns the history with the last read of a head replaced by a read of no head.
    pub fn with_stale_read(&self) -> Self {
        self.mutate(|operation| match *operation {
            HeadOp::Read(_, Some(_)) => Some(HeadOp::Read(Revision(0), None)),
            _ => None,
        })
    }

    /// Replaces the last operation that a change applies to.
    fn mutate(&self, change: impl Fn(&HeadOp) -> Option<HeadOp>) -> Self {
        let mutated = self.clone();
        let mut actions = mutated.actions.borrow_mut();
        let changed = actions
            .iter_mut()
            .rev()
            .find_map(|(_, action)| match action {
                Action::Response(Some(operation)) => change(operation).map(|new| *operation = new),
                _ => None,
            });
        assert!(changed.is_some(), "the history has nothing to mutate");
        drop(actions);
        mutated
    }
}
