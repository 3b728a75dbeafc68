@0xb5c1d3a0f0e24c71;
# The link between an entry and an agent. `scripts/generate` makes src/agent_capnp.rs from it.

struct AttemptId {
  entry @0 :UInt64;
  request @1 :UInt64;
  attempt @2 :UInt32;
}

struct Offer {
  attempt @0 :AttemptId;
  to @1 :UInt64;            # life of the agent that is meant
  workspace @2 :Text;
  service @3 :Text;
  key @4 :Text;             # empty when there is none
  fingerprint @5 :UInt64;
  repeatable @6 :Bool;
  cost @7 :UInt64;
  remainingMs @8 :UInt64;
}

struct Request {
  method @0 :Text;
  path @1 :Text;            # with the query
  contentType @2 :Text;
  body @3 :Data;
}

struct Refusal {
  kind @0 :Text;            # a name from the closed list of error kinds
  run @1 :Text;
  retryAfterMs @2 :UInt64;
  detail @3 :Text;
}

struct Frame {
  attempt @0 :AttemptId;
  number @1 :UInt64;
  union {
    head :group {
      status @2 :UInt16;
      contentType @3 :Text;
    }
    data @4 :Data;
    end :group {
      frames @5 :UInt64;
      checksum @6 :UInt64;
    }
  }
}

struct Report {
  incarnation @0 :UInt64;
  number @1 :UInt64;
  configVersion @2 :UInt64;
  tailVerified @3 :Bool;
  leaving @4 :Bool;
  running @5 :UInt32;
  waiting @6 :UInt32;
  slots @7 :UInt32;
  meanRunMs @8 :UInt64;
  stepUs @9 :UInt64;
}

interface FrameSink {
  # The answer comes when the frame has been taken: that is the back-pressure.
  push @0 (frame :Frame) -> ();
}

interface Agent {
  # `tailVersion` is the version at the end of the log, read after the agent's
  # life `verifiedFor` was met; 0 when no such read has been made.
  heartbeat @0 (entry :Text, verifiedFor :UInt64, tailVersion :UInt64) -> (report :Report);
  configure @1 (state :Data) -> (version :UInt64);
  call @2 (offer :Offer, request :Request, sink :FrameSink) -> (refused :Bool, refusal :Refusal);
  cancel @3 (attempt :AttemptId) -> ();
  revoke @4 (attempt :AttemptId, to :UInt64) -> (answer :RevokeAnswer);
  # What changed since the version that the agent reported. The answer is the
  # version in force; an older one than wanted asks for the whole state.
  extend @5 (delta :Data) -> (version :UInt64);
}

enum RevokeAnswer {
  notStarted @0;
  started @1;
  unknown @2;
}

interface Door {
  open @0 (token :Text) -> (agent :Agent);
}

interface EntryDoor {
  # The configuration that this entry has in force; empty when it has none.
  state @0 (token :Text) -> (state :Data);
}
