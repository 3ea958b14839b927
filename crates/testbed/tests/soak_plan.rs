//! Tests that a seed draws the same faults at the same times after changes to the code that draws them.

use std::path::PathBuf;

use sablecross_testbed::soak::{
    Fault, Misbehavior, Options, SignalSeries, SignalStep, plan_faults, plan_service,
};

fn options(seed: u64, fault_library: Option<PathBuf>) -> Options {
    Options { seed, seconds: 12, directors: 6, caches: 3, clients_per_director: 2, fault_library }
}

/// Describes a fault in words of this test, so that renames in the code do not change the expected plans.
fn describe(fault: &Fault) -> String {
    match *fault {
        Fault::Restart { director } => format!("restart {director}"),
        Fault::Kill { director } => format!("kill {director}"),
        Fault::Pause { director, seconds } => format!("pause {director} for {seconds:.6}"),
        Fault::Reload { director } => format!("reload {director}"),
        Fault::SystemCalls { director, rule, seconds } => {
            format!("system calls {director} {rule:?} for {seconds:.6}")
        }
        Fault::ClockStep { director, offset_ms } => format!("clock {director} by {offset_ms}"),
        Fault::KillWithClockOffset { director, offset_ms } => format!("kill {director} clock {offset_ms}"),
        Fault::DiscoveryOutage { seconds } => format!("discovery down for {seconds:.6}"),
        Fault::DiscoverySilence { seconds } => format!("discovery silent for {seconds:.6}"),
        Fault::Purge { object } => format!("purge {object}"),
        Fault::ReplaceNode { place } => format!("replace {place}"),
        Fault::Misbehave { place, behavior, seconds } => {
            format!("node {place} {} for {seconds:.6}", describe_misbehavior(behavior))
        }
        Fault::DropConnections { place, by_reset } => format!("drop connections {place} reset {by_reset}"),
        Fault::DelayConnections { place, seconds } => format!("late connections {place} for {seconds:.6}"),
    }
}

fn describe_misbehavior(behavior: Misbehavior) -> &'static str {
    match behavior {
        Misbehavior::Normal => "normal",
        Misbehavior::Hangs => "hangs",
        Misbehavior::Stuck => "stuck",
        Misbehavior::Resets => "resets",
        Misbehavior::Full => "full",
        Misbehavior::Errors => "errors",
        Misbehavior::Garbage => "garbage",
        Misbehavior::Twice => "twice",
        Misbehavior::WrongTag => "wrong tag",
    }
}

fn describe_plan(options: &Options) -> String {
    plan_faults(options)
        .iter()
        .map(|scheduled| format!("{:.6} {}\n", scheduled.at, describe(&scheduled.fault)))
        .collect()
}

#[test]
fn seed_3_draws_its_plan_without_the_fault_library() {
    assert_eq!(describe_plan(&options(3, None)), SEED_3);
}

#[test]
fn seed_77_draws_its_plan_with_the_fault_library() {
    assert_eq!(describe_plan(&options(77, Some("library".into()))), SEED_77);
}

/// This seed has faults of system calls and a clock step.
#[test]
fn seed_111_draws_its_plan_with_the_fault_library() {
    assert_eq!(describe_plan(&options(111, Some("library".into()))), SEED_111);
}

fn describe_series(series: &SignalSeries) -> String {
    let step = |step: &SignalStep| match step {
        SignalStep::Reload => "HUP".to_owned(),
        SignalStep::Stop => "TERM".to_owned(),
        SignalStep::Hold(seconds) => format!("STOP {seconds:.6} CONT"),
        SignalStep::Wait(seconds) => format!("{seconds:.6}"),
    };
    let steps: Vec<String> = series.steps.iter().map(step).collect();
    format!("{:.6} director {}: {}\n", series.at, series.director, steps.join(", "))
}

