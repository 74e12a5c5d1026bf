//! Tests of the allocation of ports for test fleets.

use std::net::TcpListener;

use fescuetide_bench::ports::bind_without_listening;
use fescuetide_bench::ports::free_address;

/// Guards against fleets that do not start because a process that another thread was starting had inherited the socket which
/// tested a port.
#[test]
fn inherited_copy_of_a_testing_socket_does_not_block_the_port() {
    let address = free_address().expect("a free port");
    let inherited = bind_without_listening(address).expect("a free port");
    let listener = TcpListener::bind(address).expect("the port can be listened at");
    assert!(
        bind_without_listening(address).is_err(),
        "a listener is not noticed"
    );
    drop((inherited, listener));
}
