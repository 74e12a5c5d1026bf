//! Tests of the table of connections.

use fescuetide_gateway::TokenTable;

/// Guards against a response that is written to another caller's connection: a token that was collected before its connection
/// closed must not find the connection that was opened in its place.
#[test]
fn token_of_a_closed_connection_does_not_find_its_successor() {
    let mut table = TokenTable::default();
    let closed = table.insert("closed");
    assert_eq!(table.remove(closed), Some("closed"));
    let successor = table.insert("successor");
    assert_eq!(table.get(closed), None);
    assert_eq!(table.get_mut(closed), None);
    assert_eq!(table.remove(closed), None);
    assert_eq!(table.get(successor), Some(&"successor"));
    let listed: Vec<(usize, &&str)> = table.iter().collect();
    assert_eq!(listed, [(successor, &"successor")]);
}

/// Guards against tokens that are mixed up when slots are reused in another order.
#[test]
fn every_token_finds_its_own_value() {
    let mut table = TokenTable::default();
    let mut live = Vec::new();
    let mut removed = Vec::new();
    for value in 0..1_000_usize {
        live.push((table.insert(value), value));
        if value % 3 == 0 {
            let (token, value) = live.swap_remove(value * 7 % live.len());
            assert_eq!(table.remove(token), Some(value));
            removed.push(token);
        }
    }
    for (token, value) in live {
        assert_eq!(table.get(token), Some(&value));
    }
    for token in removed {
        assert_eq!(table.get(token), None);
    }
}
