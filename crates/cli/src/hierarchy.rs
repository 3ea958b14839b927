//! `sablecross hierarchy ...`: checks, shows, compares and plans versions of the hierarchy.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use clap::{Args, Subcommand, ValueEnum};
use petgraph::dot::{Config, Dot};
use petgraph::graph::DiGraph;
use sablecross_hierarchy::load_flow::{FlowGraph, NodeIndex};
use sablecross_hierarchy::spec::{HierarchySpec, parse_settings};
use sablecross_hierarchy::{
    Admission, AdmissionError, FULL_SHARE, Hierarchy, HierarchyNode, NodeId, Plan, plan,
};
use serde_json::{Value, json};

use crate::CommandOutcome;

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Checks each file: its form, circles, ways to the origin, loads.
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(long)]
        json: bool,
    },
    /// Shows what each node is asked for, or draws the hierarchy.
    Show {
        file: PathBuf,
        #[arg(long, value_enum, default_value_t = Form::Table)]
        form: Form,
    },
    /// Says what differs between two versions.
    Diff {
        before: PathBuf,
        after: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Plans the steps from one version to another.
    Plan(PlanArgs),
}

#[derive(Args)]
pub(crate) struct PlanArgs {
    /// The version that is applied now.
    from: PathBuf,
    /// The version that is wanted.
    to: PathBuf,
    #[arg(long, value_enum, default_value_t = Form::Table)]
    form: Form,
    /// Writes each step's version to this folder, as step-1.scm and so on.
    #[arg(long)]
    steps: Option<PathBuf>,
}

/// How a hierarchy or a plan is written.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum Form {
    Table,
    Json,
    /// For Graphviz.
    Dot,
}

/// One line for each problem.
type Problems = Vec<String>;

pub(crate) fn run(command: &Command) -> Result<CommandOutcome, Problems> {
    match command {
        Command::Check { files, json } => check(files, *json),
        Command::Show { file, form } => {
            let (number, h) = load(file, None)?;
            print!("{}", show(number, &h, *form));
            Ok(CommandOutcome::Success)
        }
        Command::Diff { before, after, json } => {
            let (old_number, old) = load(before, None)?;
            let (new_number, new) = load(after, Some(&old))?;
            let lines = diff(&old, &new);
            if *json {
                println!("{}", json!({"before": old_number, "after": new_number, "differences": lines}));
            } else {
                println!("version {old_number} to {new_number}: {} differences", lines.len());
                lines.iter().for_each(|l| println!("  {l}"));
            }
            Ok(if lines.is_empty() { CommandOutcome::Success } else { CommandOutcome::Rejected })
        }
        Command::Plan(args) => plan_change(args),
    }
}

fn load(file: &Path, known: Option<&Hierarchy>) -> Result<(u64, Hierarchy), Problems> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| vec![format!("{name}: {e}")])?;
    parse_settings(&name, &text, known).map_err(|f| f.iter().map(ToString::to_string).collect())
}

fn check(files: &[PathBuf], as_json: bool) -> Result<CommandOutcome, Problems> {
    let mut outcome = CommandOutcome::Success;
    let mut results = Vec::new();
    for file in files {
        let name = file.display().to_string();
        let found = load(file, None);
        let (is_fit, lines) = match &found {
            Err(faults) => (false, faults.clone()),
            Ok((number, h)) => match Admission::new(h.clone()) {
                Err(refusal) => (false, vec![format!("{name}: {refusal}")]),
                Ok(_) => (true, vec![format!("{name}: version {number}, {} nodes: well", h.len())]),
            },
        };
        if !is_fit {
            outcome = CommandOutcome::Rejected;
        }
        if as_json {
            results.push(json!({"file": name, "fit": is_fit, "said": lines}));
        } else {
            lines.iter().for_each(|line| println!("{line}"));
        }
    }
    if as_json {
        println!("{}", Value::from(results));
    }
    Ok(outcome)
}

/// The load on each node, in requests a second; empty for a hierarchy with a loop.
fn loads(h: &Hierarchy) -> BTreeMap<NodeId, f64> {
    let index = NodeIndex::from_versions(&[h]);
    let nodes = index.flow_nodes(h);
    let graph = FlowGraph::new(nodes.iter().map(Option::as_ref).collect());
    graph.map_or_else(
        |_| BTreeMap::new(),
        |graph| index.ids.iter().copied().zip(graph.incoming_load).collect(),
    )
}

