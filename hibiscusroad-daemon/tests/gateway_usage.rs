//! Usage reports of client accounts under failures of processes, the store and the platform.

mod gateway_world;

use gateway_world::{Answer, Gateway, WAIT_TIMEOUT, World, ask, config, until};
use hibiscusroad_standins::direct::{Behaviour, Billing, Endpoint, Faults, ReplyMode};
use serde_json::json;
use std::{
    collections::{BTreeMap, BTreeSet},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The lease of these gateways, and the minimum time between reports of two holders.
const LEASE: Duration = Duration::from_millis(1_500);

struct Deployment {
    world: World,
    endpoint: Endpoint,
    billing: Billing,
}

/// Starts gateways with windows of a second, and a platform that takes their reports and
/// checks fencing tokens if `checks_fence` is set.
fn start_deployment(test: &str, gateways: usize, checks_fence: bool) -> Deployment {
    let mut world = World::start(test);
    let mut config = config(1, &[]);
    config["tenants"] = json!([
        { "name": "charity", "apiKeys": ["charity-key"] },
        { "name": "school", "apiKeys": ["school-key"] },
    ]);
    world.store.put_json("op", "config", &config);
    let billing = Billing::start(checks_fence).unwrap();
    let endpoint = world.endpoint("hut-desk", "i-desk", &[]);
    let settings = format!(
        "\n[gateway.usage]\naddress = \"{}\"\nwindow_s = 1\nlate_s = 6\n",
        billing.addr()
    );
    for _ in 0..gateways {
        world.gateway_with(&settings);
    }
    for n in 0..gateways {
        world.wait_ready(n);
    }
    let deployment = Deployment {
        world,
        endpoint,
        billing,
    };
    for n in 0..gateways {
        until("the endpoint is known", || {
            let answer = deployment.call(n, "charity", "warm");
            (answer.status == 200).then_some(())
        });
    }
    until("a gateway reports", || {
        (!deployment.billing.accepted_reports().is_empty()).then_some(())
    });
    deployment
}

impl Deployment {
    fn call(&self, n: usize, account: &str, id: &str) -> Answer {
        call(&self.world.gateways[n], account, id).expect("an answer")
    }

    /// Returns how many requests the endpoint started, by account.
    fn started_requests(&self) -> BTreeMap<String, u64> {
        let mut started = BTreeMap::new();
        for ran in self.endpoint.runs() {
            *started.entry(ran.account.unwrap()).or_default() += 1;
        }
        started
    }

    /// Checks that the reports come to add up to the requests that the endpoint started.
    fn check_totals(&self) {
        let started = self.started_requests();
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.billing.totals() != started && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(50));
        }
        // Later reports must not add to the totals.
        thread::sleep(Duration::from_millis(1_500));
        assert_eq!(self.billing.totals(), started);
        assert_eq!(self.billing.violations(LEASE), Vec::<String>::new());
    }

    /// Returns the index of the gateway that sent the last report.
    fn holder(&self) -> usize {
        let last = self.billing.accepted_reports().pop().unwrap();
        let gateways = &self.world.gateways;
        gateways.iter().position(|g| g.name == last.holder).unwrap()
    }
}

fn call(gateway: &Gateway, account: &str, id: &str) -> Option<Answer> {
    let key = format!("Bearer {account}-key");
    let headers = [
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "1500"),
        ("Authorization", key.as_str()),
    ];
    ask(
        "POST",
        gateway.callers,
        "/desk/x",
        &headers,
        b"",
        WAIT_TIMEOUT,
    )
}

#[test]
fn each_request_is_reported_once_for_its_account() {
    let deployment = start_deployment("billed", 2, true);
    for n in 0..60 {
        let account = if n % 3 == 0 { "school" } else { "charity" };
        assert_eq!(
            deployment.call(n % 2, account, &format!("u{n}")).status,
            200
        );
        thread::sleep(Duration::from_millis(30));
    }
    deployment.check_totals();
}

