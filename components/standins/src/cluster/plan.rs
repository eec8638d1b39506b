//! What a system is made of.

use std::time::Duration;

/// A failure domain.
#[derive(Debug, Clone)]
pub struct Place {
    /// Its name.
    pub domain: String,
    /// The region it is in.
    pub region: String,
}

impl Place {
    /// A failure domain of a region.
    pub fn new(domain: &str, region: &str) -> Self {
        Self { domain: domain.to_owned(), region: region.to_owned() }
    }
}

/// A VM with an upstream and a node.
#[derive(Debug, Clone)]
pub struct Vm {
    /// Id of its node.
    pub name: String,
    /// Index of its failure domain.
    pub place: usize,
    /// Number in the failure domain, from 1.
    pub number: u8,
    /// Service of its upstream.
    pub service: String,
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// Connections that it takes.
    pub connections: u32,
    /// Mean time that a request holds a slot.
    pub time: Duration,
    /// Calls made for each request, such as `GET:/stock`.
    pub children: Vec<String>,
    /// Further arguments of the upstream stand-in.
    pub extra: Vec<String>,
}

impl Vm {
    /// A VM with an upstream of ten slots.
    pub fn new(name: &str, place: usize, number: u8, service: &str) -> Self {
        Self {
            name: name.to_owned(),
            place,
            number,
            service: service.to_owned(),
            slots: 10,
            connections: 160,
            time: Duration::from_millis(10),
            children: Vec::new(),
            extra: Vec::new(),
        }
    }

    /// Sets the slots and the time that a request holds one.
    pub fn sized(mut self, slots: u32, time: Duration) -> Self {
        self.slots = slots;
        self.time = time;
        self
    }

    /// Adds a call that is made for each request.
    pub fn calls(mut self, child: &str) -> Self {
        self.children.push(child.to_owned());
        self
    }

    /// Adds arguments of the upstream stand-in.
    pub fn with(mut self, args: &[&str]) -> Self {
        self.extra.extend(args.iter().map(|arg| (*arg).to_owned()));
        self
    }

    /// Arguments of the upstream stand-in.
    pub(super) fn args(&self) -> Vec<String> {
        let seed = self.place * 100 + usize::from(self.number);
        let mut args: Vec<String> = vec![
            "--service".into(),
            self.service.clone(),
            "--slots".into(),
            self.slots.to_string(),
            "--connections".into(),
            self.connections.to_string(),
            "--time".into(),
            format!("{}us", self.time.as_micros()),
            "--seed".into(),
            seed.to_string(),
        ];
        for child in &self.children {
            args.extend(["--child".to_owned(), child.clone()]);
        }
        args.extend(self.extra.clone());
        args
    }
}
