use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

const LIST: &str = "{\n  \"revision\": 1,\n  \"complete\": true,\n  \"members\": []\n}\n";

/// What a call makes of an answer that comes in pieces of so many bytes; and what was asked.
fn answered(answer: &str, piece: usize) -> (Result<Bytes, CallError>, String) {
    let (end, mut service) = tokio::io::duplex(4096);
    let served = async move {
        let mut asked = vec![0; 1024];
        let n = service.read(&mut asked).await.unwrap_or(0);
        for bytes in answer.as_bytes().chunks(piece) {
            // Who has heard enough hangs up.
            if service.write_all(bytes).await.is_err() {
                break;
            }
            tokio::task::yield_now().await;
        }
        String::from_utf8_lossy(&asked[..n]).into_owned()
    };
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(async { tokio::join!(fetch(end, "127.0.0.1:1", "/v1/endpoints?after=5"), served) })
}

fn forms() -> [String; 2] {
    let sized = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{LIST}", LIST.len());
    let chunks = LIST.as_bytes().chunks(7).map(|c| {
        let text = String::from_utf8_lossy(c);
        format!("{:x}\r\n{text}\r\n", c.len())
    });
    let chunked = chunks.collect::<String>();
    [sized, format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunked}0\r\n\r\n")]
}

#[test]
fn an_answer_is_read_in_whatever_pieces_it_comes() {
    let unsized_one = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{LIST}");
    for answer in forms().into_iter().chain([unsized_one]) {
        for piece in [1, 2, 7, 1000] {
            let (body, asked) = answered(&answer, piece);
            assert_eq!(body.expect(&answer), LIST.as_bytes());
            assert!(asked.starts_with("GET /v1/endpoints?after=5 HTTP/1.1\r\n"), "{asked}");
            assert!(asked.to_ascii_lowercase().contains("host: 127.0.0.1:1\r\n"), "{asked}");
            assert!(asked.to_ascii_lowercase().contains("connection: close\r\n"), "{asked}");
        }
    }
}

#[test]
fn an_answer_that_stops_anywhere_is_refused_as_cut() {
    for answer in forms() {
        let head = answer.find("\r\n\r\n").expect("a head") + 4;
        for end in 1..answer.len() {
            let cut = answered(&answer[..end], 1000).0.expect_err("a cut answer");
            let part = if end < head { "head" } else { "body" };
            assert!(matches!(cut, CallError::Cut(p) if p == part), "the first {end} bytes: {cut:?}");
        }
    }
}
