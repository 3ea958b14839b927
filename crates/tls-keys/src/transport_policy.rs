//! Decides by configured rules whether connections to a node use TLS. There is no fallback: a node that requires TLS is
//! connected to with TLS or not at all.

/// Transport security of connections to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransportSecurity {
    /// Without encryption.
    Plaintext,
    /// With TLS.
    Tls {
        /// The name that the node's certificate must have: a DNS name, or a URI such as `spiffe://office/upper-a`.
        identity: String,
        /// Whether TLS sessions may be resumed.
        may_resume_sessions: bool,
    },
}

/// Selects the nodes that a rule applies to. A field that is `None` matches all nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeMatcher {
    /// Name of the node.
    pub name: Option<String>,
    /// Zone of the node.
    pub zone: Option<String>,
    /// Tier of the node.
    pub tier: Option<u8>,
}

impl NodeMatcher {
    fn matches(&self, name: &str, zone: &str, tier: u8) -> bool {
        self.name.as_deref().is_none_or(|wanted| wanted == name)
            && self.zone.as_deref().is_none_or(|wanted| wanted == zone)
            && self.tier.is_none_or(|wanted| wanted == tier)
    }
}

/// Transport security that a rule requires of its nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequiredSecurity {
    /// Connections are not encrypted.
    Plaintext,
    /// Connections use TLS.
    Tls {
        /// The name that a node's certificate must have, with `{}` in place of the node's name. `None` requires the
        /// node's name itself.
        identity: Option<String>,
        /// Whether TLS sessions may be resumed.
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

/// A rule on the transport security of some nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransportRule {
    /// The nodes that the rule applies to.
    pub matcher: NodeMatcher,
    /// The transport security that they require.
    pub required: RequiredSecurity,
}

/// Rules in order of precedence: the first that matches a node applies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TransportPolicy {
    /// The rules.
    pub rules: Vec<TransportRule>,
}

impl TransportPolicy {
    /// Returns the transport security of a node. `None` means that no rule matches: the node must not be connected to.
    pub fn security_for(&self, name: &str, zone: &str, tier: u8) -> Option<TransportSecurity> {
        let rule = self.rules.iter().find(|rule| rule.matcher.matches(name, zone, tier))?;
        Some(rule.required.for_node(name))
    }
}
