//! Messages between processes: written messages are read back unchanged, and malformed ones cause
//! no panic.

use {
    capnp::{
        message::{Builder, ReaderOptions},
        serialize,
    },
    greengagetrail::{
        config::{Digest, Head},
        engine::{EngineStatus, ModelResident, Order, OrderReply},
        entry::{ForwardedCall, ForwardedHeader, read_call, read_reply, write_call},
        fleet::{AuditRecord, Demand, Move, MoveChange, RunnerRecord, RunnerState},
        membership::Member,
        peer::{
            read_addresses, read_demands, read_head, read_members, read_moves, read_runner,
            read_runners, write_demand, write_head, write_move, write_runner,
        },
        peer_capnp::{
            entry_link::{report_params, runners_results},
            forward::{call_params, call_results},
            head,
            peer::propose_params,
            runner_state,
        },
        standin::engine::RequestBody,
        units::{Epoch, Incarnation, PublishId, RequestId, Revision},
    },
};

fn state(models: &[u8]) -> RunnerState {
    let resident = |number: &u8| ModelResident {
        model: format!("model-{number}").parse().unwrap(),
        version: number.to_string(),
        ready: number.is_multiple_of(2),
    };
    RunnerState {
        name: "runner".parse().unwrap(),
        epoch: Epoch(models.len() as u64),
        incarnation: Incarnation(7),
        leaving: models.len().is_multiple_of(2),
        reachable: models.len().is_multiple_of(3),
        models: models.iter().map(resident).collect(),
        adapters: vec!["adapter".parse().unwrap()],
    }
}

#[test]
fn states_heads_demands_and_moves_are_read_back() {
    bolero::check!()
        .with_type::<(Vec<u8>, u64, String, u32)>()
        .for_each(|(models, revision, author, count)| {
            let mut message = Builder::new_default();
            let known = state(models);
            write_runner(&known, message.init_root());
            let read = read_runner(message.get_root_as_reader().unwrap()).unwrap();
            assert_eq!(read, known);

            let known = Head {
                revision: Revision(revision.saturating_add(1)),
                digest: Digest::of(author.as_bytes()),
                publish_id: PublishId(u128::from(*revision)),
                author: author.clone(),
                message: author.clone(),
                published_at_ms: *revision,
            };
            let mut message = Builder::new_default();
            write_head(&known, message.init_root());
            let read = read_head(message.get_root_as_reader().unwrap()).unwrap();
            assert_eq!(read, Some(known));

            let known = Demand {
                model: "model".parse().unwrap(),
                adapter: count.is_multiple_of(2).then(|| "adapter".parse().unwrap()),
                requests: *count,
                tokens: count.wrapping_mul(7),
                late: count / 2,
                refused: count / 3,
            };
            let mut message = Builder::new_default();
            let params = message.init_root::<report_params::Builder<'_>>();
            write_demand(&known, params.init_demand(1).get(0));
            let params: report_params::Reader<'_> = message.get_root_as_reader().unwrap();
            assert_eq!(read_demands(params.get_demand().unwrap()).unwrap(), [known]);
        });
    let changes = [
        MoveChange::Load("m".parse().unwrap()),
        MoveChange::Unload("m".parse().unwrap()),
        MoveChange::LoadAdapter("a".parse().unwrap()),
        MoveChange::UnloadAdapter("a".parse().unwrap()),
    ];
    for change in changes {
        let known = Move {
            runner: "runner".parse().unwrap(),
            change,
            urgent: true,
        };
        let mut message = Builder::new_default();
        let params = message.init_root::<propose_params::Builder<'_>>();
        write_move(&known, params.init_moves(1).get(0));
        let params: propose_params::Reader<'_> = message.get_root_as_reader().unwrap();
        assert_eq!(read_moves(params.get_moves().unwrap()).unwrap(), [known]);
    }
}

