//! The share of its quota up to which each workspace goes first when there is too little room.

/// The fewest workspaces with demand among which shares are compared.
const COMPARED_MIN: usize = 3;

/// By how much a workspace may be above the usual share before its excess waits.
const TOLERANCE: f64 = 1.15;

/// Returns the share of its quota up to which each workspace goes first, from the demand of all
/// workspaces relative to their quotas; `None` if there are too few to compare.
///
/// Load: one workspace sends many times its usual while the runners have too little room. Its
/// demand relative to its quota is far above that of most workspaces, and what is above goes behind
/// the requests of the others at all nodes, in tokens. If all workspaces send more, none does.
pub fn fair_level(mut demands: Vec<f64>) -> Option<f64> {
    if demands.len() < COMPARED_MIN {
        return None;
    }
    demands.sort_by(f64::total_cmp);
    Some(demands[demands.len() / 2] * TOLERANCE)
}
