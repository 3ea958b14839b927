//! In which way a node is spoken to. Never in the better of two ways that happens to work: a node for which TLS is
//! required is spoken to in TLS or not at all.

/// How a node is spoken to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rule {
    Plain,
    Tls {
        /// What its certificate has to name: a DNS name, or a URI such as `spiffe://office/upper-a`.
        identity: String,
        /// Whether sessions are taken up again.
        resume: bool,
    },
}

/// Which nodes a line of the policy is for; what is not named fits all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Matches {
    pub name: Option<String>,
    pub zone: Option<String>,
    pub tier: Option<u8>,
}

/// What is required of the nodes that a line is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wanted {
    Plain,
    /// `identity`: none is the node's own name; `{}` in it stands for that.
    Tls {
        identity: Option<String>,
        resume: bool,
    },
}

/// Lines in order: the first that fits decides. Without one that fits a node gets nothing, rather than plain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Policy {
    pub lines: Vec<(Matches, Wanted)>,
}

impl Policy {
    /// None: no line is for this node, and it must not be spoken to.
    pub fn rule(&self, name: &str, zone: &str, tier: u8) -> Option<Rule> {
        let fits = |m: &Matches| {
            m.name.as_deref().is_none_or(|n| n == name)
                && m.zone.as_deref().is_none_or(|z| z == zone)
                && m.tier.is_none_or(|t| t == tier)
        };
        self.lines.iter().find(|(m, _)| fits(m)).map(|(_, wanted)| match wanted {
            Wanted::Plain => Rule::Plain,
            Wanted::Tls { identity, resume } => Rule::Tls {
                identity: identity.as_ref().map_or_else(|| name.to_owned(), |i| i.replace("{}", name)),
                resume: *resume,
            },
        })
    }
}
