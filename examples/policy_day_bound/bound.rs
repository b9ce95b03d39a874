//! Computes the highest value that placement and admission could earn.

use crate::{
    demand::RequestGroup,
    fleet::Fleet,
    flow::{ArcId, Network},
    site::Site,
};

/// What the assumed placement knows and may unload.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Placement {
    /// Any runner can serve any model at any time.
    Anything,
    /// One copy of each model is kept; the other copies follow demand with a lag, in seconds.
    KeepsCopies { lag_s: usize },
}

/// The value earned, and the value if all requests were in time.
#[derive(Debug, Clone, Default)]
pub struct Earned {
    pub earned: f64,
    pub owed: f64,
}

impl Earned {
    /// Returns the earned share of the value owed.
    pub fn share(&self) -> f64 {
        if self.owed > 0.0 {
            self.earned / self.owed
        } else {
            1.0
        }
    }
}

/// The input of the bound for one day.
#[derive(Debug)]
pub struct Case<'a> {
    pub site: &'a Site,
    pub requests: &'a [RequestGroup],
    pub fleets: &'a [Fleet],
}

/// The arcs on which the work of one group of requests flows.
struct GroupArcs<'a> {
    group: &'a RequestGroup,
    in_time: Vec<ArcId>,
    late: Vec<ArcId>,
}

impl Case<'_> {
    /// Returns what the wanted requests can earn if there were no others.
    pub fn earned(&self, placement: Placement, wanted: impl Fn(&RequestGroup) -> bool) -> Earned {
        let mut network = Network::default();
        let (source, sink) = (network.node(), network.node());
        let slots = self.slots(&mut network, sink, placement);
        let mut earned = Earned::default();
        let mut groups = Vec::new();
        for group in self.requests.iter().filter(|group| wanted(group)) {
            earned.owed += group.worth;
            let Some(model) = group.model else {
                let in_time = 1.0 - group.lost - group.only_late;
                earned.earned += group.worth * (in_time + group.only_late * group.late_share);
                continue;
            };
            groups.push(self.add_group(&mut network, source, &slots, group, model));
        }
        network.maximize_value(source, sink);
        for arcs in groups {
            let sum = |arcs: &[ArcId]| arcs.iter().map(|arc| network.flow(*arc)).sum::<f64>();
            let worth = arcs.group.worth / arcs.group.work_s;
            earned.earned += worth * (sum(&arcs.in_time) + sum(&arcs.late) * arcs.group.late_share);
        }
        earned
    }

    /// Adds nodes for the work that each model can get in each second; returns the nodes by second
    /// and model.
    fn slots(&self, network: &mut Network, sink: usize, placement: Placement) -> Vec<Vec<usize>> {
        let models = self.site.models.len();
        let mut slots = Vec::new();
        for (second, fleet) in self.fleets.iter().enumerate() {
            let all = network.node();
            network.arc(all, sink, fleet.runners, 0.0);
            let copies = self.copies(second, fleet, placement);
            let nodes = (0..models).map(|model| {
                let node = network.node();
                network.arc(node, all, copies[model].min(fleet.runners), 0.0);
                node
            });
            slots.push(nodes.collect());
        }
        slots
    }

    /// Returns how many runners can serve each model.
    ///
    /// Each model counts as loaded once, even where not all models fit at once.
    fn copies(&self, second: usize, fleet: &Fleet, placement: Placement) -> Vec<f64> {
        let models = self.site.models.len();
        let Placement::KeepsCopies { lag_s } = placement else {
            return vec![fleet.runners; models];
        };
        let spare = (fleet.places - models as f64).max(0.0);
        let mut work = vec![0.0; models];
        let seen = second.saturating_sub(lag_s);
        for group in self.requests.iter().filter(|group| group.second == seen) {
            if let Some(model) = group.model {
                work[model] += group.work_s;
            }
        }
        // Copies are whole: each spare one goes to the model with the most work per copy.
        let mut copies = vec![1.0; models];
        for _ in 0..spare as usize {
            let work_per_copy = |model: &usize| work[*model] / copies[*model];
            let next = (0..models)
                .max_by(|one, other| work_per_copy(one).total_cmp(&work_per_copy(other)));
            if let Some(model) = next {
                copies[model] += 1.0;
            }
        }
        copies
    }

    /// Adds the nodes and arcs of one group of requests.
    fn add_group<'a>(
        &self,
        network: &mut Network,
        source: usize,
        slots: &[Vec<usize>],
        group: &'a RequestGroup,
        model: usize,
    ) -> GroupArcs<'a> {
        let class = &self.site.classes[group.class];
        let worth = group.worth / group.work_s;
        let servable = group.work_s * (1.0 - group.lost);
        let node = network.node();
        network.arc(source, node, servable, 0.0);
        let in_time_node = network.node();
        network.arc(
            node,
            in_time_node,
            group.work_s * (1.0 - group.lost - group.only_late),
            0.0,
        );
        let within = |limit_ms: f64| {
            let last = group.second + (limit_ms / 1e3).ceil() as usize;
            group.second..(last + 1).min(slots.len())
        };
        let in_time = within(class.aim_ms)
            .map(|second| network.arc(in_time_node, slots[second][model], f64::INFINITY, worth));
        let in_time = in_time.collect();
        let late = within(class.deadline_ms).map(|second| {
            network.arc(
                node,
                slots[second][model],
                f64::INFINITY,
                worth * group.late_share,
            )
        });
        let late = late.collect();
        GroupArcs {
            group,
            in_time,
            late,
        }
    }
}
