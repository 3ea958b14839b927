//! How each node is spoken to: by policy, never by what happens to work. A node for which TLS is required is spoken to in
//! TLS or not at all.

/// How a node is spoken to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransportSecurity {
    /// Without encryption.
    Plaintext,
    /// In TLS.
    Tls {
        /// The name that its certificate must have: a DNS name, or a URI such as `spiffe://office/upper-a`.
        identity: String,
        /// Whether sessions are resumed.
        may_resume_sessions: bool,
    },
}

/// The nodes that a rule is for. What is not named matches all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeMatcher {
    /// The name of the node.
    pub name: Option<String>,
    /// The zone of the node.
    pub zone: Option<String>,
    /// The tier of the node.
    pub tier: Option<u8>,
}

impl NodeMatcher {
    fn matches(&self, name: &str, zone: &str, tier: u8) -> bool {
        self.name.as_deref().is_none_or(|wanted| wanted == name)
            && self.zone.as_deref().is_none_or(|wanted| wanted == zone)
            && self.tier.is_none_or(|wanted| wanted == tier)
    }
}

/// What is required of the nodes that a rule is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequiredSecurity {
    /// They are spoken to without encryption.
    Plaintext,
    /// They are spoken to in TLS.
    Tls {
        /// The name that their certificates must have, in which `{}` stands for the node's name; none: the node's name.
        identity: Option<String>,
        /// Whether sessions are resumed.
        may_resume_sessions: bool,
    },
}

impl RequiredSecurity {
    fn for_node(&self, name: &str) -> TransportSecurity {
        match self {
            RequiredSecurity::Plaintext => TransportSecurity::Plaintext,
            RequiredSecurity::Tls { identity, may_resume_sessions } => TransportSecurity::Tls {
                identity: identity
                    .as_ref()
                    .map_or_else(|| name.to_owned(), |pattern| pattern.replace("{}", name)),
                may_resume_sessions: *may_resume_sessions,
            },
        }
    }
}

/// What is required of some nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransportRule {
    /// The nodes.
    pub matcher: NodeMatcher,
    /// What is required of them.
    pub required: RequiredSecurity,
}

/// Rules in order: the first that matches decides.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TransportPolicy {
    /// The rules.
    pub rules: Vec<TransportRule>,
}

impl TransportPolicy {
    /// How a node is spoken to; none: no rule is for it, and it must not be spoken to.
    pub fn security_for(&self, name: &str, zone: &str, tier: u8) -> Option<TransportSecurity> {
        let rule = self.rules.iter().find(|rule| rule.matcher.matches(name, zone, tier))?;
        Some(rule.required.for_node(name))
    }
}
