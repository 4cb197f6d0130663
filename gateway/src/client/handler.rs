//! Handles the requests of all client connections: readiness checks, and valid requests, each of which gets
//! one final response.

use crate::client::connection_state::ConnectionState;
use crate::client::connection_table::ConnectionTable;
use crate::client::overload::MemoryOverload;
use crate::client::request::{ParsedRequest, RequestError, RequestParser};
use crate::client::response::{self, HttpResponse, Responder};
use crate::client::shutdown::Shutdown;
use crate::engine::Engine;
use crate::headers::READINESS_PATH;
use crate::request_ids::{IdReservation, RequestIds};
use hyper::Request;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use ryefront_policy::Settings;
use std::rc::Rc;

/// Handles the requests of all client connections.
pub(super) struct RequestHandler {
    parser: RequestParser,
    responder: Responder,
    connections: Rc<ConnectionTable>,
    overload: Rc<MemoryOverload>,
    shutdown: Rc<Shutdown>,
    request_ids: Rc<RequestIds>,
}

/// Whether a connection stays open for further requests after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Persistence {
    KeepAlive,
    Close,
}

/// A response, and whether the connection is closed after it.
struct HandledRequest {
    response: HttpResponse,
    persistence: Persistence,
}

impl RequestHandler {
    pub(super) fn new(
        engine: Rc<Engine>, settings: &Settings, connections: Rc<ConnectionTable>,
        overload: Rc<MemoryOverload>, shutdown: Rc<Shutdown>,
    ) -> Self {
        Self {
            parser: RequestParser::new(settings),
            responder: Responder::new(engine, shutdown.clone()),
            connections,
            overload,
            shutdown,
            request_ids: Rc::default(),
        }
    }

    /// Returns the response to a request.
    pub(super) async fn handle(
        &self, request: Request<Incoming>, connection: &ConnectionState,
    ) -> HttpResponse {
        let has_transfer_encoding = request.headers().contains_key(TRANSFER_ENCODING);
        let HandledRequest { mut response, persistence } = self.respond(request, connection).await;
        // A draining gateway closes connections so that clients move to another gateway; one at its limit on
        // connections closes them to make room for other clients.
        if persistence == Persistence::Close
            || has_transfer_encoding
            || self.shutdown.is_draining()
            || self.connections.is_full()
        {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        connection.record_response();
        response
    }

    async fn respond(&self, request: Request<Incoming>, connection: &ConnectionState) -> HandledRequest {
        if request.uri().path() == READINESS_PATH {
            let response = response::readiness(request.method(), self.shutdown.is_draining());
            return HandledRequest { response, persistence: Persistence::KeepAlive };
        }
        let has_body = !request.body().is_end_stream();
        let ReceivedRequest { request, id_reservation } = match self.receive(request, connection).await {
            Ok(received) => received,
            // Where the next request begins is not certain after an invalid one.
            Err(error) => {
                if has_body {
                    connection.record_early_response();
                }
                let response = response::invalid_request(error);
                return HandledRequest { response, persistence: Persistence::Close };
            }
        };
        connection.record_request();
        match self.respond_while_connected(request, id_reservation.clone(), connection).await {
            Some(response) => {
                id_reservation.record_response();
                HandledRequest { response, persistence: Persistence::KeepAlive }
            }
            None => {
                let response = response::client_disconnected();
                HandledRequest { response, persistence: Persistence::Close }
            }
        }
    }

    /// Reads and validates a request, and reserves its ID.
    async fn receive(
        &self, request: Request<Incoming>, connection: &ConnectionState,
    ) -> Result<ReceivedRequest, RequestError> {
        // If the length is ambiguous, another request could be hidden in the body (request smuggling).
        if request.headers().contains_key(TRANSFER_ENCODING)
            && !connection.is_chunked_without_length(&request)
        {
            return Err(RequestError::AmbiguousLength);
        }
        connection.release_head();
        let request = self.parser.parse(request, connection, &self.overload).await?;
        if self.overload.rejects_request() {
            return Err(RequestError::MemoryExceeded);
        }
        let id_reservation = self.request_ids.reserve(request.forwarded.request_id.as_bytes())?;
        Ok(ReceivedRequest { request, id_reservation })
    }

    /// Returns the final response, or `None` once the client has disconnected.
    ///
    /// The HTTP library does not detect a disconnect that follows unread bytes after the request, so the
    /// socket itself is monitored. It is also checked before the request is submitted: otherwise many
    /// requests of clients that disconnect at once would delay those of others until each disconnect is
    /// detected.
    async fn respond_while_connected(
        &self, request: ParsedRequest, id_reservation: IdReservation, connection: &ConnectionState,
    ) -> Option<HttpResponse> {
        let socket = connection.socket();
        let final_response = async {
            if socket.is_closed_by_peer().await {
                return None;
            }
            Some(self.responder.respond(request, id_reservation, socket.clone()).await)
        };
        tokio::select! {
            biased;
            () = socket.closed_by_peer() => None,
            response = final_response => response,
        }
    }
}

/// A valid request and the reservation of its ID.
struct ReceivedRequest {
    request: ParsedRequest,
    id_reservation: IdReservation,
}
