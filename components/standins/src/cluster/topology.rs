//! Failure domains and VMs of a system.

use std::time::Duration;

/// A failure domain.
#[derive(Debug, Clone)]
pub struct FailureDomain {
    /// Name of the failure domain.
    pub name: String,
    /// Name of its region.
    pub region: String,
}

impl FailureDomain {
    /// Creates a failure domain in a region.
    pub fn new(name: &str, region: &str) -> Self {
        Self { name: name.to_owned(), region: region.to_owned() }
    }
}

/// A VM with an upstream and a node.
#[derive(Debug, Clone)]
pub struct Vm {
    /// Id of its node.
    pub name: String,
    /// Index of its failure domain.
    pub domain: usize,
    /// Number in the failure domain, from 1.
    pub number: u8,
    /// Service of its upstream.
    pub service: String,
    /// Number of requests that the upstream runs at once.
    pub slots: u32,
    /// Connection limit that the upstream announces.
    pub connections: u32,
    /// Mean service time of a request.
    pub service_time: Duration,
    /// Calls made for each request, such as `GET:/stock`.
    pub children: Vec<String>,
    /// Additional arguments of the upstream stand-in.
    pub extra_args: Vec<String>,
}

impl Vm {
    /// Creates a VM whose upstream has ten slots and a service time of 10 ms.
    pub fn new(name: &str, domain: usize, number: u8, service: &str) -> Self {
        Self {
            name: name.to_owned(),
            domain,
            number,
            service: service.to_owned(),
            slots: 10,
            connections: 160,
            service_time: Duration::from_millis(10),
            children: Vec::new(),
            extra_args: Vec::new(),
        }
    }

    /// Sets the number of slots and the mean service time.
    pub fn with_capacity(mut self, slots: u32, service_time: Duration) -> Self {
        self.slots = slots;
        self.service_time = service_time;
        self
    }

    /// Adds a call that the upstream makes for each request.
    pub fn with_call(mut self, child: &str) -> Self {
        self.children.push(child.to_owned());
        self
    }

    /// Adds arguments for the upstream stand-in.
    pub fn with_args(mut self, args: &[&str]) -> Self {
        self.extra_args.extend(args.iter().map(|arg| (*arg).to_owned()));
        self
    }

    /// Returns the arguments of the upstream stand-in.
    pub(super) fn args(&self) -> Vec<String> {
        let seed = self.domain * 100 + usize::from(self.number);
        let mut args: Vec<String> = vec![
            "--service".into(),
            self.service.clone(),
            "--slots".into(),
            self.slots.to_string(),
            "--connections".into(),
            self.connections.to_string(),
            "--time".into(),
            format!("{}us", self.service_time.as_micros()),
            "--seed".into(),
            seed.to_string(),
        ];
        for child in &self.children {
            args.extend(["--child".to_owned(), child.clone()]);
        }
        args.extend(self.extra_args.clone());
        args
    }
}