// Guards against counting requests that no endpoint started, and against not counting one
// whose caller disconnected before the answer.
#[test]
fn only_requests_that_endpoints_started_count() {
    let deployment = start_deployment("began", 1, true);
    deployment.endpoint.set_behaviour(Behaviour::Refusing);
    for n in 0..5 {
        assert_eq!(deployment.call(0, "school", &format!("no{n}")).status, 503);
    }
    assert_eq!(deployment.call(0, "nobody", "denied").status, 401);
    deployment.endpoint.set_behaviour(Behaviour::Sound);
    deployment
        .endpoint
        .set_work_duration(Duration::from_millis(700));
    let key = [
        ("X-Request-Id", "left"),
        ("Authorization", "Bearer school-key"),
    ];
    let callers = deployment.world.gateways[0].callers;
    let answer = ask(
        "POST",
        callers,
        "/desk/x",
        &key,
        b"",
        Duration::from_millis(250),
    );
    assert!(answer.is_none());
    deployment
        .endpoint
        .set_work_duration(Duration::from_millis(5));
    assert_eq!(deployment.started_requests()["school"], 1);
    deployment.check_totals();
}

// Guards against billing twice, or not at all, when the platform's answers are lost or it
// refuses calls. The same report must be sent again.
#[test]
fn lost_answers_and_refusals_of_the_platform_change_no_report() {
    let deployment = start_deployment("lost", 2, true);
    for (n, reply) in [ReplyMode::LostAnswer, ReplyMode::Busy, ReplyMode::Normal]
        .into_iter()
        .enumerate()
    {
        deployment.billing.set_reply_mode(reply);
        for m in 0..20 {
            deployment.call(m % 2, "charity", &format!("l{n}-{m}"));
            thread::sleep(Duration::from_millis(60));
        }
        if reply == ReplyMode::LostAnswer {
            let before = deployment.billing.accepted_reports().len();
            until("an answer is lost", || {
                (deployment.billing.accepted_reports().len() > before).then_some(())
            });
        }
    }
    deployment.check_totals();
    let taken = deployment.billing.accepted_reports();
    let repeated = taken
        .iter()
        .any(|report| taken.iter().filter(|r| r.window == report.window).count() > 1);
    assert!(repeated, "no report was repeated");
}

// Guards against counting twice when the store's answers to writes are lost, and against
// losing the counts of an outage of the store.
#[test]
fn store_faults_change_no_count() {
    let deployment = start_deployment("store", 2, true);
    for round in 0..3 {
        let faults = match round {
            0 => Faults {
                lose: 6,
                ..Faults::default()
            },
            1 => Faults {
                busy: true,
                ..Faults::default()
            },
            _ => Faults::default(),
        };
        deployment.world.store.set_faults(faults);
        for m in 0..20 {
            deployment.call(m % 2, "school", &format!("s{round}-{m}"));
            thread::sleep(Duration::from_millis(60));
        }
    }
    deployment.check_totals();
}

/// Returns the parts of the store that have counts of a gateway.
fn parts_of(world: &World, gateway: &Gateway) -> BTreeSet<String> {
    let rows = world.store.rows("usage").into_iter();
    let own = rows.filter(|(_, key, _)| key.contains(&format!("/{}/", gateway.name)));
    own.map(|(part, ..)| part).collect()
}

// Guards against counts that delay heartbeats and leases in their part of the store, and against
// losing counts while the gateways move to parts of their own.
#[test]
fn counts_are_written_apart_from_heartbeats() {
    let deployment = start_deployment("apart", 2, true);
    for n in 0..150 {
        deployment.call(n % 2, "charity", &format!("u{n}"));
        thread::sleep(Duration::from_millis(40));
    }
    let world = &deployment.world;
    for gateway in &world.gateways {
        let parts = parts_of(world, gateway);
        assert!(
            parts.iter().any(|part| part.starts_with("usage-")),
            "{parts:?}"
        );
    }
    deployment.check_totals();
}

