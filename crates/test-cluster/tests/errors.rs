//! The errors of the test cluster itself.

use std::io;
use std::net::SocketAddr;

use sandgw_test_cluster::TestClusterError;

#[test]
fn every_error_says_what_happened_and_what_to_do() {
    let io = || io::Error::other("cause");
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let all = [
        TestClusterError::Socket { address, source: io() },
        TestClusterError::Start { relay: 7, binary: "sandgw".into(), source: io() },
        TestClusterError::Folder { relay: 7, source: io() },
        TestClusterError::Signal { relay: 7, source: io() },
        TestClusterError::NotReady { relay: 7, waited_ms: 5.0, log_end: "cause".into() },
        TestClusterError::Descriptors { needed: 9, hard_limit: 7 },
    ];
    for error in &all {
        let text = error.to_string();
        assert!(text.contains("cause") || text.contains('7'), "{text}");
        assert!(error.help().len() > 20, "{text}");
    }
    let help: std::collections::BTreeSet<_> = all.iter().map(TestClusterError::help).collect();
    assert_eq!(help.len(), all.len());
}
