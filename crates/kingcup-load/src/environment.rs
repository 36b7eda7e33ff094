//! The environment of an experiment: a fleet, its fake upstreams and a fake platform.

use std::{env, thread, time::Duration};

use kingcup_support::{
    engine::{Engine, EngineConfig},
    fleet::{Fleet, InstancePlan, Program, document},
    plain_service::PlainService,
    platform::{FakeUpstream, Platform},
};

use crate::scenario::{DOMAINS, ENGINES, ENTRIES, ORGANISATIONS, Policy, Scenario};

/// The slots of a cold engine.
pub(crate) const COLD_SLOTS: u32 = 2;
/// The slots of a warm engine.
pub(crate) const WARM_SLOTS: u32 = 6;
/// The time to the first token of an engine.
pub(crate) const PREFILL_TIME: Duration = Duration::from_millis(150);
/// The time between tokens of an engine.
pub(crate) const TOKEN_TIME: Duration = Duration::from_millis(10);
/// How long callers send requests before the measurement begins.
pub(crate) const WARM_UP: Duration = Duration::from_secs(4);
/// The time until load reports and the platform's list show that engines are warm.
const REPORT_DELAY: Duration = Duration::from_millis(1_200);

/// A running fleet with its fake upstreams. Engines are paired with their failure domain.
pub(crate) struct Environment {
    pub(crate) engines: Vec<(String, Engine)>,
    pub(crate) plain_services: Vec<PlainService>,
    pub(crate) fleet: Fleet,
}

impl Environment {
    /// Starts the upstreams and the fleet, and applies the documents of both services.
    pub(crate) fn start(scenario: Scenario, policy: Policy) -> anyhow::Result<Environment> {
        let platform = Platform::start(Duration::from_millis(300));
        let config = EngineConfig {
            cold_slots: COLD_SLOTS,
            warm_slots: WARM_SLOTS,
            requests_until_warm: 6,
            prefill_time: PREFILL_TIME,
            token_time: TOKEN_TIME,
            report_lag: Duration::from_millis(400),
            ..EngineConfig::default()
        };
        let (mut engines, mut plain_services) = (Vec::new(), Vec::new());
        for domain in DOMAINS {
            for n in 0..ENGINES {
                let engine = Engine::start(config.clone());
                let name = format!("engine-{domain}-{n}");
                let upstream = FakeUpstream::Engine(engine.clone());
                platform.add(&name, "tutor", domain, engine.address(), upstream);
                engines.push((domain.to_owned(), engine));
            }
            let plain = PlainService::start(Duration::from_millis(15));
            let name = format!("orders-{domain}");
            platform.add(
                &name,
                "orders",
                domain,
                plain.address(),
                FakeUpstream::Plain(plain.clone()),
            );
            plain_services.push(plain);
        }
        if scenario.starts_warm() {
            engines.iter().for_each(|(_, engine)| engine.warm_up());
            thread::sleep(REPORT_DELAY);
        }
        let fleet = start_fleet(&platform, policy)?;
        Ok(Environment { engines, plain_services, fleet })
    }
}

fn start_fleet(platform: &Platform, policy: Policy) -> anyhow::Result<Fleet> {
    let mut plans = Vec::new();
    for domain in DOMAINS {
        plans.push(InstancePlan::control(&format!("control-{domain}"), domain));
        let entries =
            (0..ENTRIES).map(|n| InstancePlan::entry(&format!("entry-{domain}-{n}"), domain));
        plans.extend(entries);
    }
    let program = Program {
        path: env::current_exe()?,
        run: vec!["instance".to_owned()],
        init: vec!["init".to_owned()],
    };
    let fleet = Fleet::start(program, &plans, platform, policy == Policy::Static)?;
    fleet.apply("tutor", 0, &tutor_document(1))?;
    fleet.apply("orders", 0, &orders_document())?;
    fleet.wait_for_dispatchers("tutor")?;
    fleet.wait_for_dispatchers("orders")?;
    Ok(fleet)
}

/// Returns the document of the engines' service; documents of different versions differ.
pub(crate) fn tutor_document(version: u64) -> String {
    let rest = format!(
        "models: [tutor-{version}]\nslots: {{cold: {COLD_SLOTS}, warm: {WARM_SLOTS}}}\n\
         limits: {{queue_requests: 128, deadline_ms: 30000, silence_ms: 3000}}\n"
    );
    document("tutor", "model-engine", &ORGANISATIONS, &rest)
}

fn orders_document() -> String {
    let rest = "never_repeat:\n  - {method: POST, path: /deposits}\n\
                slots: {cold: 16, warm: 16}\nlimits: {deadline_ms: 15000, silence_ms: 6000}\n";
    document("orders", "plain-service", &ORGANISATIONS, rest)
}
