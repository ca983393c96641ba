use tokio::io::{AsyncReadExt, AsyncWriteExt};

use tokio::sync::Semaphore;

use super::*;
use crate::http_bodies::BodyMemory;

fn new_state() -> Arc<ConnectionState> {
    let place = Arc::new(Semaphore::new(1)).try_acquire_owned();
    ConnectionState::new(Instant::now(), place.expect("a place"))
}

/// Guards against heads without end that fill read buffers on many connections.
#[tokio::test]
async fn heads_without_end_share_their_memory() {
    let memory = BodyMemory::new(1 << 20);
    let mut streams = Vec::new();
    for _ in 0..100 {
        let (mut client, server) = tokio::io::duplex(256 << 10);
        client.write_all(&[b'x'; 200 << 10]).await.expect("room");
        let state = new_state();
        let mut stream = MeteredStream::new(server, state, memory.hold());
        let mut buffer = vec![0; 200 << 10];
        let mut bytes = 0;
        while let Ok(count @ 1..) = stream.read(&mut buffer[bytes..]).await {
            assert!(count <= READ_BYTES);
            bytes += count;
        }
        assert!(bytes >= FREE_HEAD_BYTES, "{bytes}");
        assert!(memory.held() <= 1 << 20);
        streams.push((client, stream));
    }
    drop(streams);
    assert_eq!(memory.held(), 0);
}

/// Guards against a head whose memory is kept while its request is answered.
#[tokio::test]
async fn the_memory_of_a_head_is_released_once_its_call_has_begun() {
    let memory = BodyMemory::new(1 << 20);
    let (mut client, server) = tokio::io::duplex(256 << 10);
    let state = new_state();
    let mut stream = MeteredStream::new(server, Arc::clone(&state), memory.hold());
    client.write_all(&[b'x'; 30 << 10]).await.expect("room");
    stream
        .read_exact(&mut vec![0; 30 << 10])
        .await
        .expect("bytes");
    assert!(memory.held() > 0);
    let _call = state.begin_call(false);
    client.write_all(b"body").await.expect("room");
    stream.read_exact(&mut [0; 4]).await.expect("bytes");
    assert_eq!(memory.held(), 0);
}
