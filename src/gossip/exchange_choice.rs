//! Choice of the aggregator that a node of a large system reports to.

use {
    super::{Contact, Exchange, Kind, Outgoing, Surroundings, exchange::Choice, frame, ranking},
    tokio::time::Instant,
};

impl Exchange {
    /// Chooses the aggregator: the first node of the own data centre's ranking that responds.
    pub(super) fn choose(&mut self, around: &Surroundings, outgoing: &mut Vec<Outgoing>) {
        let now = around.now;
        let choice = if around.is_large {
            self.followed = None;
            self.first_of_ranking(around, outgoing)
        } else {
            match self.follows(now).cloned() {
                Some(contact) => Choice::Other(contact),
                None => Choice::Nobody,
            }
        };
        let same = match (&choice, &self.choice) {
            (Choice::Other(new), Choice::Other(known)) => new.name == known.name,
            (new, known) => new == known,
        };
        if !same {
            log::debug!("gossip: aggregator changed to {choice:?}");
            self.has_digest = false;
            self.due.report = now;
            self.due.plan = now;
            self.due.digest = now;
        }
        self.choice = choice;
    }

    fn first_of_ranking(&self, around: &Surroundings, outgoing: &mut Vec<Outgoing>) -> Choice {
        let others = around.peers.iter().filter(|p| p.name != self.me.name);
        for node in ranking(others.chain([&self.me]), &self.me.zone) {
            if node.name == self.me.name {
                return Choice::Own;
            }
            if !self.silence.is_silent(&node.name, around.now) {
                return Choice::Other(node.into());
            }
            if self.silence.is_due_again(&node.name, around.now) {
                let sender = self.sender(around.config_version);
                let bytes = frame(&sender, &Kind::Ping, &[]);
                let address = node.gossip_address;
                outgoing.push(Outgoing { address, bytes });
            }
        }
        Choice::Nobody
    }

    /// Returns the aggregator that a node with a short list of peers learned of, while it responds.
    pub(super) fn follows(&self, now: Instant) -> Option<&Contact> {
        let followed = self.followed.as_ref();
        let contact = followed.filter(|(_, until)| now < *until);
        let contact = contact.map(|(contact, _)| contact);
        contact.filter(|contact| !self.silence.is_silent(&contact.name, now))
    }
}