fn names(h: &Hierarchy, ids: &[NodeId]) -> String {
    ids.iter().map(|s| h.node_name(*s)).collect::<Vec<_>>().join(" ")
}

fn show(number: u64, h: &Hierarchy, form: Form) -> String {
    let loads = loads(h);
    match form {
        Form::Json => {
            let nodes: Vec<Value> = h
                .iter()
                .map(|(id, m)| {
                    json!({"name": &*m.name, "tier": m.tier, "capacity": m.capacity, "share": m.ring_share,
                        "asked": loads.get(&id), "sources": m.sources.iter().map(|s| h.node_name(*s)).collect::<Vec<_>>()})
                })
                .collect();
            format!("{}\n", json!({"version": number, "ceiling": h.rules.ceiling, "nodes": nodes}))
        }
        Form::Dot => dot(h, &loads, &BTreeMap::new()),
        Form::Table => {
            let mut out = format!(
                "version {number}: {} nodes, ceiling {} a second with a margin of {}\n",
                h.len(),
                h.rules.ceiling,
                h.rules.margin
            );
            let _ = writeln!(
                out,
                "{:<20} {:>4} {:>9} {:>9} {:>6}  sources",
                "node", "tier", "asked/s", "bears/s", "share"
            );
            let mut all: Vec<(NodeId, &HierarchyNode)> = h.iter().map(|(id, m)| (id, &**m)).collect();
            all.sort_by(|a, b| (a.1.tier, &a.1.name).cmp(&(b.1.tier, &b.1.name)));
            for (id, m) in all {
                let asked = loads.get(&id).map_or("circle".into(), |l| format!("{l:.0}"));
                let share = format!("{}%", 100 * u32::from(m.ring_share) / u32::from(FULL_SHARE));
                let _ = writeln!(
                    out,
                    "{:<20} {:>4} {asked:>9} {:>9.0} {share:>6}  {}",
                    m.name,
                    m.tier,
                    m.capacity,
                    names(h, &m.sources)
                );
            }
            out
        }
    }
}

/// A graph for Graphviz; nodes that a plan changes carry the steps in which it does.
fn dot(h: &Hierarchy, loads: &BTreeMap<NodeId, f64>, steps: &BTreeMap<NodeId, Vec<usize>>) -> String {
    let mut graph = DiGraph::new();
    let mut places = BTreeMap::new();
    for (id, m) in h.iter() {
        let mut label = format!(
            "{}\ntier {}, {:.0} of {:.0}/s",
            m.name,
            m.tier,
            loads.get(&id).unwrap_or(&0.0),
            m.capacity
        );
        if let Some(steps) = steps.get(&id) {
            let _ =
                write!(label, "\nstep {}", steps.iter().map(usize::to_string).collect::<Vec<_>>().join(", "));
        }
        places.insert(id, graph.add_node(label));
    }
    for (id, m) in h.iter() {
        for s in m.sources.iter() {
            if let (Some(a), Some(b)) = (places.get(&id), places.get(s)) {
                graph.add_edge(*a, *b, "");
            }
        }
    }
    format!("{}", Dot::with_config(&graph, &[Config::EdgeNoLabel]))
}

fn diff(old: &Hierarchy, new: &Hierarchy) -> Vec<String> {
    let mut lines = Vec::new();
    if old.rules != new.rules {
        lines.push(format!("rules: {:?} to {:?}", old.rules, new.rules));
    }
    for d in old.diff(new) {
        match (d.before, d.after) {
            (None, Some(m)) => {
                lines.push(format!("{} joins tier {} over {}", m.name, m.tier, names(new, &m.sources)))
            }
            (Some(m), None) => lines.push(format!("{} leaves tier {}", m.name, m.tier)),
            (Some(a), Some(b)) => {
                let mut what = Vec::new();
                if a.tier != b.tier {
                    what.push(format!("tier {} to {}", a.tier, b.tier));
                }
                if a.sources != b.sources {
                    what.push(format!("sources {} to {}", names(old, &a.sources), names(new, &b.sources)));
                }
                let figures = [
                    ("capacity", a.capacity, b.capacity),
                    ("demand", a.demand, b.demand),
                    ("hit", a.hit_ratio, b.hit_ratio),
                ];
                what.extend(
                    figures.iter().filter(|(_, a, b)| a != b).map(|(k, a, b)| format!("{k} {a} to {b}")),
                );
                if a.ring_share != b.ring_share {
                    what.push(format!("share {} to {}", a.ring_share, b.ring_share));
                }
                if a.started_at != b.started_at {
                    what.push("started anew".into());
                }
                lines.push(format!("{}: {}", a.name, what.join(", ")));
            }
            (None, None) => {}
        }
    }
    lines
}

