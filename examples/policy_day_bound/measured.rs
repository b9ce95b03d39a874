//! Reads the measured days of a journal entry.

use serde_json::Value;

/// The measured results of a day.
#[derive(Debug, Clone, PartialEq)]
pub struct Measured {
    pub worth: f64,
    pub served: f64,
    pub machines: f64,
    pub prices: f64,
}

/// Returns the results of a day from a journal entry.
pub fn of_day(journal: &Value, name: &str) -> Option<Measured> {
    let days = journal.get("days")?.as_array()?;
    let day = days
        .iter()
        .find(|day| day.get("name").and_then(Value::as_str) == Some(name))?;
    let prices: Vec<(&str, f64)> = day
        .get("prices")?
        .as_array()?
        .iter()
        .filter_map(|line| Some((line.get(0)?.as_str()?, line.get(2)?.as_f64()?)))
        .collect();
    let machines = prices
        .iter()
        .find(|(line, _)| *line == "machine-seconds")?
        .1;
    let processor = prices
        .iter()
        .find(|(line, _)| *line == "processor seconds")?
        .1;
    Some(Measured {
        worth: day.get("G")?.as_f64()?,
        served: day.get("served")?.as_f64()?,
        machines,
        prices: prices.iter().map(|(_, share)| share).sum::<f64>() - machines - processor,
    })
}
