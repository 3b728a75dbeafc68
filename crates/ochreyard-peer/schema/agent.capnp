@0xb5c1d3a0f0e24c71;
# RPC interfaces between entries and agents, and among entries. `scripts/generate` generates src/agent_capnp.rs.

struct AttemptId {
  entry @0 :UInt64;
  request @1 :UInt64;
  attempt @2 :UInt32;
}

struct Offer {
  attempt @0 :AttemptId;
  to @1 :UInt64;            # incarnation of the agent that the offer is addressed to
  workspace @2 :Text;
  service @3 :Text;
  key @4 :Text;             # idempotency key; empty if there is none
  fingerprint @5 :UInt64;
  repeatable @6 :Bool;
  cost @7 :UInt64;
  remainingMs @8 :UInt64;
}

struct Request {
  method @0 :Text;
  path @1 :Text;            # path and query
  contentType @2 :Text;
  body @3 :Data;
}

struct Refusal {
  kind @0 :Text;            # name of an error kind; the set of kinds is fixed
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
  # Returns once the receiver has accepted the frame, which provides back-pressure.
  push @0 (frame :Frame) -> ();
}

interface Agent {
  # `tailVersion` is the configuration version at the end of the log, from a read that began
  # after the first report of the agent's incarnation `verifiedFor`; 0 if there was no such read.
  heartbeat @0 (entry :Text, verifiedFor :UInt64, tailVersion :UInt64) -> (report :Report);
  configure @1 (state :Data) -> (version :UInt64);
  call @2 (offer :Offer, request :Request, sink :FrameSink) -> (refused :Bool, refusal :Refusal);
  cancel @3 (attempt :AttemptId) -> ();
  revoke @4 (attempt :AttemptId, to :UInt64) -> (answer :RevokeAnswer);
  # Sends the changes since the version that the agent reported. Returns the version in force
  # at the agent; if it is older than the delta's, the agent needs the complete configuration.
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
  # Returns the configuration in force at this entry; empty if there is none.
  state @0 (token :Text) -> (state :Data);
}
