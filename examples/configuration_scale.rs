//! Times a configuration of the size that is foreseen: builds, checks, encodes and decodes it.
//!
//! Run it with `cargo run --release --example configuration_scale`.

use {
    greengagetrail::{
        config::{
            Adapter, Catalog, DataCentre, Deployment, EncodedSnapshot, Fencing, Model, Placement,
            Runner, check_catalog,
        },
        units::MemoryMib,
    },
    std::time::Instant,
};

const MODELS: usize = 960;
const ADAPTERS: usize = 3000;
const RUNNERS: usize = 630;
const DATA_CENTRES: usize = 11;
/// One model in this many has two copies.
const HOT_MODEL_EVERY: usize = 5;
/// Runs of each step; the fastest and the slowest are printed.
const RUNS: usize = 10;

fn main() {
    let catalog = time("build", build);
    time("check", || check_catalog(&catalog)).expect("the configuration has no faults");
    let snapshot = time("encode", || EncodedSnapshot::encode(&catalog)).expect("it fits");
    let decoded = time("decode", || snapshot.decode()).expect("it was just encoded");
    assert_eq!(decoded, catalog);
    print_sizes(&catalog, &snapshot);
    print_change(catalog, &snapshot);
}

fn time<T>(step: &str, run: impl Fn() -> T) -> T {
    let mut times_ms = Vec::new();
    for _ in 1..RUNS {
        let started = Instant::now();
        std::hint::black_box(run());
        times_ms.push(started.elapsed().as_secs_f64() * 1000.0);
    }
    times_ms.sort_by(f64::total_cmp);
    let (fastest, slowest) = (times_ms[0], times_ms[times_ms.len() - 1]);
    println!("{step}: {fastest:.2} to {slowest:.2} ms");
    run()
}

fn print_sizes(catalog: &Catalog, snapshot: &EncodedSnapshot) {
    let mut sizes: Vec<usize> = snapshot
        .blobs()
        .iter()
        .map(|blob| blob.data().len())
        .collect();
    sizes.sort_unstable();
    let objects = serde_json::to_vec(&catalog.objects()).expect("objects are JSON");
    println!(
        "{} objects, {} bytes as JSON; {} blobs, {} bytes in all, largest {} bytes, median {} bytes",
        catalog.objects().len(),
        objects.len(),
        sizes.len(),
        sizes.iter().sum::<usize>(),
        sizes[sizes.len() - 1],
        sizes[sizes.len() / 2],
    );
}

fn print_change(mut catalog: Catalog, before: &EncodedSnapshot) {
    catalog.adapters[1234].memory_mib = MemoryMib(99);
    let after = EncodedSnapshot::encode(&catalog).expect("it fits");
    let new = after
        .blobs()
        .iter()
        .filter(|blob| before.blob(blob.digest()).is_err());
    let sizes: Vec<usize> = new.map(|blob| blob.data().len()).collect();
    println!("one changed adapter writes blobs of {sizes:?} bytes");
}

fn build() -> Catalog {
    let mut catalog = Catalog {
        deployment: Deployment::default(),
        ..Catalog::default()
    };
    for index in 0..DATA_CENTRES {
        catalog.data_centres.push(DataCentre {
            name: name(format!("dc-{index:02}")),
            region: name(format!("region-{}", index % 3)),
        });
    }
    catalog.runners.extend((0..RUNNERS).map(runner));
    catalog.models.extend((0..MODELS).map(model));
    catalog.adapters.extend((0..ADAPTERS).map(adapter));
    let hot = (0..MODELS).step_by(HOT_MODEL_EVERY);
    catalog.placements.extend(hot.map(placement));
    catalog
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: String) -> T {
    text.parse().expect("the name is valid")
}

fn runner(index: usize) -> Runner {
    let address = format!(
        "10.{}.{}.{}:8000",
        index % DATA_CENTRES,
        index / 200,
        index % 200 + 1
    );
    Runner {
        name: name(format!("runner-{index:04}")),
        address: name(address),
        data_centre: name(format!("dc-{:02}", index % DATA_CENTRES)),
        accelerators: 1,
        memory_mib: MemoryMib(81_920),
        adapter_pool_mib: MemoryMib(8_192),
        fencing: if index.is_multiple_of(3) {
            Fencing::Ignored
        } else {
            Fencing::Honoured
        },
        order_lateness_max_ms: 5_000,
    }
}

fn model(index: usize) -> Model {
    let sizes_mib = [9_216, 16_384, 28_672, 20_480, 12_288];
    Model {
        name: name(format!("model-{index:04}")),
        version: format!("2026-11.{}", index % 7),
        memory_mib: MemoryMib(sizes_mib[index % sizes_mib.len()]),
    }
}

fn adapter(index: usize) -> Adapter {
    Adapter {
        name: name(format!("adapter-{index:05}")),
        model: name(format!("model-{:04}", index % MODELS)),
        memory_mib: MemoryMib(64 + (index as u64 % 5) * 32),
    }
}

fn placement(index: usize) -> Placement {
    Placement {
        name: name(format!("model-{index:04}-copies")),
        model: name(format!("model-{index:04}")),
        data_centres: Vec::new(),
        copies_min: 2,
        copies_max: 6,
    }
}
