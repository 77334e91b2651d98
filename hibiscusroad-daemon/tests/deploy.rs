//! The settings of both deployments, and the template of a gateway's settings.

use hibiscusroad_daemon::settings::{Kind, Settings};
use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    net::SocketAddr,
    path::Path,
};

fn load(deployment: &str) -> Vec<Settings> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../deploy")
        .join(deployment);
    let files = fs::read_dir(root).unwrap().map(|file| file.unwrap().path());
    files
        .filter(|file| {
            file.extension()
                .is_some_and(|extension| extension == "toml")
        })
        .map(|file| Settings::load(&file).unwrap_or_else(|error| panic!("{error}")))
        .collect()
}

fn addresses(settings: &Settings) -> Vec<SocketAddr> {
    let entry = settings.entry.iter().flat_map(|e| [e.callers, e.operators]);
    let side = settings.side.iter().flat_map(|s| [s.links, s.address]);
    entry.chain(side).collect()
}

fn assert_consistent(all: &[Settings], data_centres: &[&str], region: &str) {
    let names: BTreeSet<&str> = all.iter().map(|s| s.name.as_str()).collect();
    assert_eq!(names.len(), all.len());
    let addresses: Vec<SocketAddr> = all.iter().flat_map(addresses).collect();
    assert_eq!(
        addresses.iter().collect::<BTreeSet<_>>().len(),
        addresses.len()
    );
    assert!(all.iter().all(|s| s.region == region));
    let found: BTreeSet<&str> = all.iter().map(|s| s.data_centre.as_str()).collect();
    assert_eq!(found, data_centres.iter().copied().collect());
    assert_eq!(all.iter().filter(|s| s.entry.is_some()).count(), 3);
}

/// Counts the endpoints by service, whether they are models, and data centre.
fn count_endpoints(all: &[Settings]) -> BTreeMap<(String, bool, String), usize> {
    let mut counts = BTreeMap::new();
    for settings in all {
        if let Some(side) = &settings.side {
            let is_model = side.kind == Kind::Model;
            let key = (side.service.clone(), is_model, settings.data_centre.clone());
            *counts.entry(key).or_default() += 1;
        }
    }
    counts
}

fn expected_counts(
    services: [(&str, bool, usize); 2],
    data_centres: &[&str],
) -> BTreeMap<(String, bool, String), usize> {
    let mut counts = BTreeMap::new();
    for (service, is_model, count) in services {
        for data_centre in data_centres {
            let key = (service.to_owned(), is_model, (*data_centre).to_owned());
            counts.insert(key, count / data_centres.len());
        }
    }
    counts
}

#[test]
fn pobrezie_has_its_data_centres_and_endpoints() {
    let data_centres = ["senec", "trnava", "piestany"];
    let all = load("pobrezie");
    assert_consistent(&all, &data_centres, "zapad");
    let services = [("guide-lm", true, 9), ("hut-desk", false, 6)];
    assert_eq!(
        count_endpoints(&all),
        expected_counts(services, &data_centres)
    );
}

#[test]
fn lakeshore_has_its_data_centres_and_endpoints() {
    let data_centres = ["erie-hall", "huron-hall", "superior-hall"];
    let all = load("lakeshore");
    assert_consistent(&all, &data_centres, "great-lakes");
    let services = [("map-trainers", true, 9), ("map-lookup", false, 6)];
    assert_eq!(
        count_endpoints(&all),
        expected_counts(services, &data_centres)
    );
}

/// Removes the template sections whose value is missing, empty or false.
fn render_sections(mut text: String, values: &[(&str, &str)]) -> String {
    while let Some(start) = text.find("{{#") {
        let (name, rest) = text[start + 3..].split_once("}}").unwrap();
        let (body, after) = rest.split_once(&format!("{{{{/{name}}}}}")).unwrap();
        let value = values.iter().find(|(key, _)| *key == name);
        let is_kept = value.is_some_and(|(_, value)| !value.is_empty() && *value != "false");
        let body = if is_kept { body } else { "" };
        text = format!("{}{body}{after}", &text[..start]);
    }
    text
}

/// Renders the section of a table: once for each entry, with its key and value, and what stands
/// between two of them.
fn render_table(text: &str, name: &str, entries: &[(&str, &str)]) -> String {
    let (open, close) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
    let (before, rest) = text.split_once(&open).unwrap();
    let (body, after) = rest.split_once(&close).unwrap();
    let rendered = entries.iter().enumerate().map(|(n, (key, value))| {
        let comma = if n + 1 < entries.len() { ", " } else { "" };
        let body = body.replace("{{@}}", key).replace("{{.}}", value);
        body.replace("{{,}}", comma)
    });
    format!("{before}{}{after}", rendered.collect::<String>())
}

/// The data centres and their regions.
const ZONES: &[(&str, &str)] = &[
    ("senec", "zapad"),
    ("trnava", "zapad"),
    ("kosice", "vychod"),
];

/// Renders the template of a gateway's settings as the platform does.
fn render_template(values: &[(&str, &str)]) -> String {
    render_with_zones(values, ZONES)
}

fn render_with_zones(values: &[(&str, &str)], zones: &[(&str, &str)]) -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/gateway.toml");
    let text = render_table(&fs::read_to_string(file).unwrap(), "zones", zones);
    let mut text = render_sections(text, values);
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

