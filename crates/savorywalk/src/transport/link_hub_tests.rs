use std::collections::hash_map::Entry;
use std::fs;
use std::sync::atomic::{AtomicBool, Ordering};

use tempfile::TempDir;
use time::OffsetDateTime;
use tokio::io::AsyncReadExt;
use tokio::net::UdpSocket;

use super::*;
use crate::transport::{CertificateFiles, KeyAuthority, LinkTiming, LoadError};

/// Far longer than anything here takes, for machines that run other builds.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const NEVER: Duration = Duration::from_secs(3600);
const CHANNEL: LinkChannel = LinkChannel::Control;

/// An authority with its folder.
struct TestAuthority {
    folder: TempDir,
    authority: KeyAuthority,
}

impl TestAuthority {
    fn new() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let authority = KeyAuthority::create(folder.path()).expect("it is empty");
        Self { folder, authority }
    }

    fn options(&self, name: &str) -> LinkOptions {
        let certificate = self.authority.issue(name, 2).expect("a good name");
        LinkOptions {
            name: PeerName::new(name).expect("a good name"),
            address: "127.0.0.1:0".parse().expect("an address"),
            files: CertificateFiles {
                key: certificate.with_extension("key"),
                authority: self.folder.path().join("authority.pem"),
                certificate,
            },
            trust: LinkTrust::default(),
            timing: LinkTiming::default(),
            peers: BTreeMap::new(),
            budget: 1_000_000,
            reload_interval: NEVER,
        }
    }

    fn hub(&self, name: &str) -> LinkHub {
        LinkHub::start(self.options(name)).expect("it starts")
    }

    /// An identity that has expired, which no hub would start with.
    fn expired(&self, name: &str) -> LinkIdentity {
        let end = OffsetDateTime::now_utc() - time::Duration::hours(1);
        let start = end - time::Duration::days(1);
        let options = self.options(name);
        let issued = self.authority.issue_between(name, start, end);
        issued.expect("a good name");
        let texts = options.files.read().expect("they are there");
        LinkIdentity::build(0, texts, LinkTiming::default()).expect("they fit together")
    }
}

fn acquaint(hub: &LinkHub, peer: &LinkHub) {
    let address = peer.address().expect("it is open");
    hub.addresses().set(peer.name().clone(), address);
}

/// Answers every call with its own request.
fn echo(hub: &LinkHub) {
    let mut calls = hub.serve(CHANNEL);
    tokio::spawn(async move {
        while let Some(call) = calls.recv().await {
            let payload = call.payload.clone();
            call.reply.answer(payload);
        }
    });
}

async fn call(hub: &LinkHub, peer: &str) -> Result<Bytes> {
    let payload = Bytes::from_static(b"hello");
    hub.call(peer, CHANNEL, payload, CALL_TIMEOUT).await
}

async fn patiently<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(WAIT_TIMEOUT, future)
        .await
        .expect("in time")
}

