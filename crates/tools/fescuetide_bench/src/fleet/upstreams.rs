//! Starting upstreams and their side processes.

use std::fmt::Write;
use std::net::SocketAddr;

use super::FleetProcesses;
use super::UpstreamNode;
use super::stand_in_arguments;
use super::write_vm_settings;
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
        self.upstreams.push(UpstreamNode {
            side_address,
            proxy,
            journal: self.folder.join(format!("{}.journal", vm.name)),
            vm,
            upstream_address: free_address()?,
            upstream: None,
            side: None,
            removed: false,
        });
        match self.shared_upstream_address(role, index) {
            Some(address) => self.upstreams[index].upstream_address = address,
            None => self.start_upstream(index)?,
        }
        self.start_side(index)
    }

    /// The address of the upstream shared by all side processes of `role`, if upstreams are shared and one exists.
    fn shared_upstream_address(&self, role: &str, index: usize) -> Option<SocketAddr> {
        if !self.settings.shared_upstream {
            return None;
        }
        let first = self.upstreams[..index]
            .iter()
            .find(|node| node.vm.role == role)?;
        Some(first.upstream_address)
    }

    /// Starts the upstream at `index` in the list of upstreams.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub fn start_upstream(&mut self, index: usize) -> anyhow::Result<()> {
        let node = &self.upstreams[index];
        let mut arguments = stand_in_arguments(&node.vm.role, node.upstream_address);
        arguments.extend(["--name".to_owned(), node.vm.name.clone()]);
        arguments.extend(["--journal".to_owned(), node.journal.display().to_string()]);
        arguments.extend(match node.vm.role.as_str() {
            "engine" => self.settings.engine_options.clone(),
            _ => self.settings.service_options.clone(),
        });
        let process = self.start_stand_in(&node.vm.name, &arguments)?;
        self.upstreams[index].upstream = Some(process);
        Ok(())
    }

    /// Starts the side process of the upstream at `index`.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub fn start_side(&mut self, index: usize) -> anyhow::Result<()> {
        let node = &self.upstreams[index];
        let mut text = String::from("role = \"side\"\n\n[side]\n");
        write_vm_settings(&mut text, &node.vm)?;
        writeln!(text, "pool = \"{}\"", node.vm.pool)?;
        writeln!(text, "kind = \"{}\"", node.vm.role)?;
        writeln!(text, "data_listen = \"{}\"", node.side_address)?;
        writeln!(text, "upstream_url = \"http://{}\"", node.upstream_address)?;
        writeln!(text, "vm_list_url = \"http://{}\"", self.vm_list_address)?;
        for line in &self.settings.side_lines {
            writeln!(text, "{line}")?;
        }
        let process = self.start_daemon(&format!("{}-side", node.vm.name), &text)?;
        self.upstreams[index].side = Some(process);
        Ok(())
    }
}
