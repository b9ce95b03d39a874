//! Maximum-value flow through a network, by successive augmenting paths of the highest value.

/// Amounts and values below this count as zero.
const EPSILON: f64 = 1e-9;

/// A directed arc of the residual network.
#[derive(Debug, Clone)]
struct Arc {
    to: usize,
    residual: f64,
    value: f64,
}

/// A network whose arcs have a capacity and a value per unit of flow.
#[derive(Debug, Default)]
pub struct Network {
    arcs: Vec<Arc>,
    from: Vec<Vec<usize>>,
}

/// The identifier of an arc of a network.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ArcId(usize);

impl Network {
    /// Adds a node and returns its index.
    pub fn node(&mut self) -> usize {
        self.from.push(Vec::new());
        self.from.len() - 1
    }

    /// Adds an arc with a capacity and a value per unit of flow.
    pub fn arc(&mut self, from: usize, to: usize, capacity: f64, value: f64) -> ArcId {
        let id = self.arcs.len();
        self.arcs.push(Arc {
            to,
            residual: capacity,
            value,
        });
        self.arcs.push(Arc {
            to: from,
            residual: 0.0,
            value: -value,
        });
        self.from[from].push(id);
        self.from[to].push(id + 1);
        ArcId(id)
    }

    /// Returns the flow through an arc.
    pub fn flow(&self, arc: ArcId) -> f64 {
        self.arcs[arc.0 + 1].residual
    }

    /// Sends flow along paths of positive value until none is left; returns the total value.
    pub fn maximize_value(&mut self, source: usize, sink: usize) -> f64 {
        let mut total = 0.0;
        while let Some((value, path)) = self.best_path(source, sink) {
            let residuals = path.iter().map(|id| self.arcs[*id].residual);
            let amount = residuals.fold(f64::INFINITY, f64::min);
            for id in path {
                self.arcs[id].residual -= amount;
                self.arcs[id ^ 1].residual += amount;
            }
            total += value * amount;
        }
        total
    }

    /// Returns the augmenting path of the highest value with that value, if it is positive.
    fn best_path(&self, source: usize, sink: usize) -> Option<(f64, Vec<usize>)> {
        let mut best = vec![f64::NEG_INFINITY; self.from.len()];
        let mut via = vec![usize::MAX; self.from.len()];
        let mut queued = vec![false; self.from.len()];
        let mut queue = std::collections::VecDeque::from([source]);
        best[source] = 0.0;
        while let Some(node) = queue.pop_front() {
            queued[node] = false;
            for id in &self.from[node] {
                let arc = &self.arcs[*id];
                let value = best[node] + arc.value;
                if arc.residual > EPSILON && value > best[arc.to] + EPSILON {
                    best[arc.to] = value;
                    via[arc.to] = *id;
                    if !std::mem::replace(&mut queued[arc.to], true) {
                        queue.push_back(arc.to);
                    }
                }
            }
        }
        if best[sink] <= EPSILON {
            return None;
        }
        let mut path = Vec::new();
        let mut node = sink;
        while node != source {
            path.push(via[node]);
            node = self.arcs[via[node] ^ 1].to;
        }
        Some((best[sink], path))
    }
}