fn plan_change(args: &PlanArgs) -> Result<CommandOutcome, Problems> {
    let (number, from) = load(&args.from, None)?;
    let (aim_number, to) = load(&args.to, Some(&from))?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    let admitted: Result<(), AdmissionError> = Admission::new(from.clone()).and_then(|mut a| a.admit(&to));
    let refused = |why: String| {
        match args.form {
            Form::Json => println!("{}", json!({"refused": why})),
            _ => println!("refused: {why}"),
        }
        Ok(CommandOutcome::Rejected)
    };
    if let Err(refusal) = admitted {
        return refused(refusal.to_string());
    }
    let plan = match plan(&from, &to, now) {
        Ok(plan) => plan,
        Err(no) => return refused(no.to_string()),
    };
    if let Some(folder) = &args.steps {
        std::fs::create_dir_all(folder).map_err(|e| vec![format!("{}: {e}", folder.display())])?;
        for (k, step) in plan.steps.iter().enumerate() {
            let file = folder.join(format!("step-{}.scm", k + 1));
            let text = HierarchySpec::from_hierarchy(number + k as u64 + 1, &step.target).to_settings_text();
            std::fs::write(&file, text).map_err(|e| vec![format!("{}: {e}", file.display())])?;
        }
    }
    print!("{}", render_plan(&plan, &from, &to, (number, aim_number), args.form));
    Ok(CommandOutcome::Success)
}

fn render_plan(
    plan: &Plan,
    from: &Hierarchy,
    to: &Hierarchy,
    (number, aim): (u64, u64),
    form: Form,
) -> String {
    let mut before = from.clone();
    let mut steps = Vec::new();
    let mut at: BTreeMap<NodeId, Vec<usize>> = BTreeMap::new();
    for (k, step) in plan.steps.iter().enumerate() {
        steps.push((diff(&before, &step.target), step));
        step.changed_nodes.iter().for_each(|n| at.entry(*n).or_default().push(k + 1));
        before = step.target.clone();
    }
    match form {
        Form::Dot => dot(to, &loads(to), &at),
        Form::Json => {
            let steps: Vec<Value> = steps
                .iter()
                .map(|(lines, s)| {
                    let warm: Vec<Value> = s.required_warmth.iter().map(|(n, w)| json!({"node": s.target.node_name(*n), "warmth": w})).collect();
                    json!({"changes": lines, "origin_peak": s.origin_peak, "origin_before": s.origin_before, "moved": s.moved_load,
                        "wait_ms": s.min_delay / 1_000_000, "warm": warm})
                })
                .collect();
            format!("{}\n", json!({"from": number, "to": aim, "fewest": plan.is_minimal, "steps": steps}))
        }
        Form::Table => {
            let how = if plan.is_minimal { "there are no fewer" } else { "not searched for the fewest" };
            let mut out = format!("version {number} to {aim} in {} steps ({how})\n", steps.len());
            for (k, (lines, s)) in steps.iter().enumerate() {
                let _ = writeln!(
                    out,
                    "step {}: after {:.1} s; {:.0} a second change their node; origin {:.0} a second at most, {:.0} before",
                    k + 1,
                    s.min_delay as f64 / 1e9,
                    s.moved_load,
                    s.origin_peak,
                    s.origin_before
                );
                for (node, warmth) in &s.required_warmth {
                    let _ = writeln!(
                        out,
                        "  once {} is warm by {:.0}%",
                        s.target.node_name(*node),
                        100.0 * warmth
                    );
                }
                lines.iter().for_each(|l| {
                    let _ = writeln!(out, "  {l}");
                });
            }
            out
        }
    }
}