/// Reads a message as every type that a process receives; fails only by a panic.
fn read_as_every_message(bytes: &[u8]) {
    let mut limits = ReaderOptions::new();
    limits.traversal_limit_in_words(Some(64 * 1024));
    let Ok(message) = serialize::read_message(bytes, limits) else {
        return;
    };
    if let Ok(root) = message.get_root::<head::Reader<'_>>() {
        let _ = read_head(root);
    }
    if let Ok(root) = message.get_root::<runner_state::Reader<'_>>() {
        let _ = read_runner(root);
    }
    if let Ok(root) = message.get_root::<report_params::Reader<'_>>() {
        let _ = root.get_demand().map(read_demands);
    }
    if let Ok(root) = message.get_root::<call_params::Reader<'_>>() {
        let _ = read_call(root);
    }
    if let Ok(root) = message.get_root::<call_results::Reader<'_>>() {
        let _ = read_reply(root);
    }
    if let Ok(root) = message.get_root::<propose_params::Reader<'_>>() {
        let _ = root.get_moves().map(read_moves);
    }
    if let Ok(root) = message.get_root::<runners_results::Reader<'_>>() {
        let _ = root.get_runners().map(read_runners);
        let _ = root.get_leaving().map(read_addresses);
        let _: Option<Vec<Member>> = root.get_members().ok().and_then(|it| read_members(it).ok());
    }
}

#[test]
fn arbitrary_bytes_cause_no_panic() {
    bolero::check!().for_each(|bytes: &[u8]| read_as_every_message(bytes));
}

#[test]
fn a_changed_byte_or_a_truncation_causes_no_panic() {
    let mut message = Builder::new_default();
    write_runner(&state(&[1, 2, 3, 4, 5]), message.init_root());
    let valid = serialize::write_message_to_words(&message);
    bolero::check!()
        .with_type::<(u16, u8, u16)>()
        .for_each(|(position, flip, end)| {
            let mut bytes = valid.clone();
            let position = usize::from(*position) % bytes.len();
            bytes[position] ^= flip;
            read_as_every_message(&bytes);
            bytes.truncate(usize::from(*end) % (bytes.len() + 1));
            read_as_every_message(&bytes);
        });
}

#[test]
fn forwarded_calls_are_read_back() {
    bolero::check!()
        .with_type::<(String, Vec<u8>, u128)>()
        .for_each(|(text, bytes, id)| {
            let known = ForwardedCall {
                request_id: RequestId(*id),
                ticket: text.clone(),
                service: "desk".parse().unwrap(),
                method: "POST".to_owned(),
                path: text.clone(),
                headers: vec![ForwardedHeader {
                    name: text.clone(),
                    value: bytes.clone().into(),
                }],
                body: bytes.clone().into(),
            };
            let mut message = Builder::new_default();
            write_call(&known, message.init_root());
            let read = read_call(message.get_root_as_reader().unwrap()).unwrap();
            assert_eq!(read, known);
        });
}

/// Reads text as every JSON message that is received from outside; fails only by a panic.
fn read_as_json(text: &[u8]) {
    let _ = serde_json::from_slice::<EngineStatus>(text);
    let _ = serde_json::from_slice::<Order>(text);
    let _ = serde_json::from_slice::<OrderReply>(text);
    let _ = serde_json::from_slice::<Member>(text);
    let _ = serde_json::from_slice::<Head>(text);
    let _ = serde_json::from_slice::<Vec<AuditRecord>>(text);
    if let Ok(record) = serde_json::from_slice::<RunnerRecord>(text) {
        let _ = RunnerState::from(&record);
    }
    if let Ok(body) = serde_json::from_slice::<RequestBody>(text) {
        let _ = body.to_generate(&hyper::HeaderMap::new());
    }
}

#[test]
fn malformed_json_causes_no_panic() {
    let record = RunnerRecord::new("runner".parse().unwrap());
    let chat = br#"{"model":"m","messages":[{"role":"user","content":[{"text":"a"}]}]}"#;
    let valid = [serde_json::to_vec(&record).unwrap(), chat.to_vec()];
    bolero::check!()
        .with_type::<(bool, u16, u8, u16)>()
        .for_each(|(which, position, flip, end)| {
            let mut text = valid[usize::from(*which)].clone();
            let position = usize::from(*position) % text.len();
            text[position] ^= flip;
            read_as_json(&text);
            text.truncate(usize::from(*end) % (text.len() + 1));
            read_as_json(&text);
        });
    bolero::check!().for_each(|bytes: &[u8]| read_as_json(bytes));
}
