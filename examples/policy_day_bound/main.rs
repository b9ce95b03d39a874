//! Computes for each standard day of a site file what a placement with full knowledge could earn.
//!
//! `cargo run --release --example policy_day_bound -- SITE.toml [JOURNAL.json]`

mod bound;
mod demand;
mod fleet;
mod flow;
mod measured;
mod site;

use {
    bound::{Case, Placement},
    demand::{RequestGroup, length_s, request_groups},
    fleet::fleets,
    measured::Measured,
    site::{Day, Site},
    std::error::Error,
};

/// The length of the windows whose value is scored separately, in seconds.
const WINDOW_S: usize = 2;

/// The upper bounds of one day.
struct DayBound {
    whole: f64,
    windows: f64,
    class: f64,
    worth: f64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args().skip(1);
    let path = arguments.next().ok_or("the site file is missing")?;
    let site: Site = toml::from_str(&std::fs::read_to_string(path)?)?;
    let journal = arguments.next().map(std::fs::read_to_string).transpose()?;
    let journal = journal
        .map(|text| serde_json::from_str(&text))
        .transpose()?;
    println!(
        "{}: runner-seconds of a request in a full batch:",
        site.name
    );
    for class in &site.classes {
        if let (Some(stream), Some((_, engine, _))) = (&class.stream, site.model_service()) {
            let model = &site.models[stream.only[0]];
            println!(
                "  {}: {:.3}",
                class.name,
                demand::work_s(engine, stream, model)
            );
        }
    }
    println!(
        "| day | fewest runners | peak work | capacity alone | copies kept | windows | class | bound | seen after disk | seen after load | measured | distance | mark one |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for day in &site.day {
        let measured = journal
            .as_ref()
            .and_then(|journal| measured::of_day(journal, &day.name));
        print_day(&site, day, measured);
    }
    Ok(())
}

/// Prints the table row of a day.
fn print_day(site: &Site, day: &Day, measured: Option<Measured>) {
    let groups = request_groups(site, day);
    let fleets = fleets(site, day);
    let case = Case {
        site,
        requests: &groups,
        fleets: &fleets,
    };
    let machines = measured
        .as_ref()
        .map_or_else(|| machine_share(site, day, &groups), |m| m.machines);
    let longest = |times: fn(&site::Model) -> f64| {
        site.models.iter().map(times).fold(0.0, f64::max).ceil() as usize
    };
    let after = |lag_s: usize| day_bound(&case, Placement::KeepsCopies { lag_s }, machines);
    let free = day_bound(&case, Placement::Anything, machines);
    let kept = after(0);
    let disk = after(longest(|model| model.disk_s));
    let load = after(longest(|model| model.load_s));
    let fewest = fleets
        .iter()
        .map(|fleet| fleet.runners)
        .fold(f64::INFINITY, f64::min);
    let peak = (0..fleets.len()).map(|second| work(&groups, second) / fleets[second].runners);
    let peak = peak.fold(0.0, f64::max);
    let (seen, distance) = measured.map_or(("-".into(), "-".into()), |measured| {
        (
            format!("{:.3}", measured.worth),
            format!("{:.3}", kept.worth - measured.worth),
        )
    });
    println!(
        "| {} | {fewest:.0} | {:.0}% | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {seen} | {distance} | {:.3} |",
        day.name,
        peak * 100.0,
        free.whole,
        kept.whole,
        kept.windows,
        kept.class,
        kept.worth,
        disk.worth,
        load.worth,
        day.one,
    );
}

/// Computes the bounds of a day for a placement.
fn day_bound(case: &Case<'_>, placement: Placement, machines: f64) -> DayBound {
    let goal = &case.site.goal;
    let whole = case.earned(placement, |_| true).share();
    let classes = 0..case.site.classes.len();
    let class = classes.map(|class| case.earned(placement, |group| group.class == class).share());
    let class = class.fold(whole, f64::min);
    let before_closing = case.site.length_s as usize / WINDOW_S;
    let windows = (0..before_closing).map(|window| {
        let own = case.earned(placement, |group| group.second / WINDOW_S == window);
        own.share()
    });
    let mut windows: Vec<f64> = windows.collect();
    windows.sort_by(f64::total_cmp);
    let windows = windows.iter().take(2).sum::<f64>() / 2.0;
    DayBound {
        whole,
        windows,
        class,
        worth: goal.mean * whole + goal.window * windows + goal.class * class + goal.zone * whole
            - machines,
    }
}

/// Returns the runner-seconds requested within a second.
fn work(groups: &[RequestGroup], second: usize) -> f64 {
    let groups = groups.iter().filter(|group| group.second == second);
    groups.map(|group| group.work_s).sum()
}

/// Returns the price of the machines as a share of the value owed.
fn machine_share(site: &Site, day: &Day, groups: &[RequestGroup]) -> f64 {
    let machines: u32 = site.machines.iter().map(|machines| machines.count).sum();
    let owed: f64 = groups.iter().map(|group| group.worth).sum();
    let seconds = site.lead_s + length_s(site, day);
    f64::from(machines) * seconds * site.prices.machine_s / owed
}