async fn until(mut condition: impl FnMut() -> bool) {
    patiently(async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

#[tokio::test]
async fn messages_and_calls_carry_the_certified_name() {
    let authority = TestAuthority::new();
    let (one, two) = (authority.hub("one"), authority.hub("two"));
    acquaint(&one, &two);
    echo(&two);
    let mut messages = two.subscribe(LinkChannel::Directory);
    one.send_as(
        "two",
        LinkChannel::Directory,
        LinkClass::Notice,
        "bye".into(),
    )
    .expect("there is room");
    let message = patiently(messages.recv()).await.expect("it arrives");
    assert_eq!(message.from.as_str(), "one");
    assert_eq!(message.class, LinkClass::Notice);
    assert_eq!(message.payload, "bye");
    assert_eq!(call(&one, "two").await.expect("an answer"), "hello");
}

#[tokio::test]
async fn a_peer_without_an_address_is_reached_over_its_own_connection() {
    let authority = TestAuthority::new();
    let (entry, control) = (authority.hub("entry-1"), authority.hub("control-1"));
    acquaint(&entry, &control);
    echo(&control);
    echo(&entry);
    let unknown = call(&control, "entry-1").await;
    assert!(
        matches!(unknown, Err(LinkError::UnknownPeer(_))),
        "{unknown:?}"
    );
    call(&entry, "control-1").await.expect("an answer");
    call(&control, "entry-1").await.expect("an answer");
}

#[tokio::test]
async fn a_foreign_certificate_is_refused_with_the_remedy() {
    let (ours, theirs) = (TestAuthority::new(), TestAuthority::new());
    let (one, two) = (ours.hub("one"), theirs.hub("two"));
    acquaint(&one, &two);
    echo(&two);
    let error = call(&one, "two").await.expect_err("it is foreign");
    assert!(matches!(error, LinkError::Certificate { .. }), "{error}");
    assert!(
        error.to_string().contains("savorywalk keys issue"),
        "{error}"
    );
    assert!(two.connected_peers().is_empty());
}

#[tokio::test]
async fn a_certificate_for_another_name_is_refused() {
    let authority = TestAuthority::new();
    let (one, two) = (authority.hub("one"), authority.hub("two"));
    let address = two.address().expect("it is open");
    one.addresses()
        .set(PeerName::new("three").expect("good"), address);
    let error = call(&one, "three").await.expect_err("it is two");
    assert!(matches!(error, LinkError::Certificate { .. }), "{error}");
}

#[tokio::test]
async fn an_expired_certificate_is_refused_by_whoever_sees_it() {
    let authority = TestAuthority::new();
    let hub = authority.hub("one");
    let expired = authority.expired("two");

    let address = hub.address().expect("it is open");
    let dialler = quinn::Endpoint::client("127.0.0.1:0".parse().expect("an address"));
    let dialler = dialler.expect("a socket");
    let connecting = dialler.connect_with(expired.client.clone(), address, "one");
    let outcome = match patiently(connecting.expect("good options")).await {
        Ok(quic) => patiently(quic.closed()).await,
        Err(error) => error,
    };
    let failure = connection_keeper::failure_of(&outcome);
    assert!(
        matches!(failure, DialFailure::Certificate(_)),
        "{failure:?}"
    );

    let listener = quinn::Endpoint::server(expired.server, "127.0.0.1:0".parse().expect("good"));
    let listener = listener.expect("a socket");
    let address = listener.local_addr().expect("it is open");
    tokio::spawn(async move {
        while let Some(incoming) = listener.accept().await {
            drop(incoming.await);
        }
    });
    hub.addresses()
        .set(PeerName::new("two").expect("good"), address);
    let error = call(&hub, "two").await.expect_err("it has expired");
    assert!(matches!(error, LinkError::Certificate { .. }), "{error}");
    assert!(
        error.to_string().contains("savorywalk keys issue"),
        "{error}"
    );
}

#[tokio::test]
async fn a_hub_does_not_start_with_bad_files() {
    let (ours, theirs) = (TestAuthority::new(), TestAuthority::new());
    let mut options = ours.options("one");
    options.files.authority = theirs.folder.path().join("authority.pem");
    let error = LinkHub::start(options).expect_err("it is foreign");
    assert!(
        matches!(error, LinkError::Load(LoadError::Foreign(_))),
        "{error}"
    );

    let mut options = ours.options("one");
    options.name = PeerName::new("two").expect("good");
    let error = LinkHub::start(options).expect_err("it is another's");
    assert!(
        matches!(error, LinkError::Load(LoadError::OtherName { .. })),
        "{error}"
    );

    let options = ours.options("one");
    ours.expired("one");
    let error = LinkHub::start(options).expect_err("it has expired");
    assert!(
        matches!(error, LinkError::Load(LoadError::Expired { .. })),
        "{error}"
    );
}

#[tokio::test]
async fn sizes_are_checked_at_both_ends() {
    let authority = TestAuthority::new();
    let (one, two) = (authority.hub("one"), authority.hub("two"));
    acquaint(&one, &two);
    echo(&two);
    let huge = Bytes::from(vec![0; CHANNEL.max_message_bytes() + 1]);
    let sent = one.send("two", CHANNEL, huge.clone());
    assert!(matches!(sent, Err(LinkError::TooLarge { .. })));
    let called = one.call("two", CHANNEL, huge.clone(), CALL_TIMEOUT).await;
    assert!(matches!(called, Err(LinkError::TooLarge { .. })));

    // A peer that doesn't check what it sends.
    let request = CallRequest {
        channel: CHANNEL.wire().into(),
        payload: huge,
    };
    let slot = one.core.slot("two").expect("there is room");
    let deadline = TokioInstant::now() + WAIT_TIMEOUT;
    let (_, streams) = open_call(&slot, deadline).await.expect("a connection");
    let request = Bytes::from(request.encode_to_vec());
    let error = exchange(
        &slot.name,
        streams,
        request,
        CHANNEL,
        &AtomicBool::default(),
    )
    .await;
    assert!(
        matches!(
            error,
            Err(LinkError::Refused {
                refusal: CallRefusal::TooLarge,
                ..
            })
        ),
        "{error:?}"
    );
    let (_, streams) = open_call(&slot, deadline).await.expect("a connection");
    let endless = Bytes::from(vec![0; limits::MAX_STREAM_BYTES + 1]);
    let error = exchange(
        &slot.name,
        streams,
        endless,
        CHANNEL,
        &AtomicBool::default(),
    )
    .await;
    assert!(
        matches!(
            error,
            Err(LinkError::Refused {
                refusal: CallRefusal::TooLarge,
                ..
            })
        ),
        "{error:?}"
    );
    call(&one, "two").await.expect("the link goes on");
}

#[tokio::test]
async fn a_peer_over_its_rate_is_refused_and_others_are_not() {
    let authority = TestAuthority::new();
    let (one, two, three) = (
        authority.hub("one"),
        authority.hub("two"),
        authority.hub("three"),
    );
    acquaint(&one, &three);
    acquaint(&two, &three);
    echo(&three);
    let slot = three.core.slot("one").expect("there is room");
    let far = Instant::now() + WAIT_TIMEOUT;
    while slot.lock_meter().admit(far, CHANNEL, 1_000_000) {}
    let error = call(&one, "three").await;
    assert!(
        matches!(
            error,
            Err(LinkError::Refused {
                refusal: CallRefusal::TooFast,
                ..
            })
        ),
        "{error:?}"
    );
    call(&two, "three").await.expect("it has its own limit");
}

#[tokio::test]
async fn a_call_that_nobody_serves_or_answers_is_refused() {
    let authority = TestAuthority::new();
    let (one, two) = (authority.hub("one"), authority.hub("two"));
    acquaint(&one, &two);
    let error = call(&one, "two").await;
    assert!(
        matches!(
            error,
            Err(LinkError::Refused {
                refusal: CallRefusal::NotServed,
                ..
            })
        ),
        "{error:?}"
    );
    let mut calls = two.serve(CHANNEL);
    tokio::spawn(async move { drop(calls.recv().await) });
    let error = call(&one, "two").await;
    assert!(
        matches!(
            error,
            Err(LinkError::Refused {
                refusal: CallRefusal::Unanswered,
                ..
            })
        ),
        "{error:?}"
    );
}

/// Accepts streams, and passes them to the test.
async fn accept_stream(streams: &mut mpsc::Receiver<InboundStream>) -> LinkStream {
    let inbound = streams.recv().await.expect("the hub is open");
    assert_eq!(inbound.payload, Bytes::from_static(b"open"));
    let accepted = inbound.accept(Bytes::from_static(b"yes")).await;
    accepted.expect("the peer waits for it")
}

async fn open_stream(hub: &LinkHub, peer: &str) -> Result<(LinkStream, Bytes)> {
    let payload = Bytes::from_static(b"open");
    hub.open_stream(peer, CHANNEL, payload, CALL_TIMEOUT).await
}

/// A relayed answer without a length ends with its stream, so a cut must not look like an end.
#[tokio::test]
async fn the_end_of_a_stream_differs_from_its_loss() {
    let authority = TestAuthority::new();
    let (left, right) = (authority.hub("left"), authority.hub("right"));
    acquaint(&left, &right);
    let mut streams = right.serve_streams(CHANNEL);
    for is_finished in [true, false] {
        let (opened, accepted) = patiently(futures::future::join(
            open_stream(&left, "right"),
            accept_stream(&mut streams),
        ))
        .await;
        let (mut opened, answer) = opened.expect("it is accepted");
        assert_eq!(answer, Bytes::from_static(b"yes"));
        let mut accepted = accepted;
        accepted.write_all(b"bytes").await.expect("it is open");
        let mut bytes = [0; 5];
        patiently(opened.read_exact(&mut bytes))
            .await
            .expect("they come");
        assert_eq!(&bytes, b"bytes");
        if is_finished {
            accepted.shutdown().await.expect("it is open");
        }
        drop(accepted);
        let end = patiently(opened.read(&mut bytes)).await;
        assert_eq!(end.is_ok(), is_finished, "{end:?}");
    }
}

#[tokio::test]
async fn a_stream_that_nobody_serves_or_a_caller_abandons_ends() {
    let authority = TestAuthority::new();
    let (left, right) = (authority.hub("left"), authority.hub("right"));
    acquaint(&left, &right);
    let refused = patiently(open_stream(&left, "right")).await;
    assert!(
        matches!(
            &refused,
            Err(LinkError::Refused {
                refusal: CallRefusal::NotServed,
                ..
            })
        ),
        "{refused:?}"
    );
    let mut streams = right.serve_streams(CHANNEL);
    let (opened, mut accepted) = patiently(futures::future::join(
        open_stream(&left, "right"),
        accept_stream(&mut streams),
    ))
    .await;
    drop(opened);
    let mut byte = [0];
    assert!(patiently(accepted.read(&mut byte)).await.is_err());
    // Calls go on beside streams.
    echo(&right);
    assert!(patiently(call(&left, "right")).await.is_ok());
}

#[tokio::test]
async fn a_queue_for_an_unreachable_peer_is_bounded_by_class() {
    let authority = TestAuthority::new();
    let hub = authority.hub("one");
    for class in LinkClass::ALL {
        let bound = class.bound().messages;
        let full = (0..bound + 10).filter(|_| {
            let sent = hub.send_as("away", LinkChannel::Directory, class, "x".into());
            matches!(sent, Err(LinkError::QueueFull { .. }))
        });
        let full = full.count();
        let dropped = hub.metrics().counts(class).messages_dropped;
        assert_eq!(dropped, 10, "{class}");
        let refused = matches!(class, LinkClass::Replication | LinkClass::Notice);
        assert_eq!(full, if refused { 10 } else { 0 }, "{class}");
    }
}

#[tokio::test]
async fn what_waits_goes_out_once_the_address_is_known() {
    let authority = TestAuthority::new();
    let (one, two) = (authority.hub("one"), authority.hub("two"));
    let mut messages = two.subscribe(LinkChannel::Membership);
    one.send("two", LinkChannel::Membership, "late".into())
        .expect("there is room");
    until(|| {
        matches!(
            one.core.slot("two").expect("it is there").failure(),
            LinkError::UnknownPeer(_)
        )
    })
    .await;
    acquaint(&one, &two);
    let message = patiently(messages.recv()).await.expect("it arrives");
    assert_eq!(message.payload, "late");
}

#[tokio::test]
async fn a_restarted_peer_is_found_again() {
    let authority = TestAuthority::new();
    let one = authority.hub("one");
    let mut options = authority.options("two");
    let two = LinkHub::start(options.clone()).expect("it starts");
    acquaint(&one, &two);
    echo(&two);
    call(&one, "two").await.expect("an answer");
    options.address = two.address().expect("it is open");
    patiently(two.close()).await;
    drop(two);
    let two = patiently(async {
        loop {
            match LinkHub::start(options.clone()) {
                Ok(hub) => return hub,
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    })
    .await;
    echo(&two);
    patiently(async { while call(&one, "two").await.is_err() {} }).await;
}

#[tokio::test]
async fn new_certificates_and_a_second_authority_lose_no_call() {
    let (old, next) = (TestAuthority::new(), TestAuthority::new());
    let (one_options, two_options) = (old.options("one"), old.options("two"));
    let one = LinkHub::start(one_options.clone()).expect("it starts");
    let two = LinkHub::start(two_options.clone()).expect("it starts");
    acquaint(&one, &two);
    echo(&two);
    assert!(!one.reload().expect("good files"), "nothing has changed");
    let caller = one.clone();
    let calls = tokio::spawn(async move {
        let mut made = 0;
        while caller.core.identity.load().generation < 3 || made < 50 {
            call(&caller, "two").await.expect("no call is lost");
            made += 1;
        }
    });

    // First both ends believe both authorities, then each daemon takes a
    // certificate of the new one, then the old one is believed no more.
    let authority_file = |authority: &TestAuthority| {
        fs::read(authority.folder.path().join("authority.pem")).expect("it is there")
    };
    let (old_text, next_text) = (authority_file(&old), authority_file(&next));
    let bundle = [old_text, next_text.clone()].concat();
    fs::write(&one_options.files.authority, &bundle).expect("a file");
    assert!(one.reload().expect("good files"));
    assert!(two.reload().expect("good files"));
    for (hub, options) in [(&one, &one_options), (&two, &two_options)] {
        let fresh = next.options(hub.name().as_str()).files;
        fs::copy(fresh.key, &options.files.key).expect("a file");
        hub.reload()
            .expect_err("the key is there and the certificate is not");
        fs::copy(fresh.certificate, &options.files.certificate).expect("a file");
        assert!(hub.reload().expect("good files"));
    }
    fs::write(&one_options.files.authority, &next_text).expect("a file");
    assert!(two.reload().expect("good files"));
    assert!(one.reload().expect("good files"));
    patiently(calls).await.expect("no call is lost");
    until(|| {
        let slot = one.core.slot("two").expect("it is there");
        slot.current().is_some_and(|connection| {
            connection.origin == ConnectionOrigin::Dialled { generation: 3 }
        })
    })
    .await;
    call(&one, "two").await.expect("an answer");
}

/// Passes datagrams to one address and back, and can lose track of senders.
struct UdpRelay {
    address: SocketAddr,
    senders: Arc<Mutex<Vec<SocketAddr>>>,
    silenced: Arc<Mutex<Vec<SocketAddr>>>,
    is_cut: Arc<AtomicBool>,
}

impl UdpRelay {
    async fn start(target: SocketAddr) -> Self {
        let front = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a socket"));
        let relay = Self {
            address: front.local_addr().expect("it is open"),
            senders: Arc::default(),
            silenced: Arc::default(),
            is_cut: Arc::default(),
        };
        let (senders, silenced) = (Arc::clone(&relay.senders), Arc::clone(&relay.silenced));
        let is_cut = Arc::clone(&relay.is_cut);
        tokio::spawn(async move {
            let mut backs: FastMap<SocketAddr, Arc<UdpSocket>> = FastMap::default();
            let mut buffer = vec![0; 65_536];
            loop {
                let Ok((size, from)) = front.recv_from(&mut buffer).await else {
                    continue;
                };
                if let Entry::Vacant(vacancy) = backs.entry(from) {
                    let back = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a socket"));
                    back.connect(target).await.expect("an address");
                    senders.lock().expect("unpoisoned").push(from);
                    tokio::spawn(pass_back(
                        Arc::clone(&front),
                        Arc::clone(&back),
                        from,
                        Arc::clone(&silenced),
                        Arc::clone(&is_cut),
                    ));
                    vacancy.insert(back);
                }
                let is_dropped = is_cut.load(Ordering::Relaxed);
                if !is_dropped && !silenced.lock().expect("unpoisoned").contains(&from) {
                    let _ = backs[&from].send(&buffer[..size]).await;
                }
            }
        });
        relay
    }

    /// Drops everything from and to those that have sent so far, for good.
    fn silence(&self) {
        let senders = self.senders.lock().expect("unpoisoned").clone();
        *self.silenced.lock().expect("unpoisoned") = senders;
    }

    /// Drops everything, also from and to those that send later, or passes everything on.
    fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }
}

async fn pass_back(
    front: Arc<UdpSocket>,
    back: Arc<UdpSocket>,
    to: SocketAddr,
    silenced: Arc<Mutex<Vec<SocketAddr>>>,
    is_cut: Arc<AtomicBool>,
) {
    let mut buffer = vec![0; 65_536];
    loop {
        let Ok(size) = back.recv(&mut buffer).await else {
            continue;
        };
        let is_dropped = is_cut.load(Ordering::Relaxed);
        if !is_dropped && !silenced.lock().expect("unpoisoned").contains(&to) {
            let _ = front.send_to(&buffer[..size], to).await;
        }
    }
}

#[tokio::test]
async fn a_silent_connection_is_replaced_while_others_go_on() {
    let authority = TestAuthority::new();
    let (one, two, three) = (
        authority.hub("one"),
        authority.hub("two"),
        authority.hub("three"),
    );
    let relay = UdpRelay::start(two.address().expect("it is open")).await;
    one.addresses().set(two.name().clone(), relay.address);
    acquaint(&one, &three);
    echo(&two);
    echo(&three);
    let mut notices = two.subscribe(LinkChannel::Directory);
    call(&one, "two").await.expect("an answer");
    for round in 0..2_u8 {
        relay.silence();
        let notice = Bytes::from(vec![round]);
        one.send_as("two", LinkChannel::Directory, LinkClass::Notice, notice)
            .expect("there is room");
        call(&one, "three").await.expect("the other link goes on");
        patiently(async {
            while notices.recv().await.expect("the hub is open").payload[0] != round {}
        })
        .await;
        call(&one, "two")
            .await
            .expect("the fresh connection serves");
    }
    assert!(
        relay.senders.lock().expect("unpoisoned").len() >= 3,
        "each from a socket of its own"
    );
}

/// Guards against a peer that is taken for lost because it answers late, and the reverse.
#[tokio::test]
async fn a_call_tells_a_late_peer_from_one_that_acknowledges_nothing() {
    let authority = TestAuthority::new();
    let (one, two) = (authority.hub("one"), authority.hub("two"));
    let relay = UdpRelay::start(two.address().expect("it is open")).await;
    one.addresses().set(two.name().clone(), relay.address);
    echo(&two);
    call(&one, "two").await.expect("an answer");
    let mut unanswered = two.serve(CHANNEL);
    for is_cut in [false, true] {
        relay.set_cut(is_cut);
        let timeout = Duration::from_millis(300);
        let failed = one.call("two", CHANNEL, "hello".into(), timeout).await;
        match failed.expect_err("no answer") {
            LinkError::TimedOut { acknowledged, .. } => assert_eq!(acknowledged, !is_cut),
            other => panic!("{other:?}"),
        }
    }
    patiently(unanswered.recv()).await.expect("it has arrived");
}

/// Guards against a daemon that closes its links while a peer waits for its answer.
#[tokio::test]
async fn a_daemon_that_stops_waits_for_the_calls_that_it_serves() {
    let authority = TestAuthority::new();
    let (one, two) = (authority.hub("one"), authority.hub("two"));
    acquaint(&one, &two);
    let mut calls = two.serve(CHANNEL);
    let caller = one.clone();
    let called = tokio::spawn(async move { call(&caller, "two").await });
    let inbound = patiently(calls.recv()).await.expect("the hub is open");
    assert_eq!(two.finish_served(Duration::ZERO).await, 1);
    assert_eq!(one.finish_served(WAIT_TIMEOUT).await, 0, "it serves none");
    let payload = inbound.payload.clone();
    assert!(inbound.reply.answer(payload));
    assert_eq!(two.finish_served(WAIT_TIMEOUT).await, 0);
    let answer = called.await.expect("it ends");
    answer.expect("an answer");
}

/// Two hubs with the times of links between entries, one with an open stream to the other.
struct StreamTest {
    one: LinkHub,
    two: LinkHub,
    relay: UdpRelay,
    near: LinkStream,
    far: LinkStream,
}

impl StreamTest {
    async fn start() -> Self {
        let authority = TestAuthority::new();
        let hub = |name| {
            let timing = LinkTiming::occasional();
            let options = authority.options(name);
            LinkHub::start(LinkOptions { timing, ..options }).expect("it starts")
        };
        let (one, two) = (hub("one"), hub("two"));
        let relay = UdpRelay::start(two.address().expect("it is open")).await;
        one.addresses().set(two.name().clone(), relay.address);
        echo(&two);
        let mut streams = two.serve_streams(CHANNEL);
        let accepted = tokio::spawn(async move { accept_stream(&mut streams).await });
        let (near, _) = open_stream(&one, "two").await.expect("a stream");
        let far = accepted.await.expect("it is accepted");
        let mut test = Self {
            one,
            two,
            relay,
            near,
            far,
        };
        test.exchange().await;
        test
    }

    /// Sends some bytes in both directions of the stream.
    async fn exchange(&mut self) {
        send_bytes(&mut self.near, &mut self.far).await;
        send_bytes(&mut self.far, &mut self.near).await;
    }

    fn connection_of(hub: &LinkHub, peer: &str) -> Arc<LinkConnection> {
        let slot = hub.core.slot(peer).expect("it is there");
        slot.current().expect("it is open")
    }
}

async fn send_bytes(from: &mut LinkStream, to: &mut LinkStream) {
    let mut bytes = [0; 4];
    from.write_all(b"text").await.expect("it is open");
    to.read_exact(&mut bytes).await.expect("it is open");
    assert_eq!(&bytes, b"text");
}

/// Guards against a stream between two daemons that live, cut because one of them or the path
/// between them was silent for longer than a link without a stream is kept.
#[tokio::test]
async fn a_stream_outlives_a_silence_of_its_link() {
    let mut test = StreamTest::start().await;
    test.relay.set_cut(true);
    tokio::time::sleep(LinkTiming::occasional().idle_timeout * 2).await;
    test.relay.set_cut(false);
    patiently(test.exchange()).await;
    let answer = call(&test.one, "two").await;
    answer.expect("a connection serves");
}

/// Guards against calls that wait for a silent peer as long as a stream on the same link may.
#[tokio::test]
async fn a_call_does_not_wait_on_a_silent_link_that_a_stream_keeps_open() {
    let test = StreamTest::start().await;
    test.relay.set_cut(true);
    let failed = call(&test.one, "two").await;
    let failed = failed.expect_err("it is silent");
    assert!(matches!(failed, LinkError::Lost { .. }), "{failed:?}");
    assert!(test.one.connected_peers().is_empty());
    test.relay.set_cut(false);
    patiently(async { while call(&test.one, "two").await.is_err() {} }).await;
}

/// Guards against a stream that waits on a connection of which the path has lost track, while its
/// peer answers on another one.
#[tokio::test]
async fn a_stream_ends_when_its_peer_answers_on_another_connection_only() {
    let mut test = StreamTest::start().await;
    let connection = StreamTest::connection_of(&test.one, "two");
    test.relay.silence();
    let mut byte = [0];
    let read = patiently(test.near.read(&mut byte)).await;
    read.expect_err("the connection is lost");
    let reason = connection.quic.close_reason();
    let is_closed_here = matches!(reason, Some(quinn::ConnectionError::LocallyClosed));
    assert!(is_closed_here, "{reason:?}");
    patiently(call(&test.one, "two")).await.expect("an answer");
}

/// Guards against a link that stays open for a peer that is gone once its streams have ended.
#[tokio::test]
async fn a_silent_link_closes_with_its_last_stream() {
    let test = StreamTest::start().await;
    let connection = StreamTest::connection_of(&test.one, "two");
    test.relay.set_cut(true);
    tokio::time::sleep(LinkTiming::occasional().idle_timeout * 2).await;
    assert!(connection.is_open(), "its stream is in progress");
    drop(test.near);
    until(|| !connection.is_open()).await;
}

/// Guards against links that a daemon closes because it was suspended itself: what it has not read
/// meanwhile does not show that its peers were silent.
#[tokio::test]
async fn a_daemon_that_was_suspended_closes_no_link() {
    let test = StreamTest::start().await;
    let connection = StreamTest::connection_of(&test.one, "two");
    drop(test.near);
    drop(test.far);
    let before = Instant::now();
    connection.inspect(before);
    connection.inspect(before + LinkTiming::occasional().idle_timeout * 2);
    assert!(connection.is_open(), "closed at the first look");
    assert!(connection.is_usable());
}

/// Guards against a stream that is cut because another connection has replaced its own.
#[tokio::test]
async fn a_replaced_connection_closes_after_its_last_stream() {
    let test = StreamTest::start().await;
    let connection = StreamTest::connection_of(&test.one, "two");
    let now = Instant::now();
    connection.retire(now);
    let later = now + limits::RETIRE_LINGER * 2;
    connection.inspect(later);
    assert!(connection.is_open(), "its stream is in progress");
    drop(test.near);
    connection.inspect(later);
    assert!(!connection.is_open(), "nothing is in progress");
}

/// Guards against a stream that is cut because its peer has opened many connections since.
#[tokio::test]
async fn the_connection_of_a_stream_outlives_later_ones_without() {
    let mut test = StreamTest::start().await;
    let connection = StreamTest::connection_of(&test.one, "two");
    let core = &test.one.core;
    let slot = core.slot("two").expect("it is there");
    for _ in 0..=limits::MAX_CONNECTIONS_PER_PEER {
        let client = core.identity.load().client.clone();
        let address = test.two.address().expect("it is open");
        let dialled = core.endpoint.connect_with(client, address, "two");
        let quic = patiently(dialled.expect("a good name")).await;
        let origin = ConnectionOrigin::Dialled { generation: 0 };
        core.adopt(&slot, quic.expect("it accepts"), origin, None);
    }
    assert!(connection.is_open());
    patiently(test.exchange()).await;
}

#[tokio::test]
async fn two_that_dial_each_other_settle_on_one_connection() {
    let authority = TestAuthority::new();
    let (one, two) = (authority.hub("one"), authority.hub("two"));
    acquaint(&one, &two);
    acquaint(&two, &one);
    echo(&one);
    echo(&two);
    let (there, back) = tokio::join!(call(&one, "two"), call(&two, "one"));
    assert!(there.is_ok() && back.is_ok());
    let (first, second) = (one.core.slot("two"), two.core.slot("one"));
    let (first, second) = (first.expect("there"), second.expect("there"));
    until(|| {
        let (Some(first), Some(second)) = (first.current(), second.current()) else {
            return false;
        };
        first.is_dialled() != second.is_dialled()
    })
    .await;
}

fn by_address(last: u8, port: u16) -> LinkOptions {
    let address = std::net::SocketAddrV4::new([127, 0, 7, last].into(), port);
    LinkOptions::by_address(address, 1_000_000)
}

#[tokio::test]
async fn daemons_without_keys_know_each_other_by_their_addresses() {
    let first = UdpSocket::bind("127.0.7.1:0").await.expect("a free port");
    let port = first.local_addr().expect("an address").port();
    drop(first);
    let one = LinkHub::start(by_address(1, port)).expect("a hub");
    let two = LinkHub::start(by_address(2, port)).expect("a hub");
    let mut calls = two.serve(LinkChannel::Work);
    tokio::spawn(async move {
        while let Some(call) = calls.recv().await {
            let from = call.from.to_string();
            call.reply.answer(from.into());
        }
    });
    let time = Duration::from_secs(5);
    let answer = one.call("127-0-7-2", LinkChannel::Work, Bytes::new(), time);
    assert_eq!(&answer.await.expect("an answer")[..], b"127-0-7-1");
}

#[tokio::test]
async fn a_daemon_that_calls_itself_by_another_address_is_not_let_in() {
    let first = UdpSocket::bind("127.0.7.3:0").await.expect("a free port");
    let port = first.local_addr().expect("an address").port();
    drop(first);
    let one = LinkHub::start(by_address(3, port)).expect("a hub");
    let mut liar = by_address(4, port);
    liar.name = PeerName::from_ip([127, 0, 7, 9].into());
    let liar = LinkHub::start(liar).expect("a hub");
    let mut calls = one.serve(LinkChannel::Work);
    let time = Duration::from_millis(900);
    let call = liar.call("127-0-7-3", LinkChannel::Work, Bytes::new(), time);
    assert!(call.await.is_err());
    assert!(calls.try_recv().is_err());
}
