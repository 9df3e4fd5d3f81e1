@0xd3a1f0c97b2e4a61;
# Messages between the hosts of one deployment. New fields and new members of the union go at the
# end, so that two releases understand each other.

struct Frame {
  union {
    hello @0 :Hello;
    ask @1 :Ask;
    reply @2 :Reply;
    cancel @3 :Text;
    book @4 :Book;
    bookReply @5 :Outcome;
    forward @6 :Forward;
    forwardReply @7 :Outcome;
    heartbeat @8 :Heartbeat;
    heartbeatReply @9 :Heartbeat;
    demand @10 :List(RefusedCount);
    pressure @11 :List(ServicePressure);
    fetchVersions @12 :Versions;
    textPush @13 :TextPush;
    cataloguePush @14 :Text;
    sectionsPush @15 :SectionsPush;
  }
}

struct Hello {
  host @0 :Text;
  address @1 :Text;
  failureDomain @2 :Text;
  incarnation @3 :UInt64;
  oldestProtocol @4 :UInt16;
  newestProtocol @5 :UInt16;
}

struct Part {
  service @0 :Text;
  shards @1 :List(Text);
}

struct Ask {
  query @0 :Text;
  rank @1 :UInt8;
  remaining @2 :Float64;
  number @3 :Float64;
  snapshot @4 :UInt64;
  text @5 :Text;
  parts @6 :List(Part);
}

struct Hit {
  id @0 :Text;
  score @1 :Float64;
  shard @2 :Text;
  document @3 :Text;
}

struct Hits {
  snapshot @0 :UInt64;
  shards @1 :List(Text);
  hits @2 :List(Hit);
}

struct VersionGone {
  snapshot @0 :UInt64;
  held @1 :List(UInt64);
}

struct Failure {
  reason @0 :Text;
  step @1 :Text;
  peer @2 :Text;
  detail @3 :Text;
}

struct Reply {
  query @0 :Text;
  service @1 :Text;
  result :union {
    hits @2 :Hits;
    versionGone @3 :VersionGone;
    notRun @4 :Failure;
    unknown @5 :Failure;
  }
}

struct Book {
  query @0 :Text;
  ticket @1 :Text;
  attempt @2 :UInt32;
  service @3 :Text;
  rank @4 :UInt8;
  remaining @5 :Float64;
  payload @6 :Text;
}

struct Forward {
  query @0 :Text;
  incarnation @1 :UInt64;
  ticket @2 :Text;
  service @3 :Text;
  rank @4 :UInt8;
  remaining @5 :Float64;
  payload @6 :Text;
}

struct Outcome {
  query @0 :Text;
  result :union {
    ran @1 :Text;
    notRun @2 :Failure;
    unknown @3 :Failure;
  }
}

struct Versions {
  revision @0 :UInt64;
  catalogue @1 :UInt64;
}

struct Member {
  host @0 :Text;
  address @1 :Text;
  failureDomain @2 :Text;
  incarnation @3 :UInt64;
  state @4 :UInt8;
  counter @5 :UInt32;
}

struct Heartbeat {
  events @0 :UInt64;
  versions @1 :Versions;
  members @2 :List(Member);
  digest @3 :List(UInt32);
}

struct RefusedCount {
  service @0 :Text;
  rank @1 :UInt8;
  count @2 :UInt32;
}

struct ServicePressure {
  service @0 :Text;
  admitted @1 :List(Float32);
}

struct TextPush {
  revision @0 :UInt64;
  text @1 :Text;
}

struct Section {
  id @0 :Text;
  text @1 :Text;
}

struct SectionsPush {
  base @0 :UInt64;
  revision @1 :UInt64;
  digest @2 :UInt64;
  changed @3 :List(Section);
  removed @4 :List(Text);
}
