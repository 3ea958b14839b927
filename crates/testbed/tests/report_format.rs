//! Scripts read report.json, so every field of each report must keep its name and position. The literals here are
//! independent of the names in the code.

use sablecross_testbed::{Report, fleet, scale};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Checks that a report that is decoded and encoded again has the same fields in the same order.
fn assert_round_trips<R: Serialize + DeserializeOwned>(text: &str) {
    let report: R = serde_json::from_str(text).expect("a complete report");
    assert_eq!(serde_json::to_string(&report).expect("the report can be encoded"), text);
}

const EXPERIMENT: &str = r#"{"experiment":{"name":"all","seed":7,"seconds":60,"warm-up":5,"directors":3,"caches":18,"uppers":11,"rate":300,"objects":8000,"kept":180,"ceiling":200.0,"hit":0.25,"rewirings":6,"chains":false,"plan":false,"faults":true,"ways":true,"purges":2},"lookups":1,"satisfied":2,"nacked":3,"failed":4,"lost":5,"strange":6,"old":7,"missing":8,"p50":9,"p99":10,"origin_most":11,"origin_mean":12.5,"hits":13,"fills":14,"loops":15,"falls":16,"strays":17,"changes":18,"endings":{"done":19},"kills":20,"seconds":[{"origin":1,"hits":2,"fills":3,"loops":4,"falls":5,"strays":6,"satisfied":7,"nacked":8,"failed":9,"version":10,"p99":11}],"notes":["a line"]}"#;

const FLEET: &str = r#"{"trial":{"name":"all","seed":7,"seconds":70,"warm-up":6,"directors":100,"caches":12,"parents":5,"rate":300.0,"objects":20000,"kept":600,"load":0.5,"hits":0.4,"uneven":2.0,"speeds":0.1,"hot":0.2,"late-lists":3.0,"duties":null,"faults":[],"most":2.5,"least":0.1,"satisfied":0.6},"total":{"asked":1,"satisfied":2,"late":3,"nacked":4,"failed":5,"excused":6,"lost":7,"strange":8},"seconds":[{"asked":1,"satisfied":2,"late":3,"nacked":4,"failed":5,"excused":6,"lost":7,"strange":8}],"windows":[{"from":1,"tier":"Cache","most":2.5,"most_at":"a","least":0.5,"least_at":"b","load":0.25,"calm":true},{"from":2,"tier":"Parent","most":2.5,"most_at":"a","least":0.5,"least_at":"b","load":0.25,"calm":false},{"from":3,"tier":"Origin","most":2.5,"most_at":"a","least":0.5,"least_at":"b","load":0.25,"calm":false}],"aftermath":[{"what":"w","at":1.5,"next_second":2.5,"even_after":null},{"what":"w","at":1.5,"next_second":2.5,"even_after":3.5}],"herd_most":0.5,"herd_mean":0.25,"idle":0.125,"falls":1,"strays":2,"ended":3,"late":0.0625,"came":{"cache-1":[1,2]},"watched":{"probes":1,"refused":2,"refused_by_voters":3,"passed_over":4,"disorder":5,"twins":6,"same_term":7,"owners":8,"takeover":[0.5,1.5,2.5],"blows":9,"unanswered":10,"gap":11.5,"gap_at":"box","burst":12,"burst_times":13.5,"rate":14.5,"bytes":15.5,"cpu":16.5,"wished":17,"changes":18,"changed":19,"back":20,"apart":21,"version":22,"warmed":23,"warm_refused":24,"fresh":[[25,26],[27,28]]}}"#;

const SCALE: &str = r#"{"trial":{"name":"few","seed":0,"seconds":100,"warm-up":5,"settle":30,"hollow":400,"processes":0,"real":0,"relays":0,"voters":0,"regions":1,"feeds":4,"nodes":490,"zones":64,"purges":35.0,"changes":0.25,"ack-ms":2000,"batch-ms":100,"held-ms":120000,"purge-within":8.2,"change-within":5.0,"core":0.022,"memory-mb":64.0,"bytes":7000.0,"relay-core":1.0,"faults":[]},"published":1,"unconfirmed":2,"again":3,"confirmed":LATENCY,"purges":LATENCY,"changes":LATENCY,"struck_purges":LATENCY,"struck_changes":LATENCY,"known":LATENCY,"early":4,"missed":5,"disorder":6,"twice":7,"differs":8,"lapsed":9,"wrong_lists":10,"gaps":11,"skipped":12,"restarts":13,"catch_up":LATENCY,"hollow":SIDE,"real":SIDE,"with_heads":14.5,"reads":15.5,"calls":16.5,"roles":[{"name":"relay-0","voter":true,"cpu":0.5,"memory":1.5,"heard":2.5,"told":3.5}],"own_cpu":17.5,"faults":[{"what":"w","at":1.5,"lasted":2.5,"from_begin":3.5,"from_end":4.5}],"behind":18,"reals_behind":19,"reals_gaps":20,"silent":21,"ended":22,"late":23.5,"seconds":[24]}"#;

const LATENCY: &str = r#"{"events":1,"p50":2.5,"p99":3.5,"most":4.5,"late":5}"#;

const SIDE: &str = r#"{"many":1,"heard":2.5,"said":3.5,"cpu":4.5,"memory":5.5}"#;

#[test]
fn the_json_report_of_an_experiment_keeps_its_fields() {
    assert_round_trips::<Report>(EXPERIMENT);
}

#[test]
fn the_json_report_of_a_fleet_trial_keeps_its_fields() {
    assert_round_trips::<fleet::Report>(FLEET);
}

#[test]
fn the_json_report_of_a_scale_trial_keeps_its_fields() {
    assert_round_trips::<scale::Report>(&SCALE.replace("LATENCY", LATENCY).replace("SIDE", SIDE));
}
