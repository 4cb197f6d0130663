//! Clients that leave while their request waits for something: whichever way they go, and also where what was waited
//! for comes in the same turn of the event loop, nothing of theirs goes on.

mod common;

use common::{
    Client, Do, Endpoint, Gateway, Late, Mood, Setup, World, full_line, list, ok, pause, request, row, until,
};
use ryefront_gateway::socket::Socket;
use std::net::Shutdown;
use std::rc::Rc;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;
use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};

const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
const LONG: u64 = 500_000;

/// How a client ends its connection.
#[derive(Clone, Copy, Debug)]
enum Way {
    Close,
    Reset,
    /// It ends its sending and goes on reading.
    HalfClose,
}

/// A request whose path no other client's has.
fn leaving() -> String {
    request("look", LONG, "", "").replace("/a%20b", "/leaves")
}

/// Every way of going, with what may stand behind the request, by turns before and after something else.
fn ways() -> Vec<(Way, String, bool)> {
    let mut ways = Vec::new();
    for (n, way) in [Way::Close, Way::Reset, Way::HalfClose].into_iter().enumerate() {
        let behind = [String::new(), "G".into(), leaving(), (0..99).map(|_| leaving()).collect()];
        ways.extend(behind.into_iter().enumerate().map(|(m, behind)| (way, behind, (n + m) % 2 == 0)));
    }
    ways
}

/// Ends a client's connection; one that goes on reading is handed back.
fn end(client: Client, way: Way) -> Option<Client> {
    let socket = socket2::SockRef::from(client.0.get_ref());
    match way {
        Way::Close => {}
        Way::Reset => socket.set_linger(Some(Duration::ZERO)).expect("set"),
        Way::HalfClose => socket.shutdown(Shutdown::Write).expect("shut"),
    }
    Some(client).filter(|_| matches!(way, Way::HalfClose))
}

/// The same, and waits until the other side's system knows.
async fn leave(client: Client, way: Way) -> Option<Client> {
    let stream = client.0.get_ref();
    let (from, at) = (stream.local_addr().expect("an address"), stream.peer_addr().expect("an address"));
    let kept = end(client, way);
    common::end_arrived(at, from, matches!(way, Way::Reset)).await;
    kept
}

