//! The command `sablecross hierarchy`, which checks, shows, compares and plans versions of the hierarchy.

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
    Admission, FULL_SHARE, Hierarchy, HierarchyNode, HierarchyRules, NodeId, Plan, PlanStep, plan,
};
use serde_json::{Value, json};

use crate::CommandOutcome;

const NS_PER_MS: u64 = 1_000_000;
const NS_PER_SECOND: f64 = 1e9;

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Checks each file for errors in its forms, loops, missing paths to the origin, and overload.
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(long)]
        json: bool,
    },
    /// Shows the load of each node as a table, as JSON, or as a graph.
    Show {
        file: PathBuf,
        #[arg(long, value_enum, default_value_t = Form::Table)]
        form: Form,
    },
    /// Shows the differences between two versions.
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
    /// The settings file of the current version.
    from: PathBuf,
    /// The settings file of the target version.
    to: PathBuf,
    #[arg(long, value_enum, default_value_t = Form::Table)]
    form: Form,
    /// Writes the version of each step to this folder, as step-1.scm and so on.
    #[arg(long)]
    steps: Option<PathBuf>,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum Form {
    Table,
    Json,
    /// A graph in the DOT language of Graphviz.
    Dot,
}

/// Error messages, one for each problem.
type ErrorLines = Vec<String>;

/// Runs a subcommand.
pub(crate) fn run(command: &Command) -> Result<CommandOutcome, ErrorLines> {
    match command {
        Command::Check { files, json } => check(files, *json),
        Command::Show { file, form } => {
            let (number, version) = load(file, None)?;
            print!("{}", show(number, &version, *form));
            Ok(CommandOutcome::Success)
        }
        Command::Diff { before, after, json } => compare(before, after, *json),
        Command::Plan(args) => plan_change(args),
    }
}

fn load(file: &Path, known: Option<&Hierarchy>) -> Result<(u64, Hierarchy), ErrorLines> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| vec![format!("{name}: {error}")])?;
    parse_settings(&name, &text, known).map_err(|errors| errors.iter().map(ToString::to_string).collect())
}

fn check(files: &[PathBuf], as_json: bool) -> Result<CommandOutcome, ErrorLines> {
    let mut outcome = CommandOutcome::Success;
    let mut results = Vec::new();
    for file in files {
        let name = file.display().to_string();
        let (is_valid, lines) = match check_file(file) {
            Ok(line) => (true, vec![line]),
            Err(lines) => (false, lines),
        };
        if !is_valid {
            outcome = CommandOutcome::Rejected;
        }
        if as_json {
            results.push(json!({"file": name, "fit": is_valid, "said": lines}));
        } else {
            lines.iter().for_each(|line| println!("{line}"));
        }
    }
    if as_json {
        println!("{}", Value::from(results));
    }
    Ok(outcome)
}

/// Checks a file. Returns a line that describes a valid file, or the errors.
fn check_file(file: &Path) -> Result<String, ErrorLines> {
    let name = file.display();
    let (number, version) = load(file, None)?;
    Admission::new(version.clone()).map_err(|error| vec![format!("{name}: {error}")])?;
    Ok(format!("{name}: version {number}, {} nodes: valid", version.len()))
}

fn compare(before: &Path, after: &Path, as_json: bool) -> Result<CommandOutcome, ErrorLines> {
    let (old_number, old) = load(before, None)?;
    let (new_number, new) = load(after, Some(&old))?;
    let lines = differences(&old, &new);
    if as_json {
        println!("{}", json!({"before": old_number, "after": new_number, "differences": lines}));
    } else {
        println!("version {old_number} to {new_number}: {} differences", lines.len());
        lines.iter().for_each(|line| println!("  {line}"));
    }
    Ok(if lines.is_empty() { CommandOutcome::Success } else { CommandOutcome::Rejected })
}