// Guards against counts that a reporter of an earlier version doesn't read, and against losing
// the counts that gateways of earlier versions write.
#[test]
fn counts_stay_in_the_former_part_while_a_gateway_of_an_earlier_version_runs() {
    let mut deployment = start_deployment("former", 1, true);
    let former = json!({ "life": "gateway-former/aa", "renewed": 1_000_000_000 });
    let store = &deployment.world.store;
    store.put_in_part("members", "0", "gateway-former", &former);
    let settings = format!(
        "\n[gateway.usage]\naddress = \"{}\"\nwindow_s = 1\nlate_s = 6\n",
        deployment.billing.addr()
    );
    deployment.world.gateway_with(&settings);
    deployment.world.wait_ready(1);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let key = format!("{:020}/gateway-former/aa/1", now.as_secs());
    let counts = json!({ "counts": { "school": 5 } });
    deployment
        .world
        .store
        .put_in_part("usage", "", &key, &counts);
    for n in 0..120 {
        deployment.call(1, "charity", &format!("u{n}"));
        thread::sleep(Duration::from_millis(40));
    }
    let parts = parts_of(&deployment.world, &deployment.world.gateways[1]);
    assert_eq!(parts, BTreeSet::from([String::new()]));
    until("the counts of the former gateway are reported", || {
        (deployment.billing.totals().get("school") == Some(&5)).then_some(())
    });
}

// Guards against losing open windows, and counts in the store, when the process that reports
// is killed, and its successor, too.
#[test]
fn windows_of_a_killed_holder_are_reported_by_its_successor() {
    let mut deployment = start_deployment("killed", 3, false);
    for round in 0..2 {
        for m in 0..15 {
            for gateway in &deployment.world.gateways {
                call(
                    gateway,
                    "charity",
                    &format!("k{round}-{m}-{}", gateway.name),
                );
            }
            thread::sleep(Duration::from_millis(40));
        }
        // All counts are in the store after this time.
        thread::sleep(Duration::from_millis(500));
        let holder = deployment.holder();
        deployment.world.gateways.remove(holder).kill();
        let before = deployment.billing.accepted_reports().len();
        until("another gateway reports", || {
            (deployment.billing.accepted_reports().len() > before + 1).then_some(())
        });
    }
    deployment.check_totals();
}

// Guards against a holder that is paused for longer than its lease and reports when it
// resumes. The platform doesn't check fencing tokens here.
#[test]
fn holder_that_was_paused_sends_no_outdated_report() {
    use rustix::process::Signal;
    let deployment = start_deployment("frozen", 2, false);
    for round in 0..3 {
        for m in 0..10 {
            deployment.call(m % 2, "charity", &format!("f{round}-{m}"));
            thread::sleep(Duration::from_millis(40));
        }
        thread::sleep(Duration::from_millis(500));
        let holder = &deployment.world.gateways[deployment.holder()];
        holder.signal(Signal::STOP);
        let before = deployment.billing.accepted_reports().len();
        let start = Instant::now();
        until("another gateway reports", || {
            let taken = deployment.billing.accepted_reports();
            (taken.len() > before + 1).then_some(())
        });
        assert!(start.elapsed() > Duration::from_millis(500));
        holder.signal(Signal::CONT);
        thread::sleep(Duration::from_secs(2));
    }
    deployment.check_totals();
}

// Guards against losing counts of a process that is asked to stop.
#[test]
fn graceful_stop_loses_no_count() {
    let mut deployment = start_deployment("stopped", 2, true);
    let last = deployment.world.gateways.len() - 1;
    for n in 0..10 {
        deployment.call(last, "school", &format!("p{n}"));
    }
    let mut stopped = deployment.world.gateways.remove(last);
    stopped.signal(rustix::process::Signal::TERM);
    assert!(stopped.wait().success());
    assert!(
        stopped
            .lines()
            .iter()
            .filter_map(|line| line["text"].as_str().map(str::to_owned))
            .all(|text| !text.starts_with("Counts are lost"))
    );
    deployment.check_totals();
}
