@0xc0e1d6f57a1b42d9;
# The protocol between the processes of the system.

struct Head {
  # The record of one published revision.
  revision @0 :UInt64;
  digest @1 :Text;
  publishId @2 :Text;
  author @3 :Text;
  message @4 :Text;
  publishedAtMs @5 :UInt64;
}

struct Blob {
  # A content-addressed part of a configuration, compressed.
  digest @0 :Text;
  data @1 :Data;
}

struct Demand {
  # What callers asked of one model or adapter since the last report.
  model @0 :Text;
  adapter @1 :Text;
  requests @2 :UInt32;
  tokens @3 :UInt32;
  late @4 :UInt32;
  refused @5 :UInt32;
}

struct Resident {
  model @0 :Text;
  version @1 :Text;
  ready @2 :Bool;
}

struct RunnerState {
  # What a keeper knows of one runner.
  name @0 :Text;
  epoch @1 :UInt64;
  incarnation @2 :UInt64;
  leaving @3 :Bool;
  reachable @4 :Bool;
  models @5 :List(Resident);
  adapters @6 :List(Text);
}

struct Move {
  # A change that the planner wants on a runner.
  runner @0 :Text;
  union {
    load @1 :Text;
    unload @2 :Text;
    loadAdapter @3 :Text;
    unloadAdapter @4 :Text;
  }
  urgent @5 :Bool;
}

interface Gate {
  # What an unauthenticated connection can do: log in.
  peer @0 (key :Data) -> (peer :Peer);
  entry @1 (key :Data) -> (link :EntryLink);
  operator @2 (key :Data) -> (operator :Operator);
  forward @3 (key :Data) -> (forward :Forward);
}

interface Peer {
  # Between keepers.
  exchangeHead @0 (head :Head, sender :Text) -> (head :Head);
  fetch @1 (digests :List(Text)) -> (blobs :List(Blob));
  reportDemand @2 (sender :Text, demand :List(Demand));
  propose @3 (sender :Text, moves :List(Move)) -> (runners :List(RunnerState));
  reportRunners @4 (runners :List(RunnerState));
  members @5 () -> (members :List(Member));
}

struct Member {
  vm @0 :Text;
  dataCentre @1 :Text;
  address @2 :Text;
  entryAddress @3 :Text;
  incarnation @4 :UInt64;
}

interface EntryLink {
  # From an entry to the keeper of its VM. Calls with `known` answer when something newer is there.
  configuration @0 (known :UInt64) -> (head :Head, snapshot :Data);
  runners @1 (known :UInt64) -> (version :UInt64, draining :Bool, runners :List(RunnerState), members :List(Member),
                               leaving :List(Text));
  report @2 (demand :List(Demand), suspects :List(Text));
}

interface Operator {
  publish @0 (snapshot :Data, head :Head, expected :UInt64) -> (outcome :PublishOutcome);
  show @1 (revision :UInt64) -> (head :Head, snapshot :Data);
  # Revision 0 stands for the one in force.
  history @2 (limit :UInt32) -> (heads :List(Head));
  audit @3 (limit :UInt32) -> (records :List(Text));
  status @4 () -> (status :Text);
  drain @5 ();
}

struct PublishOutcome {
  union {
    published @0 :Head;
    conflict @1 :Head;
    refused @2 :List(Text);
    unknown @3 :Text;
  }
}

struct Header {
  name @0 :Text;
  value @1 :Data;
}

interface Forward {
  # Between entries: a call that only the receiving VM may dispatch.
  call @0 (requestId :Text, ticket :Text, service :Text, method :Text, path :Text,
           headers :List(Header), body :Data)
       -> (status :UInt16, headers :List(Header), body :Data);
}
