//! Conversions between capnp messages and the types of this crate.

use {
    super::PeerError,
    crate::{
        config::Head,
        engine::ModelResident,
        fleet::{Demand, Move, MoveChange, RunnerState},
        membership::Member,
        peer_capnp::{demand, head, member, move_, runner_state},
        units::{Epoch, Incarnation, Revision},
    },
    capnp::{struct_list, text_list},
    std::{net::SocketAddr, str::FromStr},
};

fn parse<T: FromStr>(text: capnp::text::Reader<'_>) -> Result<T, PeerError>
where
    PeerError: From<T::Err>,
{
    Ok(text.to_str()?.parse()?)
}

fn parse_string(text: capnp::text::Reader<'_>) -> Result<String, PeerError> {
    Ok(text.to_str()?.to_owned())
}

/// Converts a list length to the type that capnp uses.
///
/// # Panics
///
/// Panics when the list has more than `u32::MAX` elements.
pub fn list_len(count: usize) -> u32 {
    u32::try_from(count).expect("a list in a message has fewer than 2^32 elements")
}

/// Writes a head.
pub fn write_head(head: &Head, mut to: head::Builder<'_>) {
    to.set_revision(head.revision.0);
    to.set_digest(head.digest.to_string());
    to.set_publish_id(head.publish_id.to_string());
    to.set_author(&head.author);
    to.set_message(&head.message);
    to.set_published_at_ms(head.published_at_ms);
}

/// Reads a head; returns `None` for revision 0, which stands for no head.
///
/// # Errors
///
/// Fails on a malformed field.
pub fn read_head(from: head::Reader<'_>) -> Result<Option<Head>, PeerError> {
    if from.get_revision() == 0 {
        return Ok(None);
    }
    Ok(Some(Head {
        revision: Revision(from.get_revision()),
        digest: parse(from.get_digest()?)?,
        publish_id: parse(from.get_publish_id()?)?,
        author: parse_string(from.get_author()?)?,
        message: parse_string(from.get_message()?)?,
        published_at_ms: from.get_published_at_ms(),
    }))
}

/// Writes the state of a runner.
pub fn write_runner(state: &RunnerState, mut to: runner_state::Builder<'_>) {
    to.set_name(state.name.as_str());
    to.set_epoch(state.epoch.0);
    to.set_incarnation(state.incarnation.0);
    to.set_leaving(state.leaving);
    to.set_reachable(state.reachable);
    let mut models = to.reborrow().init_models(list_len(state.models.len()));
    for (index, model) in (0..).zip(&state.models) {
        let mut slot = models.reborrow().get(index);
        slot.set_model(model.model.as_str());
        slot.set_version(&model.version);
        slot.set_ready(model.ready);
    }
    let mut adapters = to.init_adapters(list_len(state.adapters.len()));
    for (index, adapter) in (0..).zip(&state.adapters) {
        adapters.set(index, adapter.as_str());
    }
}

/// Reads the state of a runner.
///
/// # Errors
///
/// Fails on a malformed field.
pub fn read_runner(from: runner_state::Reader<'_>) -> Result<RunnerState, PeerError> {
    let mut models = Vec::new();
    for model in from.get_models()? {
        models.push(ModelResident {
            model: parse(model.get_model()?)?,
            version: parse_string(model.get_version()?)?,
            ready: model.get_ready(),
        });
    }
    let mut adapters = Vec::new();
    for adapter in from.get_adapters()? {
        adapters.push(parse(adapter?)?);
    }
    Ok(RunnerState {
        name: parse(from.get_name()?)?,
        epoch: Epoch(from.get_epoch()),
        incarnation: Incarnation(from.get_incarnation()),
        leaving: from.get_leaving(),
        reachable: from.get_reachable(),
        models,
        adapters,
    })
}

/// Reads the states of several runners.
///
/// # Errors
///
/// Fails on a malformed field.
pub fn read_runners(
    from: struct_list::Reader<'_, runner_state::Owned>,
) -> Result<Vec<RunnerState>, PeerError> {
    from.iter().map(read_runner).collect()
}

/// Writes a member.
pub fn write_member(member: &Member, mut to: member::Builder<'_>) {
    to.set_vm(member.vm.as_str());
    to.set_data_centre(member.data_centre.as_str());
    to.set_address(member.address.to_string());
    to.set_entry_address(member.entry_address.to_string());
    to.set_incarnation(member.incarnation.0);
}

/// Reads members.
///
/// # Errors
///
/// Fails on a malformed field.
pub fn read_members(
    from: struct_list::Reader<'_, member::Owned>,
) -> Result<Vec<Member>, PeerError> {
    from.iter().map(read_member).collect()
}

fn read_member(from: member::Reader<'_>) -> Result<Member, PeerError> {
    let address = |text: capnp::text::Reader<'_>| -> Result<_, PeerError> {
        let parsed = text.to_str()?.parse();
        parsed.map_err(|_| capnp::Error::failed("a member's address is malformed".into()).into())
    };
    Ok(Member {
        vm: parse(from.get_vm()?)?,
        data_centre: parse(from.get_data_centre()?)?,
        address: address(from.get_address()?)?,
        entry_address: address(from.get_entry_address()?)?,
        incarnation: Incarnation(from.get_incarnation()),
    })
}

