//! Conversion of forwarded calls and their replies to and from RPC messages.

use {
    super::{ForwardedCall, ForwardedHeader, ForwardedReply},
    crate::{
        peer::{PeerError, list_len},
        peer_capnp::{forward, header},
    },
    bytes::Bytes,
    capnp::struct_list,
};

/// Writes a forwarded call into an RPC message.
pub fn write_call(call: &ForwardedCall, mut to: forward::call_params::Builder<'_>) {
    to.set_request_id(call.request_id.to_string());
    to.set_ticket(&call.ticket);
    to.set_service(call.service.as_str());
    to.set_method(&call.method);
    to.set_path(&call.path);
    to.set_body(&call.body);
    let headers = to.init_headers(list_len(call.headers.len()));
    write_headers(&call.headers, headers);
}

/// Reads a forwarded call from an RPC message.
///
/// # Errors
///
/// Returns an error if a field is malformed.
pub fn read_call(from: forward::call_params::Reader<'_>) -> Result<ForwardedCall, PeerError> {
    Ok(ForwardedCall {
        request_id: from.get_request_id()?.to_str()?.parse()?,
        ticket: from.get_ticket()?.to_str()?.to_owned(),
        service: from.get_service()?.to_str()?.parse()?,
        method: from.get_method()?.to_str()?.to_owned(),
        path: from.get_path()?.to_str()?.to_owned(),
        headers: read_headers(from.get_headers()?)?,
        body: Bytes::copy_from_slice(from.get_body()?),
    })
}

/// Writes the reply to a forwarded call into an RPC message.
pub fn write_reply(reply: &ForwardedReply, mut to: forward::call_results::Builder<'_>) {
    to.set_status(reply.status);
    to.set_body(&reply.body);
    let headers = to.init_headers(list_len(reply.headers.len()));
    write_headers(&reply.headers, headers);
}

/// Reads the reply to a forwarded call from an RPC message.
///
/// # Errors
///
/// Returns an error if a field is malformed.
pub fn read_reply(from: forward::call_results::Reader<'_>) -> Result<ForwardedReply, PeerError> {
    Ok(ForwardedReply {
        status: from.get_status(),
        headers: read_headers(from.get_headers()?)?,
        body: Bytes::copy_from_slice(from.get_body()?),
    })
}

fn write_headers(headers: &[ForwardedHeader], mut to: struct_list::Builder<'_, header::Owned>) {
    for (position, header) in headers.iter().enumerate() {
        let mut to = to.reborrow().get(list_len(position));
        to.set_name(&header.name);
        to.set_value(&header.value);
    }
}

fn read_headers(
    from: struct_list::Reader<'_, header::Owned>,
) -> Result<Vec<ForwardedHeader>, PeerError> {
    from.iter()
        .map(|header| {
            Ok(ForwardedHeader {
                name: header.get_name()?.to_str()?.to_owned(),
                value: Bytes::copy_from_slice(header.get_value()?),
            })
        })
        .collect()
}
