//! Declarations and arrivals of experiments.

use std::path::Path;

use load::run::{Experiment, arrivals, read, write_settings};

fn all() -> Vec<Experiment> {
    let folder = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../experiments"));
    let mut out = Vec::new();
    for file in ["masa-viva.jsonc", "kalahari.jsonc"] {
        out.extend(
            read(&folder.join(file))
                .expect("a valid file")
                .value
                .experiments,
        );
    }
    out
}

/// Guards against experiments that can't be repeated: the same seed has to give the same arrivals.
#[test]
fn arrivals_repeat_by_seed() {
    for experiment in all() {
        assert_eq!(arrivals(&experiment), arrivals(&experiment));
        let other = Experiment {
            seed: 99,
            ..experiment.clone()
        };
        assert_ne!(arrivals(&experiment), arrivals(&other));
    }
}

/// Guards against surges or rates that are not the declared ones.
#[test]
fn rates_and_surges_are_met() {
    let surge = all()
        .into_iter()
        .find(|e| &*e.name == "storefront-surge")
        .unwrap();
    let arrivals = arrivals(&surge);
    let within = |from: u64, to: u64| {
        let seconds = arrivals.iter().map(|arrival| arrival.at.as_secs());
        seconds.filter(|second| (from..to).contains(second)).count() as f64
    };
    let calm = within(0, 4) / 4.0;
    let high = within(4, 14) / 10.0;
    assert!((calm / surge.rate - 1.0).abs() < 0.15, "{calm} per second");
    assert!(
        (high / (surge.rate * 6.0) - 1.0).abs() < 0.05,
        "{high} per second"
    );
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at));
}

/// Guards against unbounded experiments: values just above the limits are refused.
#[test]
fn limits_are_checked() {
    let folder = tempfile::tempdir().unwrap();
    let valid = serde_json::to_value(&all()[0]).unwrap();
    let limits = [
        ("seconds", 301.into()),
        ("hosts", 33.into()),
        ("balancers", 9.into()),
        ("connections", 20_001.into()),
        ("rate", serde_json::Value::from(125_001.0)),
        ("rate", 0.into()),
    ];
    for (field, value) in limits {
        let mut experiment = valid.clone();
        experiment[field] = value;
        let file = folder.path().join("experiments.jsonc");
        let text = serde_json::json!({ "experiments": [experiment] }).to_string();
        std::fs::write(&file, text).unwrap();
        assert!(read(&file).is_err(), "{field}");
    }
}

/// Guards against deployments with missing processes or shared ports.
#[test]
fn settings_name_every_process() {
    for experiment in all() {
        let folder = tempfile::tempdir().unwrap();
        write_settings(&experiment, folder.path()).unwrap();
        let list = std::fs::read_to_string(folder.path().join("processes")).unwrap();
        assert_eq!(
            list.lines().count(),
            3 + experiment.balancers + experiment.hosts
        );
        let mut addresses = Vec::new();
        for name in list.lines().filter_map(|line| line.split(' ').nth(1)) {
            let file = folder.path().join(format!("{name}.jsonc"));
            let text = std::fs::read_to_string(file).unwrap();
            let settings: serde_json::Value = serde_json::from_str(&text).unwrap();
            for field in ["listen", "packets", "http", "backend"] {
                addresses.extend(settings[field].as_str().map(str::to_owned));
            }
        }
        let count = addresses.len();
        addresses.sort();
        addresses.dedup();
        assert_eq!(addresses.len(), count);
    }
}
