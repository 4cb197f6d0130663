//! The server for clients: combines the listener, the connections, the request handler and the shutdown.

use crate::client::connection;
use crate::client::connection_state::ConnectionState;
use crate::client::connection_table::ConnectionTable;
use crate::client::handler::RequestHandler;
use crate::client::listener::ClientListener;
use crate::client::overload::MemoryOverload;
use crate::client::shutdown::Shutdown;
use crate::client::shutdown_schedule::ShutdownSchedule;
use crate::engine::Engine;
use crate::memory::MemoryMonitor;
use crate::socket::{SharedStream, disable_nagle};
use crate::task::spawn;
use ryefront_policy::Settings;
use std::pin::pin;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

/// The client side of one gateway.
pub struct Server {
    engine: Rc<Engine>,
    handler: RequestHandler,
    connections: Rc<ConnectionTable>,
    overload: Rc<MemoryOverload>,
    shutdown: Rc<Shutdown>,
}

impl Server {
    /// Creates a server with at most `max_connections` client connections at a time, which rejects requests
    /// when `memory` is exceeded and shuts down by `schedule`.
    pub fn new(
        engine: Rc<Engine>, settings: &Settings, max_connections: usize, memory: Rc<MemoryMonitor>,
        schedule: ShutdownSchedule,
    ) -> Rc<Self> {
        let connections = Rc::new(ConnectionTable::new(max_connections));
        let overload = MemoryOverload::new(memory, connections.clone());
        let shutdown = Rc::new(Shutdown::new(schedule));
        let handler = RequestHandler::new(
            engine.clone(),
            settings,
            connections.clone(),
            overload.clone(),
            shutdown.clone(),
        );
        Rc::new(Self { engine, handler, connections, overload, shutdown })
    }

    /// Serves clients until `terminated` resolves, then shuts down gracefully. Returns when the last
    /// connection has ended or has timed out.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, terminated: impl Future<Output = ()>) {
        let listener = ClientListener::new(listener, self.connections.clone());
        let mut stop_accepting = pin!(async {
            terminated.await;
            self.shutdown.drain_while_accepting(&self.engine).await
        });
        let shutdown_began_at = loop {
            tokio::select! {
                began_at = stop_accepting.as_mut() => break began_at,
                stream = listener.accept() => self.serve_connection(stream),
            }
        };
        self.shutdown.drain_accept_queue(listener, |stream| self.serve_connection(stream)).await;
        self.shutdown.close_all_connections(&self.engine, &self.connections, shutdown_began_at).await;
    }

    fn serve_connection(self: &Rc<Self>, stream: TcpStream) {
        disable_nagle(&stream);
        let state = Rc::new(ConnectionState::new(SharedStream::new(stream)));
        self.connections.add(state.clone());
        let close_signal = self.shutdown.close_signal();
        let server = self.clone();
        spawn(async move {
            let handle = |request| server.handler.handle(request, &state);
            connection::serve(&state, server.overload.clone(), close_signal, handle).await;
            server.connections.remove(&state);
        });
    }
}
