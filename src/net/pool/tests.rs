use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use super::*;

/// Bytes and the end that the poller has not told of yet: what a relay that is about to send has to know.
#[tokio::test]
async fn a_look_sees_what_the_poller_has_not_told_yet() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (mut there, here) =
        tokio::join!(TcpStream::connect(listener.local_addr().unwrap()), listener.accept());
    let (there, here) = (there.as_mut().unwrap(), here.unwrap().0);
    let mut buffer = Rc::new(Pool::default()).get();
    assert_eq!(buffer.fill_unpolled(&here).unwrap(), None);
    // What it told at first is used up; from here on there is no turn of it in between.
    assert_eq!(buffer.fill(&here).unwrap(), None);
    there.try_write(&[b'x'; UNPOLLED_READ_BYTES + 7]).unwrap();
    assert_eq!(buffer.fill(&here).unwrap(), None, "the poller has been heard: this shows nothing");
    assert_eq!(buffer.fill_unpolled(&here).unwrap(), Some(UNPOLLED_READ_BYTES));
    assert_eq!(buffer.fill_unpolled(&here).unwrap(), Some(7));
    assert_eq!(buffer.fill_unpolled(&here).unwrap(), None);
    there.shutdown().await.unwrap();
    assert_eq!(buffer.fill_unpolled(&here).unwrap(), Some(0));
    assert_eq!(buffer.len(), UNPOLLED_READ_BYTES + 7);
    // A poller that is heard later finds nothing left, and the end.
    tokio::time::timeout(std::time::Duration::from_secs(10), async {
        while buffer.fill(&here).unwrap() != Some(0) {
            here.readable().await.unwrap();
        }
    })
    .await
    .expect("the end is read");
}

/// A look takes no more than there is room for.
#[tokio::test]
async fn a_look_is_bounded_by_the_room() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (there, here) = tokio::join!(TcpStream::connect(listener.local_addr().unwrap()), listener.accept());
    let (there, here) = (there.unwrap(), here.unwrap().0);
    let mut buffer = Rc::new(Pool::default()).get();
    buffer.extend_from_slice(&[b'x'; BUFFER_BYTES - 3]);
    there.try_write(b"abcdef").unwrap();
    assert_eq!(buffer.fill_unpolled(&here).unwrap(), Some(3));
    assert_eq!((buffer.spare_capacity(), &buffer[BUFFER_BYTES - 3..]), (0, &b"abc"[..]));
}
