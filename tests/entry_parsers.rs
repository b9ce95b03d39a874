//! The parsers of the entry: no input causes a panic, and written values round-trip.

use {
    bytes::Bytes,
    greengagetrail::{
        config::Catalog,
        entry::{EventId, InferenceRequest, ServicePath, SseEvent, SseParser, Ticket, parse_load},
        peer::SharedKey,
        units::{Incarnation, RequestId},
    },
};

fn parse_in_chunks(stream: &[u8], sizes: &[u8]) -> Vec<SseEvent> {
    let mut parser = SseParser::default();
    let mut events = Vec::new();
    let mut rest = stream;
    let mut sizes = sizes.iter().cycle();
    while !rest.is_empty() {
        let size = sizes
            .next()
            .map_or(rest.len(), |size| usize::from(*size) + 1);
        let (chunk, after) = rest.split_at(size.min(rest.len()));
        rest = after;
        parser.push(Bytes::copy_from_slice(chunk)).unwrap();
        events.extend(std::iter::from_fn(|| parser.next_event()));
    }
    events
}

#[test]
fn events_are_independent_of_chunk_sizes() {
    bolero::check!()
        .with_type::<(Vec<u8>, Vec<u8>)>()
        .for_each(|(noise, sizes)| {
            let mut stream = b"id: a:1\ndata: {}\n\n: load x\n\n".to_vec();
            stream.extend_from_slice(noise);
            stream.extend_from_slice(b"\n\ndata:y\r\n\r\n");
            let whole = parse_in_chunks(&stream, &[]);
            assert_eq!(parse_in_chunks(&stream, sizes), whole);
            assert_eq!(whole[0].id.as_deref(), Some(&b"a:1"[..]));
            assert_eq!(whole[1].comment.as_deref(), Some(&b"load x"[..]));
            assert!(whole[1].raw.len() < 3, "comments are not relayed");
        });
}

#[test]
fn an_oversized_event_is_refused() {
    let mut parser = SseParser::default();
    let chunk = Bytes::from(vec![b'x'; 300_000]);
    let refused = (0..10).any(|_| parser.push(chunk.clone()).is_err());
    assert!(refused);
}

#[test]
fn event_ids_and_loads_round_trip() {
    bolero::check!()
        .with_type::<(String, u128, u64)>()
        .for_each(|(text, id, offset)| {
            let event = EventId {
                request: RequestId(*id),
                offset: *offset,
            };
            assert_eq!(event.to_string().parse(), Ok(event));
            if let Ok(read) = text.parse::<EventId>() {
                assert_eq!(read.to_string().parse(), Ok(read));
            }
            let _ = parse_load(text);
            let load = format!("waiting=1 running=2 kv_used_permille=3 incarnation={offset} new=x");
            assert_eq!(parse_load(&load).unwrap().incarnation, Incarnation(*offset));
        });
}

#[test]
fn only_unchanged_tickets_are_authentic() {
    let key = SharedKey::new(*b"0123456789abcdef");
    let service = "desk".parse().unwrap();
    let vm: greengagetrail::units::VmName = "vm.1".parse().unwrap();
    bolero::check!()
        .with_type::<(String, u64, u64, u16)>()
        .for_each(|(text, number, minted, flip)| {
            let ticket = Ticket::mint(&key, &service, vm.clone(), Incarnation(7), *number, *minted);
            let written = ticket.to_string();
            assert_eq!(written.parse().as_ref(), Ok(&ticket));
            assert!(ticket.is_authentic(&key, &service));
            assert!(!ticket.is_authentic(&key, &"pay".parse().unwrap()));
            let mut changed = written.clone().into_bytes();
            let position = usize::from(*flip) % changed.len();
            changed[position] ^= 1;
            if let Ok(forged) = String::from_utf8(changed).unwrap().parse::<Ticket>() {
                assert!(!forged.is_authentic(&key, &service));
            }
            if let Ok(guessed) = text.parse::<Ticket>() {
                assert!(!guessed.is_authentic(&key, &service));
            }
        });
}

#[test]
fn service_paths_and_bodies_never_panic() {
    bolero::check!()
        .with_type::<(String, Vec<u8>)>()
        .for_each(|(text, body)| {
            if let Ok(uri) = format!("/services/{text}").parse()
                && let Some(path) = ServicePath::read(&uri)
            {
                assert!(path.backend_path.starts_with('/'));
            }
            let body = Bytes::copy_from_slice(body);
            let class = Some(text.as_str());
            let catalog = Catalog::default();
            assert!(InferenceRequest::read(RequestId(1), "/", body, class, &catalog).is_err());
        });
}