/// Returns the load of each node in requests per second; empty for a hierarchy with a loop.
fn node_loads(version: &Hierarchy) -> BTreeMap<NodeId, f64> {
    let index = NodeIndex::from_versions(&[version]);
    let nodes = index.flow_nodes(version);
    match FlowGraph::new(nodes.iter().map(Option::as_ref).collect()) {
        Ok(graph) => index.ids.iter().copied().zip(graph.incoming_load).collect(),
        Err(_) => BTreeMap::new(),
    }
}

fn names(version: &Hierarchy, ids: &[NodeId]) -> String {
    ids.iter().map(|id| version.node_name(*id)).collect::<Vec<_>>().join(" ")
}

fn show(number: u64, version: &Hierarchy, form: Form) -> String {
    let loads = node_loads(version);
    match form {
        Form::Json => show_json(number, version, &loads),
        Form::Dot => dot(version, &loads, &BTreeMap::new()),
        Form::Table => show_table(number, version, &loads),
    }
}

fn show_json(number: u64, version: &Hierarchy, loads: &BTreeMap<NodeId, f64>) -> String {
    let nodes = version.iter().map(|(id, node)| {
        let sources: Vec<&str> = node.sources.iter().map(|source| version.node_name(*source)).collect();
        json!({"name": &*node.name, "tier": node.tier, "capacity": node.capacity, "share": node.ring_share,
            "asked": loads.get(&id), "sources": sources})
    });
    let nodes: Vec<Value> = nodes.collect();
    format!("{}\n", json!({"version": number, "ceiling": version.rules.ceiling, "nodes": nodes}))
}

fn show_table(number: u64, version: &Hierarchy, loads: &BTreeMap<NodeId, f64>) -> String {
    let mut out = format!(
        "version {number}: {} nodes, ceiling {} a second with a margin of {}\n",
        version.len(),
        version.rules.ceiling,
        version.rules.margin
    );
    let columns = ["node", "tier", "load/s", "max/s", "share"];
    let [node, tier, load, capacity, share] = columns;
    let _ = writeln!(out, "{node:<20} {tier:>4} {load:>9} {capacity:>9} {share:>6}  sources");
    let mut nodes: Vec<(NodeId, &HierarchyNode)> = version.iter().map(|(id, node)| (id, &**node)).collect();
    nodes.sort_by(|a, b| (a.1.tier, &a.1.name).cmp(&(b.1.tier, &b.1.name)));
    for (id, node) in nodes {
        let load = loads.get(&id).map_or("loop".into(), |load| format!("{load:.0}"));
        let share = format!("{}%", 100 * u32::from(node.ring_share) / u32::from(FULL_SHARE));
        let _ = writeln!(
            out,
            "{:<20} {:>4} {load:>9} {:>9.0} {share:>6}  {}",
            node.name,
            node.tier,
            node.capacity,
            names(version, &node.sources)
        );
    }
    out
}

/// Formats a version as a graph for Graphviz. The label of a node names the steps of a plan that change it.
fn dot(version: &Hierarchy, loads: &BTreeMap<NodeId, f64>, steps: &BTreeMap<NodeId, Vec<usize>>) -> String {
    let mut graph = DiGraph::new();
    let mut vertices = BTreeMap::new();
    for (id, node) in version.iter() {
        let load = loads.get(&id).unwrap_or(&0.0);
        let mut label = format!("{}\ntier {}, {load:.0} of {:.0}/s", node.name, node.tier, node.capacity);
        if let Some(steps) = steps.get(&id) {
            let numbers: Vec<String> = steps.iter().map(usize::to_string).collect();
            let _ = write!(label, "\nstep {}", numbers.join(", "));
        }
        vertices.insert(id, graph.add_node(label));
    }
    for (id, node) in version.iter() {
        for source in node.sources.iter() {
            if let (Some(from), Some(to)) = (vertices.get(&id), vertices.get(source)) {
                graph.add_edge(*from, *to, "");
            }
        }
    }
    format!("{}", Dot::with_config(&graph, &[Config::EdgeNoLabel]))
}

