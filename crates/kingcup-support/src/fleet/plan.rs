//! The instances of a fleet to start, and the program that runs them.

use std::path::PathBuf;

use kingcupgrade::core::settings::Role;

/// The command line of an instance: the executable and the arguments before `--settings FILE`.
#[derive(Clone, Debug)]
pub struct Program {
    /// The executable.
    pub path: PathBuf,
    /// The arguments that run an instance.
    pub run: Vec<String>,
    /// The arguments that initialise a control instance's data folder.
    pub init: Vec<String>,
}

impl Program {
    /// Creates a program that runs the daemon at `path`.
    pub fn daemon(path: impl Into<PathBuf>) -> Program {
        Program { path: path.into(), run: Vec::new(), init: vec!["init".to_owned()] }
    }
}

/// The name, failure domain and roles of an instance to start.
#[derive(Clone, Debug)]
pub struct InstancePlan {
    /// The instance's name.
    pub instance: String,
    /// The instance's failure domain.
    pub domain: String,
    /// The instance's roles.
    pub roles: Vec<Role>,
}

impl InstancePlan {
    /// Creates the plan of an entry.
    pub fn entry(instance: &str, domain: &str) -> InstancePlan {
        InstancePlan {
            instance: instance.to_owned(),
            domain: domain.to_owned(),
            roles: vec![Role::Entry],
        }
    }

    /// Creates the plan of a control instance.
    pub fn control(instance: &str, domain: &str) -> InstancePlan {
        InstancePlan {
            instance: instance.to_owned(),
            domain: domain.to_owned(),
            roles: vec![Role::Control],
        }
    }
}
