use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use super::*;

/// A relay that is about to send to an endpoint has to know whether the client has sent bytes or closed, even
/// if the poller has not reported that yet.
#[tokio::test]
async fn fill_unpolled_reads_bytes_and_end_before_the_poller_reports_them() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (mut sender, receiver) =
        tokio::join!(TcpStream::connect(listener.local_addr().unwrap()), listener.accept());
    let (sender, receiver) = (sender.as_mut().unwrap(), receiver.unwrap().0);
    let mut buffer = Rc::new(BufferPool::default()).get();
    assert_eq!(buffer.fill_unpolled(&receiver).unwrap(), None);
    // This read uses up the poller's first report. The test does not yield to the poller again until it calls
    // `shutdown`.
    assert_eq!(buffer.fill(&receiver).unwrap(), None);
    sender.try_write(&[b'x'; UNPOLLED_READ_BYTES + 7]).unwrap();
    assert_eq!(
        buffer.fill(&receiver).unwrap(),
        None,
        "the poller has already reported the bytes, so this test proves nothing"
    );
    assert_eq!(buffer.fill_unpolled(&receiver).unwrap(), Some(UNPOLLED_READ_BYTES));
    assert_eq!(buffer.fill_unpolled(&receiver).unwrap(), Some(7));
    assert_eq!(buffer.fill_unpolled(&receiver).unwrap(), None);
    sender.shutdown().await.unwrap();
    assert_eq!(buffer.fill_unpolled(&receiver).unwrap(), Some(0));
    assert_eq!(buffer.len(), UNPOLLED_READ_BYTES + 7);
    // Once the poller reports, no bytes are left to read, only the end of the stream.
    tokio::time::timeout(std::time::Duration::from_secs(10), async {
        while buffer.fill(&receiver).unwrap() != Some(0) {
            receiver.readable().await.unwrap();
        }
    })
    .await
    .expect("the buffer did not read the end of the stream within 10 s");
}

/// A read without the poller takes no more bytes than the buffer has room for.
#[tokio::test]
async fn fill_unpolled_reads_at_most_the_spare_capacity() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (sender, receiver) =
        tokio::join!(TcpStream::connect(listener.local_addr().unwrap()), listener.accept());
    let (sender, receiver) = (sender.unwrap(), receiver.unwrap().0);
    let mut buffer = Rc::new(BufferPool::default()).get();
    buffer.extend_from_slice(&[b'x'; BUFFER_BYTES - 3]);
    sender.try_write(b"abcdef").unwrap();
    assert_eq!(buffer.fill_unpolled(&receiver).unwrap(), Some(3));
    assert_eq!((buffer.spare_capacity(), &buffer[BUFFER_BYTES - 3..]), (0, &b"abc"[..]));
}