/// Describes each difference between two versions in one line.
fn differences(old: &Hierarchy, new: &Hierarchy) -> Vec<String> {
    let mut lines = Vec::new();
    if old.rules != new.rules {
        lines.push(format!("rules: {}", rule_differences(&old.rules, &new.rules)));
    }
    for difference in old.diff(new) {
        match (difference.before, difference.after) {
            (None, Some(node)) => {
                lines.push(format!(
                    "{} joins tier {} over {}",
                    node.name,
                    node.tier,
                    names(new, &node.sources)
                ));
            }
            (Some(node), None) => lines.push(format!("{} leaves tier {}", node.name, node.tier)),
            (Some(before), Some(after)) => {
                lines.push(format!("{}: {}", before.name, node_differences(old, &before, new, &after)));
            }
            (None, None) => {}
        }
    }
    lines
}

/// Describes the settings that differ, by their keys in the settings file.
fn rule_differences(old: &HierarchyRules, new: &HierarchyRules) -> String {
    let values = |rules: &HierarchyRules| {
        [
            ("ceiling", rules.ceiling.to_string()),
            ("margin", rules.margin.to_string()),
            ("cold-from", rules.slow_start_initial_share.to_string()),
            ("warm-after-ms", (rules.slow_start_window / NS_PER_MS).to_string()),
            ("fall-multiple", rules.collapse_multiple.to_string()),
            ("siblings", rules.allows_siblings.to_string()),
            ("hold-ms", (rules.drain_window / NS_PER_MS).to_string()),
            ("settle-ms", (rules.fill_window / NS_PER_MS).to_string()),
            ("give-up-ms", (rules.step_timeout / NS_PER_MS).to_string()),
        ]
    };
    let pairs = values(old).into_iter().zip(values(new));
    let changed = pairs.filter(|((_, old), (_, new))| old != new);
    changed.map(|((key, old), (_, new))| format!("{key} {old} to {new}")).collect::<Vec<_>>().join(", ")
}

/// Describes the differences between a node of the old version and the same node of the new one.
fn node_differences(
    old: &Hierarchy,
    before: &HierarchyNode,
    new: &Hierarchy,
    after: &HierarchyNode,
) -> String {
    let mut changes = Vec::new();
    if before.tier != after.tier {
        changes.push(format!("tier {} to {}", before.tier, after.tier));
    }
    if before.sources != after.sources {
        changes.push(format!("sources {} to {}", names(old, &before.sources), names(new, &after.sources)));
    }
    let values = [
        ("capacity", before.capacity, after.capacity),
        ("demand", before.demand, after.demand),
        ("hit", before.hit_ratio, after.hit_ratio),
        ("share", f64::from(before.ring_share), f64::from(after.ring_share)),
    ];
    for (key, before, after) in values.into_iter().filter(|(_, before, after)| before != after) {
        changes.push(format!("{key} {before} to {after}"));
    }
    if before.started_at != after.started_at {
        changes.push("restarted".into());
    }
    changes.join(", ")
}

fn plan_change(args: &PlanArgs) -> Result<CommandOutcome, ErrorLines> {
    let (number, from) = load(&args.from, None)?;
    let (target_number, to) = load(&args.to, Some(&from))?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    let admitted = Admission::new(from.clone()).and_then(|mut admission| admission.admit(&to));
    if let Err(error) = admitted {
        return Ok(reject(&error, args.form));
    }
    let plan = match plan(&from, &to, now) {
        Ok(plan) => plan,
        Err(error) => return Ok(reject(&error, args.form)),
    };
    if let Some(folder) = &args.steps {
        write_steps(folder, number, &plan)?;
    }
    let change = PlannedChange { number, from: &from, target_number, to: &to, plan: &plan };
    print!("{}", change.render(args.form));
    Ok(CommandOutcome::Success)
}