const VALUES: &[(&str, &str)] = &[
    ("node", "edge-senec-1"),
    ("zone", "senec"),
    ("region", "zapad"),
    ("ip", "10.1.0.10"),
    ("listen.front", "10.1.0.10:8161"),
    ("listen.ready", "10.1.0.10:8167"),
    ("internalPorts.0", "7720"),
    ("internalPorts.1", "7735"),
    ("provider.address", "10.200.1.7:8169"),
    ("provider.rowBytes", "65536"),
    ("bounds.leaseMs", "3000"),
    ("bounds.statusS", "120"),
    ("bounds.graceS", "8"),
    ("bounds.enforceFencing", "true"),
    ("limits.memoryMb", "512"),
    ("contracts|json", r#"["base", "cost"]"#),
];

#[test]
fn template_renders_valid_settings() {
    let text = render_template(VALUES);
    assert!(!text.contains("{{"), "{text}");
    let settings = Settings::parse(&text).unwrap();
    let gateway = settings.gateway.unwrap();
    assert_eq!(
        (gateway.lease_ms, gateway.keep_s, gateway.fences),
        (3000, 120, true)
    );
    assert_eq!(gateway.metrics, "10.1.0.10:7720".parse().ok());
    assert_eq!(gateway.peers, "10.1.0.10:7735".parse().ok());
    assert_eq!(gateway.memory_mb, 512);
    assert_eq!(gateway.trust_ms, None);
    assert_eq!(gateway.usage, None);
}

// Guards against cold endpoints that get the declared rate only, or more than the platform allows,
// because the figures are lost between the platform and the settings.
#[test]
fn template_renders_the_bound_of_cold_endpoints() {
    let rendered = |values: &[(&str, &str)]| {
        let gateway = Settings::parse(&render_template(values)).unwrap().gateway;
        let gateway = gateway.unwrap();
        (gateway.cold_overrun, gateway.cold_slack)
    };
    assert_eq!(rendered(VALUES), (1.0, 0));
    let values = [
        VALUES,
        &[("bounds.coldOverrun", "1.5"), ("bounds.coldSlack", "5")],
    ];
    assert_eq!(rendered(&values.concat()), (1.5, 5));
}

// Guards against gateways that treat all data centres alike because the table of regions is lost
// on the way.
#[test]
fn template_renders_the_regions_of_all_data_centres() {
    let settings = Settings::parse(&render_template(VALUES)).unwrap();
    let zones = ZONES.iter();
    let expected: BTreeMap<String, String> = zones
        .map(|(place, region)| ((*place).to_owned(), (*region).to_owned()))
        .collect();
    assert_eq!(settings.regions, expected);
    assert!(settings.topology().is_divided());
    let none = Settings::parse(&render_with_zones(VALUES, &[])).unwrap();
    assert!(none.regions.is_empty() && !none.topology().is_divided());
}

// Deployments that don't ask for fair shares must be served without them.
#[test]
fn template_expects_contention_only_if_the_platform_declares_it() {
    let declared = |conditions: &str| {
        let values: Vec<_> = VALUES
            .iter()
            .map(|(name, value)| match *name {
                "contracts|json" => (*name, conditions),
                _ => (*name, *value),
            })
            .collect();
        let gateway = Settings::parse(&render_template(&values)).unwrap().gateway;
        gateway.unwrap().contention()
    };
    let calm = declared(r#"["base", "cost"]"#);
    assert!(!calm.is_expected(false));
    assert!(calm.is_expected(true));
    assert!(declared(r#"["base", "pressure"]"#).is_expected(false));
    assert!(!declared("[]").is_expected(false));
}

// Revoked API keys must also expire at gateways that can't reach the store.
#[test]
fn template_limits_the_trust_in_api_keys_if_requested() {
    let options = [
        ("bounds.revokeEverywhere", "true"),
        ("bounds.revokeMs", "5000"),
    ];
    let text = render_template(&[VALUES, &options].concat());
    assert!(!text.contains("{{"), "{text}");
    let gateway = Settings::parse(&text).unwrap().gateway.unwrap();
    assert_eq!(gateway.trust_ms, Some(5000));
}

#[test]
fn template_enables_usage_reports_if_requested() {
    let options = [
        ("bounds.reportWindowS", "5"),
        ("bounds.usageLateS", "10"),
        ("cloud.address", "10.200.0.168:8265"),
    ];
    let text = render_template(&[VALUES, &options].concat());
    assert!(!text.contains("{{"), "{text}");
    let gateway = Settings::parse(&text).unwrap().gateway.unwrap();
    let usage = gateway.usage.unwrap();
    assert_eq!((usage.window_s, usage.late_s), (5, 10));
    assert_eq!(usage.address, "10.200.0.168:8265".parse().unwrap());
}

// Missing values are rendered as empty strings, and all resulting problems are reported.
#[test]
fn template_without_values_reports_all_problems() {
    let empty: Vec<(&str, &str)> = VALUES.iter().map(|(name, _)| (*name, "")).collect();
    let text = render_template(&empty).replace("= \n", "= 0\n");
    let problems = Settings::parse(&text).unwrap_err();
    let keys: Vec<&str> = problems
        .iter()
        .map(|problem| problem.key.as_str())
        .collect();
    for key in [
        "name",
        "place",
        "gateway.callers",
        "gateway.store",
        "gateway.lease_ms",
    ] {
        assert!(keys.contains(&key), "{key} is not in {keys:?}");
    }
}
