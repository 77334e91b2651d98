//! Client of the host list.

use hibiscusroad_daemon::platform::HostList;
use hibiscusroad_standins::platform::{Platform, Settings, hosts::TargetGroup};
use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::TcpListener,
    thread,
};

fn target(address: &str, state: &str) -> TargetGroup {
    let labels = [("role", "side"), ("endpoint", "a"), ("state", state)];
    let labels = labels.map(|(name, value)| (name.to_owned(), value.to_owned()));
    TargetGroup {
        targets: vec![address.to_owned()],
        labels: BTreeMap::from(labels),
    }
}

// A list that wasn't sent again is read from the cache; a change is seen with the next
// request.
#[test]
fn unchanged_list_is_read_from_the_cache() {
    let platform = Platform::start(&Settings::default()).unwrap();
    let list = HostList::new(&platform.url());
    assert_eq!(list.fetch().unwrap(), []);
    platform.set_hosts(vec![target("127.0.0.1:1", "live")]);
    let first = list.fetch().unwrap();
    assert_eq!(first.len(), 1);
    for _ in 0..3 {
        assert_eq!(list.fetch().unwrap(), first);
    }
    platform.set_hosts(vec![target("127.0.0.1:2", "leaving")]);
    let second = list.fetch().unwrap();
    assert_eq!(second.len(), 1);
    assert_ne!(second, first);
}

// Guards against a call that is sent elsewhere because of an answer whose head was cut.
#[test]
fn cut_redirect_is_not_followed() {
    let platform = Platform::start(&Settings::default()).unwrap();
    platform.set_hosts(vec![target("127.0.0.1:1", "live")]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let head = format!(
        "HTTP/1.1 302 Found\r\nLocation: {}/hosts\r\n",
        platform.url().trim_end_matches('/')
    );
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            // The request is short and comes in one segment.
            let _ = stream.read(&mut [0; 4 << 10]).unwrap();
            stream.write_all(head.as_bytes()).unwrap();
        }
    });
    HostList::new(&url).fetch().unwrap_err();
}
