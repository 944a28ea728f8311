use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

const LIST: &str = "{\n  \"revision\": 1,\n  \"complete\": true,\n  \"members\": []\n}\n";

/// Fetches from a server that sends `response` in chunks of `chunk_bytes`. Returns the result and the
/// request.
fn fetch_in_chunks(response: &str, chunk_bytes: usize) -> (Result<Bytes, CallError>, String) {
    let (end, mut server) = tokio::io::duplex(4096);
    let serve = async move {
        let mut request = vec![0; 1024];
        let length = server.read(&mut request).await.unwrap_or(0);
        for bytes in response.as_bytes().chunks(chunk_bytes) {
            // The client closes the connection once it has the whole body or an error.
            if server.write_all(bytes).await.is_err() {
                break;
            }
            tokio::task::yield_now().await;
        }
        String::from_utf8_lossy(&request[..length]).into_owned()
    };
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(async { tokio::join!(fetch(end, "127.0.0.1:1", "/v1/endpoints?after=5"), serve) })
}

fn sized_and_chunked_responses() -> [String; 2] {
    let sized = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{LIST}", LIST.len());
    let chunks = LIST.as_bytes().chunks(7).map(|chunk| {
        let text = String::from_utf8_lossy(chunk);
        format!("{:x}\r\n{text}\r\n", chunk.len())
    });
    let chunked = chunks.collect::<String>();
    [sized, format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunked}0\r\n\r\n")]
}

#[test]
fn a_response_is_read_whole_at_any_chunk_size() {
    let delimited_by_close = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{LIST}");
    for response in sized_and_chunked_responses().into_iter().chain([delimited_by_close]) {
        for chunk_bytes in [1, 2, 7, 1000] {
            let (body, request) = fetch_in_chunks(&response, chunk_bytes);
            assert_eq!(body.expect(&response), LIST.as_bytes());
            assert!(request.starts_with("GET /v1/endpoints?after=5 HTTP/1.1\r\n"), "{request}");
            assert!(request.to_ascii_lowercase().contains("host: 127.0.0.1:1\r\n"), "{request}");
            assert!(request.to_ascii_lowercase().contains("connection: close\r\n"), "{request}");
        }
    }
}

#[test]
fn a_response_truncated_at_any_byte_fails_as_cut() {
    for response in sized_and_chunked_responses() {
        let head = response.find("\r\n\r\n").expect("a head") + 4;
        for end in 1..response.len() {
            let cut = fetch_in_chunks(&response[..end], 1000).0.expect_err("a cut response");
            let part = if end < head { "head" } else { "body" };
            assert!(matches!(cut, CallError::Truncated(p) if p == part), "the first {end} bytes: {cut:?}");
        }
    }
}