/// Prints why there is no plan.
fn reject(error: &dyn std::error::Error, form: Form) -> CommandOutcome {
    match form {
        Form::Json => println!("{}", json!({"refused": error.to_string()})),
        Form::Table | Form::Dot => println!("rejected: {error}"),
    }
    CommandOutcome::Rejected
}

/// Writes the version of each step to the folder as a settings file.
fn write_steps(folder: &Path, number: u64, plan: &Plan) -> Result<(), ErrorLines> {
    std::fs::create_dir_all(folder).map_err(|error| vec![format!("{}: {error}", folder.display())])?;
    for (index, step) in plan.steps.iter().enumerate() {
        let file = folder.join(format!("step-{}.scm", index + 1));
        let spec = HierarchySpec::from_hierarchy(number + index as u64 + 1, &step.target);
        std::fs::write(&file, spec.to_settings_text())
            .map_err(|error| vec![format!("{}: {error}", file.display())])?;
    }
    Ok(())
}

/// A plan with the versions that it starts from and leads to.
struct PlannedChange<'a> {
    number: u64,
    from: &'a Hierarchy,
    target_number: u64,
    to: &'a Hierarchy,
    plan: &'a Plan,
}

impl PlannedChange<'_> {
    fn render(&self, form: Form) -> String {
        match form {
            Form::Dot => dot(self.to, &node_loads(self.to), &self.steps_by_node()),
            Form::Json => self.json(),
            Form::Table => self.table(),
        }
    }

    /// Returns the numbers of the steps that change each node.
    fn steps_by_node(&self) -> BTreeMap<NodeId, Vec<usize>> {
        let mut steps: BTreeMap<NodeId, Vec<usize>> = BTreeMap::new();
        for (index, step) in self.plan.steps.iter().enumerate() {
            step.changed_nodes.iter().for_each(|node| steps.entry(*node).or_default().push(index + 1));
        }
        steps
    }

    /// Returns each step with the differences from the version before it.
    fn steps(&self) -> impl Iterator<Item = (&PlanStep, Vec<String>)> {
        let versions_before =
            std::iter::once(self.from).chain(self.plan.steps.iter().map(|step| &step.target));
        let steps = self.plan.steps.iter().zip(versions_before);
        steps.map(|(step, before)| (step, differences(before, &step.target)))
    }

    fn json(&self) -> String {
        let steps = self.steps().map(|(step, changes)| {
            let warm = step.required_warmth.iter();
            let warm: Vec<Value> = warm
                .map(|required| json!({"node": step.target.node_name(required.node), "warmth": required.warmth}))
                .collect();
            json!({"changes": changes, "origin_peak": step.origin_peak, "origin_before": step.origin_before,
                "moved": step.moved_load, "wait_ms": step.min_delay / NS_PER_MS, "warm": warm})
        });
        let steps: Vec<Value> = steps.collect();
        let fewest = self.plan.is_minimal;
        format!(
            "{}\n",
            json!({"from": self.number, "to": self.target_number, "fewest": fewest, "steps": steps})
        )
    }

    fn table(&self) -> String {
        let optimality =
            if self.plan.is_minimal { "the fewest possible" } else { "not searched for the fewest" };
        let mut out = format!(
            "version {} to {} in {} steps ({optimality})\n",
            self.number,
            self.target_number,
            self.plan.steps.len()
        );
        for (index, (step, changes)) in self.steps().enumerate() {
            let _ = writeln!(
                out,
                "step {}: after {:.1} s; {:.0} requests a second go to another node; origin at most {:.0} fetches a second, {:.0} before",
                index + 1,
                step.min_delay as f64 / NS_PER_SECOND,
                step.moved_load,
                step.origin_peak,
                step.origin_before
            );
            for required in &step.required_warmth {
                let name = step.target.node_name(required.node);
                let _ = writeln!(out, "  once {name} has a warmth of {:.0}%", 100.0 * required.warmth);
            }
            for change in changes {
                let _ = writeln!(out, "  {change}");
            }
        }
        out
    }
}
