//! Distributes chats over upstreams by rank without exceeding the load bound.

use std::net::SocketAddr;

use fescuetide_base::ChatName;
use fescuetide_base::ClockMillis;
use fescuetide_base::LoadCount;
use fescuetide_base::WorkspaceName;
use fescuetide_limits::LoadBound;
use fescuetide_members::RoleKind;
use fescuetide_members::VmEntry;
use fescuetide_members::VmPhase;
use fescuetide_members::VmTable;
use fescuetide_routing::RankKey;
use fescuetide_routing::RankingTable;
use fescuetide_routing::ShardSize;
use indexmap::IndexMap;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut list = Vec::new();
    for index in 0..6 {
        list.push(VmEntry {
            name: format!("engine-{index}").parse()?,
            role: RoleKind::Engine,
            pool: "pool".parse()?,
            zone: "zone-a".parse()?,
            region: "region-a".parse()?,
            data: address,
            control: address,
            phase: VmPhase::Live,
        });
    }
    let vms = VmTable::new(1, list, ClockMillis::new(0));
    let table = RankingTable::new(&vms, &"pool".parse()?, &"region-a".parse()?);
    let bound = LoadBound::default();
    let workspace: WorkspaceName = "workspace-1".parse()?;
    let mut loads: IndexMap<String, u32> = IndexMap::new();
    for number in 0..60_u32 {
        let chat: ChatName = format!("chat-{number}").parse()?;
        let key = RankKey {
            workspace: &workspace,
            model: None,
            chat: Some(&chat),
        };
        let mean = f64::from(number) / table.len() as f64;
        for vm in table.rank(&key, ShardSize::at_least(2)) {
            let load = loads.entry(vm.name.to_string()).or_default();
            if bound.admits(LoadCount::new(*load), mean) {
                *load += 1;
                break;
            }
        }
    }
    for (vm, load) in loads {
        println!("{vm}: {load}");
    }
    Ok(())
}
