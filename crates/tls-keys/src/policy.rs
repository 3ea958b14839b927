//! In which way a node is spoken to. Never in the better of two ways that happens to work: a node for which TLS is
//! required is spoken to in TLS or not at all.

/// How a node is spoken to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransportSecurity {
    Plaintext,
    Tls {
        /// What its certificate has to name: a DNS name, or a URI such as `spiffe://office/upper-a`.
        identity: String,
        /// Whether sessions are taken up again.
        may_resume_sessions: bool,
    },
}

/// Which nodes a line of the policy is for; what is not named fits all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeMatcher {
    pub name: Option<String>,
    pub zone: Option<String>,
    pub tier: Option<u8>,
}

/// What is required of the nodes that a line is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequiredSecurity {
    Plaintext,
    /// `identity`: none is the node's own name; `{}` in it stands for that.
    Tls {
        identity: Option<String>,
        may_resume_sessions: bool,
    },
}

/// Lines in order: the first that fits decides. Without one that fits a node gets nothing, rather than plain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TransportPolicy {
    pub rules: Vec<(NodeMatcher, RequiredSecurity)>,
}

impl TransportPolicy {
    /// None: no line is for this node, and it must not be spoken to.
    pub fn security_for(&self, name: &str, zone: &str, tier: u8) -> Option<TransportSecurity> {
        let fits = |m: &NodeMatcher| {
            m.name.as_deref().is_none_or(|n| n == name)
                && m.zone.as_deref().is_none_or(|z| z == zone)
                && m.tier.is_none_or(|t| t == tier)
        };
        self.rules.iter().find(|(m, _)| fits(m)).map(|(_, wanted)| match wanted {
            RequiredSecurity::Plaintext => TransportSecurity::Plaintext,
            RequiredSecurity::Tls { identity, may_resume_sessions: resume } => TransportSecurity::Tls {
                identity: identity.as_ref().map_or_else(|| name.to_owned(), |i| i.replace("{}", name)),
                may_resume_sessions: *resume,
            },
        })
    }
}
