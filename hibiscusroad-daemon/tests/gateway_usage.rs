//! Usage reports of client accounts under failures of processes, the store and the platform.

mod gateway_world;

use gateway_world::{Answer, Gateway, PATIENCE, World, ask, config, until};
use hibiscusroad_standins::direct::{Billing, Endpoint, Faults, Manner, Reply};
use serde_json::json;
use std::{
    collections::BTreeMap,
    thread,
    time::{Duration, Instant},
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
    world.store.put("op", "config", &config);
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
        (!deployment.billing.taken().is_empty()).then_some(())
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
        for ran in self.endpoint.ran() {
            *started.entry(ran.account.unwrap()).or_default() += 1;
        }
        started
    }

    /// Checks that the reports come to add up to the requests that the endpoint started.
    fn check_totals(&self) {
        let started = self.started_requests();
        let deadline = Instant::now() + PATIENCE;
        while self.billing.totals() != started && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(50));
        }
        // Later reports must not add to the totals.
        thread::sleep(Duration::from_millis(1_500));
        assert_eq!(self.billing.totals(), started);
        assert_eq!(self.billing.broken(LEASE), Vec::<String>::new());
    }

    /// Returns the index of the gateway that sent the last report.
    fn holder(&self) -> usize {
        let last = self.billing.taken().pop().unwrap();
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
    ask("POST", gateway.callers, "/desk/x", &headers, b"", PATIENCE)
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
    deployment.endpoint.behave(Manner::Refusing);
    for n in 0..5 {
        assert_eq!(deployment.call(0, "school", &format!("no{n}")).status, 503);
    }
    assert_eq!(deployment.call(0, "nobody", "denied").status, 401);
    deployment.endpoint.behave(Manner::Sound);
    deployment.endpoint.work(Duration::from_millis(700));
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
    deployment.endpoint.work(Duration::from_millis(5));
    assert_eq!(deployment.started_requests()["school"], 1);
    deployment.check_totals();
}

// Guards against billing twice, or not at all, when the platform's answers are lost or it
// refuses calls. The same report must be sent again.
#[test]
fn lost_answers_and_refusals_of_the_platform_change_no_report() {
    let deployment = start_deployment("lost", 2, true);
    for (n, reply) in [Reply::Lost, Reply::Busy, Reply::Sound]
        .into_iter()
        .enumerate()
    {
        deployment.billing.reply(reply);
        for m in 0..20 {
            deployment.call(m % 2, "charity", &format!("l{n}-{m}"));
            thread::sleep(Duration::from_millis(60));
        }
        if reply == Reply::Lost {
            let before = deployment.billing.taken().len();
            until("an answer is lost", || {
                (deployment.billing.taken().len() > before).then_some(())
            });
        }
    }
    deployment.check_totals();
    let taken = deployment.billing.taken();
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
        deployment.world.store.fail(faults);
        for m in 0..20 {
            deployment.call(m % 2, "school", &format!("s{round}-{m}"));
            thread::sleep(Duration::from_millis(60));
        }
    }
    deployment.check_totals();
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
        let before = deployment.billing.taken().len();
        until("another gateway reports", || {
            (deployment.billing.taken().len() > before + 1).then_some(())
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
        let before = deployment.billing.taken().len();
        let start = Instant::now();
        until("another gateway reports", || {
            let taken = deployment.billing.taken();
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
