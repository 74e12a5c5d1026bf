//! Starting upstreams and their side processes.

use std::fmt::Write;
use std::net::SocketAddr;

use super::FleetProcesses;
use super::UpstreamPair;
use super::stand_in_arguments;
use super::write_vm_lines;
use crate::ports::free_address;

impl FleetProcesses {
    /// Adds an upstream and starts its processes, without publishing the VM list.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start.
    pub fn add_upstream(&mut self, role: &str, ordinal: usize) -> anyhow::Result<()> {
        let pool = match role {
            "engine" => "fescuetide-pool".to_owned(),
            _ => self.settings.service_pool.clone(),
        };
        let vm = self.new_vm(role, ordinal, &pool)?;
        let index = self.upstreams.len();
        let mut side_address = vm.data;
        let mut proxy = None;
        if self.settings.proxied.contains(&index) {
            side_address = free_address()?;
            proxy = Some(self.start_proxy(&vm, side_address)?);
        }
        self.upstreams.push(UpstreamPair {
            side_address,
            proxy,
            journal: self.folder.join(format!("{}.journal", vm.name)),
            vm,
            upstream_address: free_address()?,
            upstream: None,
            side: None,
            removed: false,
        });
        match self.find_shared(role, index) {
            Some(address) => self.upstreams[index].upstream_address = address,
            None => self.start_upstream(index)?,
        }
        self.start_side(index)
    }

    /// The address of the upstream shared by all side processes of `role`, if upstreams are shared and one exists.
    fn find_shared(&self, role: &str, index: usize) -> Option<SocketAddr> {
        if !self.settings.shared_upstream {
            return None;
        }
        let first = self.upstreams[..index]
            .iter()
            .find(|pair| pair.vm.role == role)?;
        Some(first.upstream_address)
    }

    /// Starts the upstream at index `index`.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub fn start_upstream(&mut self, index: usize) -> anyhow::Result<()> {
        let pair = &self.upstreams[index];
        let mut arguments = stand_in_arguments(&pair.vm.role, pair.upstream_address);
        arguments.extend(["--name".to_owned(), pair.vm.name.clone()]);
        arguments.extend(["--journal".to_owned(), pair.journal.display().to_string()]);
        arguments.extend(match pair.vm.role.as_str() {
            "engine" => self.settings.engine_options.clone(),
            _ => self.settings.service_options.clone(),
        });
        let process = self.start_stand_in(&pair.vm.name, &arguments)?;
        self.upstreams[index].upstream = Some(process);
        Ok(())
    }

    /// Starts the side process of the upstream at index `index`.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub fn start_side(&mut self, index: usize) -> anyhow::Result<()> {
        let pair = &self.upstreams[index];
        let mut text = String::from("role = \"side\"\n\n[side]\n");
        write_vm_lines(&mut text, &pair.vm)?;
        writeln!(text, "pool = \"{}\"", pair.vm.pool)?;
        writeln!(text, "kind = \"{}\"", pair.vm.role)?;
        writeln!(text, "data_listen = \"{}\"", pair.side_address)?;
        writeln!(text, "upstream_url = \"http://{}\"", pair.upstream_address)?;
        writeln!(text, "vm_list_url = \"http://{}\"", self.vms_address)?;
        for line in &self.settings.side_lines {
            writeln!(text, "{line}")?;
        }
        let process = self.start_daemon(&format!("{}-side", pair.vm.name), &text)?;
        self.upstreams[index].side = Some(process);
        Ok(())
    }
}