#[tokio::test]
async fn a_socket_knows_that_its_peer_has_left() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    for (way, behind, _) in ways() {
        let peer =
            TcpStream::connect(listener.local_addr().expect("an address")).await.expect("a connection");
        let (stream, _) = listener.accept().await.expect("a connection");
        let (socket, mut peer) = (Socket(Rc::new(stream)), Client(BufReader::new(peer)));
        peer.write(&behind).await;
        assert!(!socket.has_left().await, "{way:?}, {} bytes behind", behind.len());
        let _kept = leave(peer, way).await;
        assert!(socket.has_left().await, "{way:?}, {} bytes behind", behind.len());
        common::soon("the same from the event loop", socket.left()).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn who_leaves_while_its_attempt_is_out_has_it_given_up() {
    let endpoint = Endpoint::start(&[Do::Hang, Do::Say(ok("x"))]).await;
    let setup = Setup::knowing(&[row("b", endpoint.at, "in_service")]).patient(200_000);
    let world = World::set(&setup, Mood::Adds).await;
    for (way, behind, _) in ways() {
        let closed = endpoint.closed();
        *endpoint.deeds.lock().expect("lock") = vec![Do::Hang, Do::Say(ok("x"))];
        let attempts = endpoint.attempts();
        let mut client = world.gateway.client().await;
        client.write(&(leaving() + &behind)).await;
        until("the attempt", || endpoint.attempts() == attempts + 1).await;
        let _kept = end(client, way);
        until("the end of the attempt's connection", || endpoint.closed() > closed).await;
        assert_eq!(world.gateway.client().await.ask(UP).await.status(), 200);
        assert_eq!(endpoint.attempts(), attempts + 1, "nothing more of that client went on: {way:?}");
    }
}

/// While the gateway stands still a client leaves and what its request waits for comes, in either order: the gateway
/// finds both in one turn.
async fn cross(
    gateway: &Gateway, client: Client, way: Way, leaves_first: bool, release: impl Future,
) -> Option<Client> {
    gateway.freeze();
    let kept = if leaves_first {
        let kept = leave(client, way).await;
        release.await;
        kept
    } else {
        release.await;
        leave(client, way).await
    };
    // What was written to the gateway has reached its machine by then.
    pause(50).await;
    gateway.thaw();
    kept
}

/// Waits until the gateway knows a list. It was told while the gateway stood still, whose call may have been over.
async fn is_known(world: &World, seq: u64, text: &str) {
    loop {
        world.discovery.taken_in().await;
        if world.discovery.asked.lock().expect("lock").contains(&format!("after={seq}&")) {
            return;
        }
        world.discovery.tell(text.to_owned());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn who_leaves_while_its_quota_is_asked_for_goes_nowhere() {
    for (way, behind, leaves_first) in ways() {
        let endpoint = Endpoint::start(&[Do::Say(ok("x"))]).await;
        let setup = Setup::knowing(&[row("b", endpoint.at, "in_service")]).patient(200_000);
        let world = World::set(&setup, Mood::Held).await;
        let mut client = world.gateway.client().await;
        client.write(&(leaving() + &behind)).await;
        until("the call", || world.counter.calls.load(SeqCst) > 0).await;
        let release = async { *world.counter.mood.lock().expect("lock") = Mood::Adds };
        let _kept = cross(&world.gateway, client, way, leaves_first, release).await;
        assert_eq!(world.gateway.client().await.ask(&request("look", LONG, "", "")).await.status(), 200);
        assert_eq!(endpoint.heard("leaves"), 0, "{way:?}, {} bytes behind, {leaves_first}", behind.len());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn who_leaves_while_no_endpoint_is_to_be_had_goes_nowhere() {
    let endpoint = Endpoint::start(&[Do::Say(ok("x"))]).await;
    let world = World::set(&Setup::knowing(&[]).patient(200_000), Mood::Adds).await;
    let text = |n, health| list(n, false, &[row("b", endpoint.at, health)]);
    for (n, (way, behind, leaves_first)) in ways().into_iter().enumerate() {
        let mut client = world.gateway.client().await;
        client.write(&(leaving() + &behind)).await;
        world.discovery.taken_in().await;
        assert_eq!(world.gateway.client().await.ask(UP).await.status(), 200);
        let (seq, there) = (2 * n as u64 + 2, text(2 * n as u64 + 2, "in_service"));
        let release = async { world.discovery.tell(there.clone()) };
        let _kept = cross(&world.gateway, client, way, leaves_first, release).await;
        is_known(&world, seq, &there).await;
        assert_eq!(world.gateway.client().await.ask(&request("look", LONG, "", "")).await.status(), 200);
        assert_eq!(endpoint.heard("leaves"), 0, "{way:?}, {} bytes behind, {leaves_first}", behind.len());
        world.discovery.tell(text(seq + 1, "terminating"));
        is_known(&world, seq + 1, &text(seq + 1, "terminating")).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn who_leaves_while_a_further_attempt_is_awaited_goes_nowhere() {
    let declined = "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n".to_owned();
    for (way, behind, leaves_first) in ways() {
        let full = Endpoint::start(&[Do::Say(declined.clone())]).await;
        let other = Endpoint::start(&[Do::Say(ok("x"))]).await;
        // Who turned a request away is left alone for minutes.
        let setup = Setup { cold: 10_000_000, ..Setup::knowing(&[row("b", full.at, "in_service")]) };
        let world = World::set(&setup.patient(200_000), Mood::Adds).await;
        let mut client = world.gateway.client().await;
        client.write(&(leaving() + &behind)).await;
        until("the attempt", || full.attempts() == 1).await;
        world.discovery.taken_in().await;
        assert_eq!(world.gateway.client().await.ask(UP).await.status(), 200);
        let text = list(2, false, &[row("other", other.at, "in_service")]);
        let release = async { world.discovery.tell(text.clone()) };
        let _kept = cross(&world.gateway, client, way, leaves_first, release).await;
        is_known(&world, 2, &text).await;
        assert_eq!(world.gateway.client().await.ask(&request("look", LONG, "", "")).await.status(), 200);
        assert_eq!(
            (full.attempts(), other.heard("leaves")),
            (1, 0),
            "{way:?}, {} bytes behind",
            behind.len()
        );
    }
}

/// A client leaves in the turn in which the connection comes up that its request waits for.
async fn leaves_as_a_connection_comes_up(way: Way, behind: String) {
    let (listener, line) = full_line().await;
    let at = listener.local_addr().expect("an address");
    let setup = Setup::knowing(&[row("b", at, "in_service")]);
    let world = World::set(&setup.patient(200_000), Mood::Adds).await;
    let mut client = world.gateway.client().await;
    // Of a tenant without a quota: no counter is asked.
    let text =
        leaving().replace("Api-Plan: p", "Api-Plan: free").replace("00000000b4d65521", "0000000000000001");
    client.write(&(text + &behind)).await;
    common::connecting(at).await;
    world.gateway.freeze();
    let late = Late::accept(listener, line);
    late.opened(1).await;
    let _kept = leave(client, way).await;
    world.gateway.thaw();
    assert_eq!(world.gateway.client().await.ask(UP).await.status(), 200);
    late.ended().await;
    assert_eq!(late.lines(), Vec::<String>::new(), "{way:?}, {} bytes behind", behind.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn who_leaves_as_its_connection_comes_up_goes_nowhere() {
    let all: Vec<_> = ways()
        .into_iter()
        .map(|(way, behind, _)| tokio::spawn(leaves_as_a_connection_comes_up(way, behind)))
        .collect();
    for one in all {
        one.await.expect("passed");
    }
}

// ---- Floods ----

/// Writes many requests at once, which are in the gateway's machine before it looks, and goes.
async fn flood(gateway: &Gateway, way: Way) -> Option<Client> {
    let mut client = gateway.client().await;
    client.write(&(0..300).map(|_| leaving()).collect::<String>()).await;
    leave(client, way).await
}

#[tokio::test(flavor = "multi_thread")]
async fn of_floods_whose_clients_are_gone_nothing_is_sent_on_and_nothing_stays() {
    let endpoint = Endpoint::start(&[Do::Say(ok("x"))]).await;
    let setup = Setup::knowing(&[row("b", endpoint.at, "in_service")]).patient(200_000);
    let world = World::set(&setup, Mood::Adds).await;
    let usual = || request("order", LONG, "", "b");
    assert_eq!(world.gateway.client().await.ask(&usual()).await.status(), 200);
    let mut after_rounds = Vec::new();
    for _ in 0..5 {
        let mut kept = Vec::new();
        world.gateway.freeze();
        for way in [Way::Close, Way::Reset, Way::HalfClose].into_iter().cycle().take(9) {
            kept.push(flood(&world.gateway, way).await);
        }
        world.gateway.thaw();
        // Others are served meanwhile, and hear of nobody else's requests.
        assert_eq!(world.gateway.client().await.ask(&usual()).await.status(), 200);
        drop(kept);
        until("the end of their connections", || world.gateway.descriptors() <= 20).await;
        after_rounds.push(world.gateway.memory_kib());
    }
    assert_eq!((endpoint.heard("leaves"), endpoint.attempts()), (0, 6));
    // Of the 1.9 MB that came after the first round little stays.
    assert!(after_rounds[4] < after_rounds[0] + 1000, "{after_rounds:?} KiB");
}

#[tokio::test(flavor = "multi_thread")]
async fn who_asks_again_at_once_after_each_refusal_keeps_nobody_out() {
    let endpoint = Endpoint::start(&[Do::Say(ok("x"))]).await;
    let setup = Setup { rate: 0.01, burst: 1.0, ..Setup::knowing(&[row("b", endpoint.at, "in_service")]) };
    let world = World::set(&setup.patient(200_000), Mood::Adds).await;
    let (mut eager, mut statuses) = (world.gateway.client().await, Vec::new());
    for n in 0..300 {
        statuses.push(eager.ask(&leaving()).await.status());
        if n % 30 == 0 {
            let other = request("look", LONG, "", "").replace("b4d65521", &format!("{n:08x}"));
            assert_eq!(world.gateway.client().await.ask(&other).await.status(), 200, "{n}");
        }
    }
    // Many at once are answered one by one, in their order, for as long as the client is there.
    eager.write(&(0..300).map(|_| leaving()).collect::<String>()).await;
    for _ in 0..300 {
        statuses.push(eager.read().await.status());
    }
    assert_eq!(statuses.iter().filter(|status| **status == 200).count(), 1);
    assert_eq!(
        (statuses.iter().filter(|status| **status == 429).count(), endpoint.heard("leaves")),
        (599, 1)
    );
}
