//! Where two events cross: each order is forced by the peers, which wait for one before they bring about the other.
//! Those of clients that leave are in `client_disconnect.rs`.

mod common;

use common::{
    Counter, Discovery, Do, Endpoint, Late, Mood, Setup, World, full_line, list, ok, request, row, until,
};
use std::net::SocketAddr;
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};
use tokio::net::{TcpSocket, TcpStream};

const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

// ---- The end ----

#[tokio::test(flavor = "multi_thread")]
async fn a_first_request_that_comes_after_idle_connections_are_closed_is_answered() {
    let endpoint = Endpoint::start(&[Do::Say(ok("x"))]).await;
    let mut world = World::with(&[&endpoint]).await;
    let mut idle = world.gateway.client().await;
    assert_eq!(idle.ask(UP).await.status(), 200);
    world.gateway.terminate();
    until("the drain", || true).await;
    // Connected while the gateway drains; its request is on its way when the idle ones are closed.
    let mut newcomer = world.gateway.client().await;
    idle.is_closed().await;
    let reply = newcomer.ask(&request("order", 900, "", "b")).await;
    assert_eq!((reply.status(), reply.headers["connection"].as_str()), (200, "close"));
    assert_eq!(world.gateway.ended().await.code(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn further_signals_do_not_cut_the_drain_short() {
    let endpoint = Endpoint::start(&[Do::SayLater(1500, ok("x"))]).await;
    let mut world = World::with(&[&endpoint]).await;
    let mut client = world.gateway.client().await;
    client.write(&request("order", 50_000, "", "b")).await;
    until("the attempt", || endpoint.attempts() == 1).await;
    world.gateway.terminate();
    world.gateway.drains().await;
    world.gateway.terminate();
    world.gateway.reconfigure(&[]).await;
    world.gateway.terminate();
    assert_eq!(client.read().await.body, b"x");
    assert_eq!(world.gateway.ended().await.code(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_nobody_has_read_yet_outlives_the_gateway() {
    let body = "y".repeat(60_000);
    let endpoint = Endpoint::start(&[Do::Say(ok(&body))]).await;
    let mut world = World::with(&[&endpoint]).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(2048).expect("a small buffer");
    let stream = socket.connect(world.gateway.at).await.expect("a connection");
    let mut client = common::Client(tokio::io::BufReader::new(stream));
    client.write(&request("order", 50_000, "", "b")).await;
    until("the attempt", || endpoint.attempts() == 1).await;
    world.gateway.terminate();
    assert_eq!(world.gateway.ended().await.code(), Some(0));
    assert_eq!(client.read().await.body, body.as_bytes());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_comes_as_its_connection_is_closed_is_answered_or_goes_nowhere() {
    for reason in ["nothing asked", "evicted", "the end"] {
        let endpoint = Endpoint::start(&[Do::Say(ok("x"))]).await;
        // Room for 11; from the sixth on an idle one is evicted for each that comes.
        let setup = Setup { sockets: 52, ..Setup::knowing(&[row("b", endpoint.at, "in_service")]) };
        let world = World::set(&setup.patient(200_000), Mood::Adds).await;
        let mut client = world.gateway.client().await;
        assert_eq!(client.ask(UP).await.status(), 200);
        let (answered, mut others) = (Instant::now(), Vec::new());
        if reason == "the end" {
            world.gateway.terminate();
        }
        world.gateway.freeze();
        if reason == "evicted" {
            for _ in 0..6 {
                others.push(world.gateway.client().await);
            }
        }
        // The request waits in the machine when the gateway finds that this connection is due.
        client.write(&request("order", 500_000, "", "b")).await;
        if reason != "evicted" {
            tokio::time::sleep_until((answered + Duration::from_secs(3)).into()).await;
        }
        world.gateway.thaw();
        // A client whose request was not read sends it once more elsewhere: then it must not have gone on.
        let reply = common::soon("an answer or the end", common::hear(&mut client.0)).await;
        let answered = reply.is_some_and(|reply| reply.body == b"x");
        assert_eq!(endpoint.attempts(), usize::from(answered), "{reason}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn who_connects_while_blocks_go_back_at_the_end_is_answered() {
    let endpoint = Endpoint::start(&[Do::Say(ok("x"))]).await;
    let setup = Setup { rate: 0.01, burst: 10.0, ..Setup::knowing(&[row("b", endpoint.at, "in_service")]) };
    loop {
        let mut world = World::set(&setup, Mood::Adds).await;
        let text = request("order", 50_000, "", "b");
        assert_eq!(world.gateway.client().await.ask(&text).await.status(), 200);
        let calls = world.counter.calls.load(SeqCst);
        world.gateway.terminate();
        until("a block that goes back", || world.counter.calls.load(SeqCst) > calls).await;
        world.gateway.freeze();
        let stream = TcpStream::connect(world.gateway.at).await;
        world.gateway.thaw();
        if let Ok(stream) = stream {
            let mut client = common::Client(tokio::io::BufReader::new(stream));
            let reply = client.ask(&request("order", 50_000, "", "b")).await;
            assert_eq!((reply.status(), reply.headers["connection"].as_str()), (200, "close"));
            assert_eq!(world.gateway.ended().await.code(), Some(0));
            let totals: f64 = world.counter.totals.lock().expect("lock").values().sum();
            return assert_eq!(totals, 2.0, "what is not spent has gone back");
        }
        // On a machine that was so slow that the time was over nothing was shown.
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_block_that_comes_after_the_others_went_back_serves_who_waits_for_it() {
    let endpoint = Endpoint::start(&[Do::Say(ok("x"))]).await;
    let setup = Setup { rate: 0.01, burst: 10.0, ..Setup::knowing(&[row("b", endpoint.at, "in_service")]) };
    let mut world = World::set(&setup.patient(200_000), Mood::Held).await;
    let mut client = world.gateway.client().await;
    client.write(&request("order", 500_000, "", "b")).await;
    until("the call", || world.counter.calls.load(SeqCst) == 1).await;
    world.gateway.terminate();
    common::soon("the listener's end", async {
        while TcpStream::connect(world.gateway.at).await.is_ok() {
            common::pause(20).await;
        }
    })
    .await;
    *world.counter.mood.lock().expect("lock") = Mood::Adds;
    assert_eq!(client.read().await.body, b"x");
    assert_eq!(world.gateway.ended().await.code(), Some(0));
    let added: f64 = world.counter.totals.lock().expect("lock").values().sum();
    assert!((1.0..=10.0).contains(&added), "{added}");
}

#[tokio::test(flavor = "multi_thread")]
async fn half_a_line_from_an_endpoint_and_all_signals_at_once_do_not_spoil_the_end() {
    for (half, status) in [("HTTP/1.1 200 OK\r\nContent-Le", 502), ("HTTP/1.1 200 OK\r\n\r\nhalf", 502)] {
        let endpoint = Endpoint::start(&[Do::SayAndThen(half.into(), 60_000, String::new())]).await;
        let setup = Setup::knowing(&[row("b", endpoint.at, "in_service")]).patient(200_000);
        let mut world = World::set(&setup, Mood::Adds).await;
        let mut client = world.gateway.client().await;
        client.write(&request("order", 500_000, "", "b")).await;
        until("the attempt", || endpoint.attempts() == 1).await;
        world.gateway.freeze();
        world.gateway.terminate();
        world.gateway.hang_up();
        world.gateway.terminate();
        world.gateway.thaw();
        let reply = client.read().await;
        assert_eq!(reply.status(), status);
        client.is_closed().await;
        assert_eq!(world.gateway.ended().await.code(), Some(0));
    }
}

// ---- Lists ----

#[tokio::test(flavor = "multi_thread")]
async fn discovery_that_was_silent_is_asked_often_and_without_waiting() {
    let endpoint = Endpoint::start(&[Do::SayLater(10_000, ok("x"))]).await;
    let mut setup = Setup::knowing(&[row("b", endpoint.at, "in_service")]);
    setup.edits = vec![(r#""rules":{"#, r#""rules":{"drain-grace-ms":1000,"#.into())];
    let world = World::set(&setup, Mood::Adds).await;
    let calls = || world.discovery.calls.load(SeqCst);
    // So many faults in a row that a doubled pause would be at its longest.
    until("calls", || calls() >= 6).await;
    assert!(world.discovery.asked.lock().expect("lock").contains("&wait_ms=0 "));
    let (before, mut busy) = (calls(), world.gateway.client().await);
    busy.write(&request("look", 50_000, "", "")).await;
    tokio::select! {
        biased;
        () = until("more calls", || calls() >= before + 8) => {}
        _ = busy.read() => panic!("only {} calls in 10 s", calls() - before),
    }
    // What the agent learnt meanwhile comes with the next, and then calls may wait for news.
    world.discovery.tell(list(2, true, &[row("b", endpoint.at, "terminating")]));
    world.discovery.taken_in().await;
    until("a call that waits", || {
        world.discovery.asked.lock().expect("lock").contains("after=2&wait_ms=333 ")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_list_that_cannot_be_read_is_told_once_also_after_other_faults() {
    let endpoint = Endpoint::start(&[Do::Say(ok("x"))]).await;
    let world = World::with(&[&endpoint]).await;
    until("a fault", || world.gateway.log_lines("discovery: silent") == 1).await;
    for (seq, text) in [(2, "{"), (3, r#"{"seq":3,"whole":true,"hosts":[{"host":"b","dial":"nowhere"}]}"#)] {
        world.discovery.tell(text.into());
        world.discovery.taken_in().await;
        until("a word of it", || world.gateway.log_lines("discovery: malformed") == 1).await;
        assert_eq!(
            world.gateway.client().await.ask(&request("order", 900, "", "b")).await.status(),
            200,
            "{seq}"
        );
    }
    assert!(world.discovery.asked.lock().expect("lock").contains("?after=1&"));
    assert_eq!(world.gateway.log_lines("discovery:"), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_longer_than_any_list_changes_nothing_and_of_two_entries_for_an_endpoint_the_last_counts() {
    let (old, new) =
        (Endpoint::start(&[Do::Say(ok("old"))]).await, Endpoint::start(&[Do::Say(ok("new"))]).await);
    let setup = Setup::knowing(&[row("b0", old.at, "in_service")]).patient(200_000);
    let world = World::set(&setup, Mood::Adds).await;
    // As long as it is said to be, and good JSON.
    world.discovery.tell(list(2, true, &[]) + &" ".repeat(17 << 20));
    world.discovery.taken_in().await;
    assert_eq!(world.gateway.client().await.ask(&request("order", 500_000, "", "b")).await.body, b"old");
    assert!(world.discovery.asked.lock().expect("lock").contains("after=1&"));
    let rows = [("b0", old.at, "terminating"), ("c", old.at, "in_service"), ("c", new.at, "in_service")];
    world.discovery.tell(list(3, true, &rows.map(|(name, at, health)| row(name, at, health))));
    world.discovery.taken_in().await;
    for _ in 0..5 {
        assert_eq!(world.gateway.client().await.ask(&request("order", 500_000, "", "b")).await.body, b"new");
    }
    assert_eq!((old.attempts(), new.attempts()), (1, 5));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_indented_list_whose_call_crosses_sighup_is_taken_from_the_new_place() {
    let (old, new) =
        (Endpoint::start(&[Do::Say(ok("old"))]).await, Endpoint::start(&[Do::Say(ok("new"))]).await);
    let mut world = World::with(&[&old]).await;
    until("a call", || world.discovery.calls.load(SeqCst) > 0).await;
    let discovery = Discovery::start().await;
    world.gateway.reconfigure(&[(world.discovery.at.to_string(), discovery.at.to_string())]).await;
    // The call that was out at the old place is answered only now, with what is wrong by now.
    world.discovery.tell(list(900, true, &[row("b0", old.at, "in_service")]));
    let text =
        list(1, true, &[row("n", new.at, "in_service")]).replace(',', ",\r\n\t ").replace('{', "{\n  ");
    discovery.tell(text);
    discovery.taken_in().await;
    assert_eq!(world.gateway.client().await.ask(&request("order", 900, "", "b")).await.body, b"new");
    assert!(discovery.asked.lock().expect("lock").contains("after=1&"));
}

// ---- Connections to endpoints ----

#[tokio::test(flavor = "multi_thread")]
async fn a_second_answer_that_comes_late_is_not_taken_for_that_of_the_next_request() {
    loop {
        let endpoint =
            Endpoint::start(&[Do::SayAndThen(ok("good"), 15, ok("bad")), Do::Say(ok("good"))]).await;
        let world = World::with(&[&endpoint]).await;
        let mut client = world.gateway.client().await;
        assert_eq!(client.ask(&request("order", 900, "", "b")).await.body, b"good");
        let answered = Instant::now();
        common::pause(8).await;
        assert_eq!(client.ask(&request("order", 900, "", "b")).await.body, b"good");
        // On a machine that was too slow to bring the two together nothing was shown.
        if answered.elapsed() < Duration::from_millis(15) {
            return assert_eq!((endpoint.attempts(), endpoint.opened()), (2, 2));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_without_an_end_are_given_up_and_the_client_hears_once() {
    let progress = "HTTP/1.1 102 Processing\r\n\r\n".to_owned();
    let endless = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx".to_owned();
    for (text, status) in [(progress, 504), (endless, 502)] {
        let endpoint = Endpoint::start(&[Do::Repeat(text)]).await;
        let world = World::with(&[&endpoint]).await;
        let mut client = world.gateway.client().await;
        assert_eq!(client.ask(&request("order", 900, "", "b")).await.status(), status);
        client.stays_quiet().await;
        until("the end of that connection", || endpoint.closed() == 1).await;
        assert_eq!(endpoint.attempts(), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_connection_whose_endpoint_drains_or_moved_meanwhile_carries_nothing() {
    let other = Endpoint::start(&[Do::Say(ok("other"))]).await;
    let away = |health| move |at, other| vec![row("b", at, health), row("other", other, "in_service")];
    let missing = |_, other| vec![row("other", other, "in_service")];
    let moved = |_, other| vec![row("b", other, "in_service")];
    type Rows<'a> = &'a dyn Fn(SocketAddr, SocketAddr) -> Vec<String>;
    for (whole, rows) in [
        (false, &away("terminating") as Rows),
        (false, &away("terminated")),
        (true, &missing),
        (true, &moved),
    ] {
        let (listener, line) = full_line().await;
        let at = listener.local_addr().expect("an address");
        let setup = Setup::knowing(&[row("b", at, "in_service")]).patient(200_000);
        let world = World::set(&setup, Mood::Adds).await;
        let mut client = world.gateway.client().await;
        client.write(&request("order", 500_000, "", "b")).await;
        common::connecting(at).await;
        world.discovery.taken_in().await;
        world.discovery.tell(list(2, whole, &rows(at, other.at)));
        world.discovery.taken_in().await;
        let late = Late::accept(listener, line);
        assert_eq!(client.read().await.body, b"other");
        late.ended().await;
        assert_eq!(late.lines(), Vec::<String>::new());
    }
    assert_eq!(other.attempts(), 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_comes_up_as_its_request_is_over_carries_nothing() {
    let (listener, line) = full_line().await;
    let at = listener.local_addr().expect("an address");
    let world = World::set(&Setup::knowing(&[row("b", at, "in_service")]).patient(200_000), Mood::Adds).await;
    let mut client = world.gateway.client().await;
    let asked = Instant::now();
    client.write(&request("order", 3000, "", "b")).await;
    common::connecting(at).await;
    world.gateway.freeze();
    let late = Late::accept(listener, line);
    late.opened(1).await;
    // Both are there when the gateway looks next: the connection, and the end of the request's time.
    tokio::time::sleep_until((asked + Duration::from_secs(4)).into()).await;
    world.gateway.thaw();
    assert_ne!(client.read().await.status(), 200);
    late.ended().await;
    assert_eq!(late.lines(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_connection_of_a_request_that_was_answered_elsewhere_carries_nothing() {
    let (listener, line) = full_line().await;
    let at = listener.local_addr().expect("an address");
    let other = Endpoint::start(&[Do::Say(ok("other"))]).await;
    let mut setup = Setup::knowing(&[row("b", at, "in_service")]).patient(200_000);
    setup.edits.push((r#""dial-timeout-ms":200000"#, r#""dial-timeout-ms":2000"#.into()));
    let world = World::set(&setup, Mood::Adds).await;
    let mut client = world.gateway.client().await;
    client.write(&request("order", 500_000, "", "b")).await;
    common::connecting(at).await;
    world.discovery.taken_in().await;
    world.discovery.tell(list(2, false, &[row("other", other.at, "in_service")]));
    assert_eq!(client.read().await.body, b"other");
    // One of this test's own comes up last: none of the gateway's before it carried anything.
    let late = Late::accept(listener, line);
    drop(TcpStream::connect(at).await.expect("a connection"));
    late.opened(1).await;
    late.ended().await;
    assert_eq!((late.lines(), other.attempts()), (Vec::new(), 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn only_an_answer_that_came_whole_is_passed_on() {
    let to_the_end = "HTTP/1.1 200 OK\r\n\r\n";
    let sized = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n";
    let ahead = "HTTP/1.1 102 Processing\r\n\r\n";
    // Where no length is given a clean end is the only one; where one is, what comes behind it matters no more.
    let cases = [
        (true, false, to_the_end.to_owned() + "whole"),
        (false, true, to_the_end.to_owned() + "whole"),
        (false, true, to_the_end.to_owned()),
        (true, false, sized.to_owned() + "whole"),
        (true, true, sized.to_owned() + "whole"),
        (false, false, sized.to_owned() + "whol"),
        (false, true, sized.to_owned() + "whol"),
        (false, false, sized.to_owned()),
        (true, false, chunked.to_owned() + "0\r\n\r\n"),
        (false, false, chunked.to_owned()),
        (false, true, chunked.to_owned() + "0\r\n\r"),
        (false, false, ahead.to_owned()),
        (false, true, ahead.to_owned()),
        (false, true, ahead.to_owned() + sized + "whol"),
    ];
    for (whole, reset, text) in cases {
        let cut = if reset { Do::SayAndReset(text.clone()) } else { Do::SayAndClose(text.clone()) };
        let endpoint = Endpoint::start(&[cut.clone(), cut, Do::Say(ok("again"))]).await;
        let setup = Setup::knowing(&[row("b", endpoint.at, "in_service")]).patient(200_000);
        let world = World::set(&setup, Mood::Adds).await;
        let mut client = world.gateway.client().await;
        let reply = client.ask(&request("order", 50_000, "", "b")).await;
        assert_eq!(
            (reply.status(), reply.body == b"whole"),
            (if whole { 200 } else { 502 }, whole),
            "{text}"
        );
        // What may be sent once more is, and its client gets the answer that came whole.
        let expected: &[u8] = if whole { b"whole" } else { b"again" };
        assert_eq!(client.ask(&request("look", 50_000, "", "")).await.body, expected, "{text}, {reset}");
        client.stays_quiet().await;
        assert_eq!(endpoint.attempts(), if whole { 2 } else { 3 }, "{text}, {reset}");
    }
}

// ---- Hand-overs ----

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_is_out_when_the_counter_moves_gets_its_answer_from_the_old_place() {
    let endpoint = Endpoint::start(&[Do::Say(ok("x"))]).await;
    let setup = Setup { burst: 8.0, rate: 0.001, ..Setup::knowing(&[row("b", endpoint.at, "in_service")]) };
    let mut world = World::set(&setup.patient(200_000), Mood::Held).await;
    let mut early = world.gateway.client().await;
    early.write(&request("order", 50_000, "", "b")).await;
    until("the call", || world.counter.calls.load(SeqCst) == 1).await;
    let counter = Counter::start(Mood::Adds).await;
    world.gateway.reconfigure(&[(world.counter.at.to_string(), counter.at.to_string())]).await;
    // Another of the same tenant while the call is out: it waits for the same answer, and nothing is added twice.
    let mut late = world.gateway.client().await;
    late.write(&request("order", 50_000, "", "b")).await;
    assert_eq!(world.gateway.client().await.ask(UP).await.status(), 200);
    assert_eq!((counter.calls.load(SeqCst), endpoint.attempts()), (0, 0));
    *world.counter.mood.lock().expect("lock") = Mood::Adds;
    assert_eq!((early.read().await.status(), late.read().await.status()), (200, 200));
    let added: f64 = world.counter.totals.lock().expect("lock").values().sum();
    assert!((1.0..=8.0).contains(&added), "{added}");
    assert_eq!(world.counter.calls.load(SeqCst), 1);
}

// ---- Settings ----

#[tokio::test(flavor = "multi_thread")]
async fn names_of_classes_and_plans_may_need_care_on_the_wire() {
    let endpoint = Endpoint::start(&[Do::Say(ok("x"))]).await;
    let mut setup = Setup::knowing(&[row("b", endpoint.at, "in_service")]);
    setup.edits = vec![
        (r#""name":"order""#, r#""name":"ord\u00e9r 50%\/b""#.into()),
        (r#""name":"p""#, r#""name":"gro\u00df & co""#.into()),
    ];
    let world = World::set(&setup, Mood::Adds).await;
    let mut client = world.gateway.client().await;
    for path in ["/ord%C3%A9r%2050%25%2fb", "/ord%c3%a9r%2050%25%2Fb"] {
        let text =
            request("order", 900, "", "b").replace("/order", path).replace("Plan: p", "Plan: groß & co");
        assert_eq!(client.ask(&text).await.status(), 200);
    }
    for wrong in ["/order", "/ord%C3%A9r%2050%25", "/ord%C3%A9r%2050%2fb", "/ord%C3%A9r%2050%25/b"] {
        let text =
            request("order", 900, "", "b").replace("/order", wrong).replace("Plan: p", "Plan: groß & co");
        assert_eq!(world.gateway.client().await.ask(&text).await.status(), 400, "{wrong}");
    }
    let heard = endpoint.heard.lock().expect("lock");
    assert_eq!(heard.len(), 2);
    assert!(heard[0].line.starts_with("POST /ord%C3%A9r%2050%25%2fb/a%20b?c=d "), "{}", heard[0].line);
}

#[tokio::test(flavor = "multi_thread")]
async fn where_advice_is_not_allowed_a_refusal_carries_none() {
    let endpoint = Endpoint::start(&[Do::Say(ok("x"))]).await;
    let mut setup =
        Setup { burst: 1.0, rate: 0.01, ..Setup::knowing(&[row("b", endpoint.at, "in_service")]) };
    for (more, advised) in [("", true), (r#","retry-after":true"#, true), (r#","retry-after":false"#, false)]
    {
        setup.edits = vec![(r#""most-tries":6"#, format!(r#""most-tries":6{more}"#))];
        let world = World::set(&setup, Mood::Adds).await;
        let mut client = world.gateway.client().await;
        assert_eq!(client.ask(&request("order", 900, "", "b")).await.status(), 200);
        let reply = client.ask(&request("order", 900, "", "b")).await;
        assert_eq!((reply.status(), reply.headers.contains_key("retry-after")), (429, advised), "{more}");
    }
}
