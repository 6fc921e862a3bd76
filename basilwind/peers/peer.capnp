@0xd1c8a6f0b7e54321;
# Messages between the entry hosts of one fleet. Their fields are described in
# basilwind/membership/members.py (Heartbeat, ShardHint), basilwind/models.py (Spec,
# Outcome) and basilwind/peers/messages.py (all others).

struct ShardHint {
  pool @0 :Text;
  freeSlots @1 :UInt32;
  waiting @2 :UInt32;
}

struct Heartbeat {
  name @0 :Text;
  zone @1 :Text;
  incarnation @2 :Text;
  isLeaving @3 :Bool;
  isReady @4 :Bool;
  controlOffset @5 :UInt64;
  controlDigest @6 :Text;
  shards @7 :List(ShardHint);
  stamp @8 :UInt64;
  # Time on the sender's clock, in microseconds.
  echo @9 :UInt64;
  # The latest stamp that the sender received from the receiver.
  isPromising @10 :Bool;
  journalOffset @11 :UInt64;
}

struct Spec {
  # A request. The journal stores it in this encoding, packed.
  requestId @0 :Text;
  team @1 :Text;
  queue @2 :Text;
  pool @3 :Text;
  slots @4 :UInt32;
  cpus @5 :Float64;
  memoryGb @6 :Float64;
  accelerators @7 :UInt32;
  urgent @8 :Bool;
  idempotent @9 :Bool;
  key @10 :Text;
  labels @11 :List(Text);
  contentType @12 :Text;
  body @13 :Data;
  expectedS @14 :Float64;
}

struct Outcome {
  kind @0 :Text;
  reason @1 :Text;
  status @2 :UInt16;
  contentType @3 :Text;
  body @4 :Data;
  retryAfterS @5 :Float64;
  worker @6 :Text;
  replayed @7 :Bool;
}

struct Handoff {
  # Hands off a request to the owner of its shard, which alone may run it.
  spec @0 :Spec;
  remainingS @1 :Float64;
  isJob @2 :Bool;
  jobId @3 :Text;
  handoffId @4 :Text;
}

struct Answer {
  handoffId @0 :Text;
  outcome @1 :Outcome;
}

struct Recall {
  # Asks the receiver of a hand-off to return the request if it has not started.
  handoffId @0 :Text;
}

enum RecallState {
  notRun @0;
  started @1;
  finished @2;
}

struct RecallReply {
  handoffId @0 :Text;
  state @1 :RecallState;
  outcome @2 :Outcome;
}

struct JobQuery {
  jobId @0 :Text;
  team @1 :Text;
  cancel @2 :Bool;
  label @3 :Text;
}

struct JobReply {
  found @0 :Bool;
  state @1 :Text;
  outcome @2 :Outcome;
  cancelled @3 :UInt32;
}

struct ControlRecord {
  offset @0 :UInt64;
  data @1 :Data;
}

struct ControlQuery {
  fromOffset @0 :UInt64;
}

struct ControlReply {
  records @0 :List(ControlRecord);
  snapshot @1 :Text;
}

struct JournalCopy {
  holder @0 :Text;
  data @1 :Data;
}

struct Envelope {
  callId @0 :UInt64;
  # Matches a call with its reply; 0 for other messages.
  union {
    heartbeat @1 :Heartbeat;
    handoff @2 :Handoff;
    answer @3 :Answer;
    recall @4 :Recall;
    recallReply @5 :RecallReply;
    jobQuery @6 :JobQuery;
    jobReply @7 :JobReply;
    controlQuery @8 :ControlQuery;
    controlReply @9 :ControlReply;
    journalCopy @10 :JournalCopy;
    copyAck @11 :Void;
    heartbeatAck @12 :Void;
  }
}