/// Writes a demand count.
pub fn write_demand(demand: &Demand, mut to: demand::Builder<'_>) {
    to.set_model(demand.model.as_str());
    if let Some(adapter) = &demand.adapter {
        to.set_adapter(adapter.as_str());
    }
    to.set_requests(demand.requests);
    to.set_tokens(demand.tokens);
    to.set_late(demand.late);
    to.set_refused(demand.refused);
}

/// Reads demand counts.
///
/// # Errors
///
/// Fails on a malformed field.
pub fn read_demands(
    from: struct_list::Reader<'_, demand::Owned>,
) -> Result<Vec<Demand>, PeerError> {
    from.iter().map(read_demand).collect()
}

fn read_demand(from: demand::Reader<'_>) -> Result<Demand, PeerError> {
    let adapter = from.get_adapter()?;
    Ok(Demand {
        model: parse(from.get_model()?)?,
        adapter: if adapter.is_empty() {
            None
        } else {
            Some(parse(adapter)?)
        },
        requests: from.get_requests(),
        tokens: from.get_tokens(),
        late: from.get_late(),
        refused: from.get_refused(),
    })
}

/// Writes a move.
pub fn write_move(wanted: &Move, mut to: move_::Builder<'_>) {
    to.set_runner(wanted.runner.as_str());
    to.set_urgent(wanted.urgent);
    match &wanted.change {
        MoveChange::Load(model) => to.set_load(model.as_str()),
        MoveChange::Unload(model) => to.set_unload(model.as_str()),
        MoveChange::LoadAdapter(adapter) => to.set_load_adapter(adapter.as_str()),
        MoveChange::UnloadAdapter(adapter) => to.set_unload_adapter(adapter.as_str()),
    }
}

/// Reads moves.
///
/// # Errors
///
/// Fails on a malformed field.
pub fn read_moves(from: struct_list::Reader<'_, move_::Owned>) -> Result<Vec<Move>, PeerError> {
    from.iter().map(read_move).collect()
}

fn read_move(from: move_::Reader<'_>) -> Result<Move, PeerError> {
    let change = match from.which()? {
        move_::Load(model) => MoveChange::Load(parse(model?)?),
        move_::Unload(model) => MoveChange::Unload(parse(model?)?),
        move_::LoadAdapter(adapter) => MoveChange::LoadAdapter(parse(adapter?)?),
        move_::UnloadAdapter(adapter) => MoveChange::UnloadAdapter(parse(adapter?)?),
    };
    Ok(Move {
        runner: parse(from.get_runner()?)?,
        change,
        urgent: from.get_urgent(),
    })
}

/// Reads a list of addresses.
///
/// # Errors
///
/// Fails on a malformed element.
pub fn read_addresses(from: text_list::Reader<'_>) -> Result<Vec<SocketAddr>, PeerError> {
    let malformed = |_| capnp::Error::failed("an address is malformed".to_owned());
    let read = |text: capnp::Result<capnp::text::Reader<'_>>| {
        Ok(text?.to_str()?.parse().map_err(malformed)?)
    };
    from.iter().map(read).collect()
}

/// Writes a list of strings.
pub fn write_texts<T: AsRef<str>>(texts: &[T], mut to: text_list::Builder<'_>) {
    for (index, text) in (0..).zip(texts) {
        to.set(index, text.as_ref());
    }
}

/// Reads a list of names or digests.
///
/// # Errors
///
/// Fails on a malformed element.
pub fn read_texts<T: FromStr>(from: text_list::Reader<'_>) -> Result<Vec<T>, PeerError>
where
    PeerError: From<T::Err>,
{
    from.iter().map(|text| parse(text?)).collect()
}