/// The signals of seed 3 do not depend on the fault library, and at least 50 but fewer than 120 of 200 seeds have a
/// crowd of idle clients.
#[test]
fn seed_3_draws_its_signals_and_some_seeds_draw_a_crowd() {
    let plan = plan_service(&options(3, None));
    let signals: String = plan.signals.iter().map(describe_series).collect();
    assert_eq!(signals, SIGNALS_3);
    assert_eq!(plan, plan_service(&options(3, Some("library".into()))));
    let crowds = (0..200).filter(|seed| plan_service(&options(*seed, None)).crowd.is_some()).count();
    assert!((50..120).contains(&crowds), "{crowds} of 200 seeds have a crowd");
}

const SIGNALS_3: &str = r#"4.996404 director 2: STOP 0.239750 CONT, HUP, 0.005649, STOP 0.239750 CONT
8.485898 director 0: HUP, STOP 0.307564 CONT, TERM, 0.041151, STOP 0.307564 CONT
"#;

const SEED_3: &str = r#"2.260747 purge 41
2.289586 restart 3
2.797541 late connections 4 for 1.149726
2.918908 discovery silent for 2.993730
4.358077 purge 15
4.403283 restart 3
4.621032 node 2 full for 1.792010
4.721976 reload 5
5.258461 purge 34
5.313114 kill 0
5.480990 node 0 errors for 1.847152
6.183412 kill 4
6.425811 node 2 resets for 1.681604
6.531072 late connections 1 for 0.599089
6.567294 reload 0
6.677420 pause 3 for 1.035417
8.042289 node 4 stuck for 0.892815
8.065933 node 0 garbage for 0.874616
8.313474 replace 2
8.413405 discovery silent for 3.577477
9.405946 restart 4
9.438352 discovery silent for 1.960841
9.734876 reload 3
10.409942 restart 3
10.508773 node 0 hangs for 0.356108
10.888570 reload 0
11.009875 pause 4 for 0.135802
11.014818 kill 4
"#;

const SEED_77: &str = r#"2.251385 reload 5
2.441188 restart 5
2.450627 discovery down for 1.031416
3.169405 late connections 4 for 0.881666
3.312300 purge 46
3.787719 discovery silent for 2.832356
3.811790 replace 1
3.924513 node 4 full for 2.020325
4.199690 restart 2
4.261081 system calls 2 "short send 9" for 0.281446
4.515263 discovery down for 3.297512
5.347027 restart 0
5.660399 reload 0
5.747428 discovery silent for 3.153354
5.808667 purge 43
5.818564 node 1 twice for 0.404679
7.146254 purge 40
7.447742 restart 2
7.724006 discovery down for 1.605884
7.946841 restart 4
9.028388 purge 19
9.186969 restart 1
9.226203 reload 5
9.422448 discovery silent for 1.551239
9.465069 discovery silent for 1.090906
9.998328 discovery down for 2.781744
10.181286 system calls 3 "short send 9" for 0.305571
10.285740 replace 1
10.381102 node 4 stuck for 1.050714
10.577228 restart 4
"#;

const SEED_111: &str = r#"2.839704 restart 1
2.883311 discovery silent for 3.528283
3.531400 system calls 4 "fail epoll_ctl ENOMEM" for 0.223799
3.866006 pause 4 for 1.073143
4.625464 kill 0
4.633472 restart 0
4.698166 discovery down for 1.230614
5.574811 clock 5 by 3600000
5.825995 purge 57
6.419205 pause 1 for 0.377541
6.475907 purge 51
6.518230 restart 1
7.531986 purge 20
7.656584 node 3 errors for 1.923571
7.758885 drop connections 0 reset true
7.801230 pause 3 for 0.372583
7.988814 restart 3
8.007357 node 1 wrong tag for 1.808263
8.820056 node 3 resets for 2.294453
8.999943 late connections 3 for 1.289234
9.049420 system calls 3 "fail accept EMFILE" for 0.136749
9.095313 purge 39
10.858224 restart 2
10.886388 reload 0
10.930751 purge 22
10.947926 purge 56
10.962747 system calls 0 "fail receive ECONNRESET" for 0.187899
"#;
