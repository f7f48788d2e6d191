@0xbf5147cbbecf40c1;
# Messages between the system's own processes. Field names match the dataclasses in messages.py.

struct Envelope {
  clock @0 :UInt64;          # hybrid logical clock of the sender
  configVersion @1 :UInt64;  # configuration in force at the sender
  exchange @2 :UInt32;       # call or stream of the body; 0 for none
  union {
    heartbeat @3 :Void;
    hello @4 :Hello;
    start @5 :Start;
    accepted @6 :Accepted;
    tokens @7 :Tokens;
    end @8 :End;
    credit @9 :Credit;
    cancel @10 :Cancel;
    loads @11 :Loads;
    configPull @12 :ConfigPull;
    configDelta @13 :ConfigDelta;
    members @14 :Members;
    refusal @15 :Refusal;
    voteRequest @16 :VoteRequest;
    voteReply @17 :VoteReply;
    appendRequest @18 :AppendRequest;
    appendReply @19 :AppendReply;
    snapshotPiece @20 :SnapshotPiece;
    snapshotReply @21 :SnapshotReply;
    propose @22 :Propose;
    proposeReply @23 :ProposeReply;
    query @24 :Query;
    queryReply @25 :QueryReply;
    publication @26 :Publication;
    publicationPull @27 :PublicationPull;
    subscribe @28 :Subscribe;
    targetStates @29 :TargetStates;
    entryLoads @30 :EntryLoads;
    freshnessRequest @31 :FreshnessRequest;
    freshnessReply @32 :FreshnessReply;
    keeperAnnounce @33 :KeeperAnnounce;
    passedLoads @34 :PassedLoads;
    loadDigest @35 :LoadDigest;
    targetEnds @36 :TargetEnds;
    targetLimits @37 :TargetLimits;
    permitRequest @38 :PermitRequest;
    permitReply @39 :PermitReply;
    targetBackoffs @40 :TargetBackoffs;
    targetFailures @41 :TargetFailures;
    targetSlowdowns @42 :TargetSlowdowns;
    callerReturns @43 :CallerReturns;
    streamOrigins @44 :StreamOrigins;
    originQuery @45 :OriginQuery;
    originReply @46 :OriginReply;
    suspectTrials @47 :SuspectTrials;
    stopNotices @48 :StopNotices;
  }
}

struct Hello {
  daemonId @0 :Text;
  incarnation @1 :UInt64;
  fleet @2 :Text;
  address @3 :Text;
  protocol @4 :UInt16;
  paceMs @5 :UInt16;
  features @6 :UInt32;
}

struct Start {
  generationId @0 :Text;
  requestId @1 :Text;
  workspace @2 :Text;
  className @3 :Text;
  model @4 :Text;
  target @5 :Text;
  payload @6 :Data;
  promptTokens @7 :UInt32;
  maxTokens @8 :UInt32;
  prefixHash @9 :UInt64;
  deadlineMs @10 :UInt32;
  offset @11 :UInt32;
  credit @12 :UInt32;
  attach @13 :Bool;
  waitedMs @14 :UInt32;
}

struct Accepted { generationId @0 :Text; offset @1 :UInt32; }

# Runs of tokens in columns: an exchange, offset and count for each run; texts of all runs in one list.
struct Tokens {
  exchanges @0 :List(UInt32);
  offsets @1 :List(UInt32);
  counts @2 :List(UInt32);
  texts @3 :List(Text);
}

struct End {
  reason @0 :Text;
  tokens @1 :UInt32;
  promptTokens @2 :UInt32;
  fault @3 :Text;
}

struct Credit { tokens @0 :UInt32; }
struct Cancel { reason @0 :Text; }

struct Load {
  target @0 :Text;
  waiting @1 :UInt32;
  running @2 :UInt32;
  memoryUsed @3 :UInt64;
  memoryTotal @4 :UInt64;
  memoryPromised @5 :UInt64;
  stepMs @6 :Float32;
  waitMs @7 :Float32;
  leaving @8 :Bool;
  healthy @9 :Bool;
  prefixes @10 :List(UInt64);
  models @11 :List(Text);
  sequence @12 :UInt64;
  urgentWaitMs @13 :Float32;
}
struct Loads { loads @0 :List(Load); }

struct ConfigPull { have @0 :UInt64; }
struct Entity { kind @0 :Text; name @1 :Text; version @2 :UInt64; body @3 :Text; deleted @4 :Bool; }
struct ConfigDelta {
  base @0 :UInt64;
  version @1 :UInt64;
  whole @2 :Bool;
  entities @3 :List(Entity);
}

struct Member {
  daemonId @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  address @3 :Text;
  httpAddress @4 :Text;
  dataHall @5 :Text;
  roles @6 :List(Text);
  targets @7 :List(Text);
  leaving @8 :Bool;
  configVersion @9 :UInt64;
  state @10 :Text;
  leavingTargets @11 :List(Text);
  ready @12 :Bool;
}
struct Members { members @0 :List(Member); whole @1 :Bool; }

struct Refusal { fault @0 :Text; }

struct VoteRequest {
  term @0 :UInt64; candidate @1 :Text; lastIndex @2 :UInt64; lastTerm @3 :UInt64; pre @4 :Bool;
}
struct VoteReply { term @0 :UInt64; granted @1 :Bool; diskId @2 :Text; fresh @3 :Bool; reason @4 :Text; }
struct LogEntry { term @0 :UInt64; index @1 :UInt64; command @2 :Data; }
struct AppendRequest {
  term @0 :UInt64; leader @1 :Text; prevIndex @2 :UInt64; prevTerm @3 :UInt64;
  commit @4 :UInt64; entries @5 :List(LogEntry);
}
struct AppendReply { term @0 :UInt64; success @1 :Bool; lastIndex @2 :UInt64; diskId @3 :Text; }
struct SnapshotPiece {
  term @0 :UInt64; leader @1 :Text; lastIndex @2 :UInt64; lastTerm @3 :UInt64;
  offset @4 :UInt64; total @5 :UInt64; data @6 :Data;
}
struct SnapshotReply { term @0 :UInt64; received @1 :UInt64; diskId @2 :Text; }

struct Propose { command @0 :Data; hops @1 :UInt8; }
struct ProposeReply { result @0 :Data; leader @1 :Text; }
struct Query { subject @0 :Text; arguments @1 :Text; }
struct QueryReply { result @0 :Data; }

struct Publication { version @0 :UInt64; content @1 :Data; }
struct PublicationPull { have @0 :UInt64; }
struct Subscribe { have @0 :UInt64; entry @1 :Text; loads @2 :Bool; }
struct StateTable {
  targetIds @0 :List(Text);
  pools @1 :List(Text);
  addresses @2 :List(Text);
  dataHalls @3 :List(Text);
  slots @4 :List(UInt32);
  phases @5 :List(Text);
  sequences @6 :List(UInt64);
  coldMs @7 :List(UInt32);
  ageMs @8 :List(UInt32);
  softwareVersions @9 :List(Text);
}
struct FormerTable { pools @0 :List(Text); softwareVersions @1 :List(Text); ageMs @2 :List(UInt32); }
struct TargetStates {
  table @0 :Data;
  whole @1 :Bool;
  collectedMs @2 :UInt32;
  former @3 :Data;
}
struct TargetUse {
  address @0 :Text;
  requests @1 :UInt32;
  tokens @2 :UInt64;
  unread @3 :UInt64;
  unsaved @4 :UInt64;
  events @5 :UInt32;
  eventMs @6 :UInt32;
  readTokens @7 :UInt32;
  readMs @8 :UInt32;
  claimed @9 :UInt32;
}
struct EntryLoads {
  entry @0 :Text;
  sequence @1 :UInt64;
  uses @2 :List(TargetUse);
  workspaces @3 :Data;
}
struct UseTable {
  addresses @0 :List(Text);
  requests @1 :List(UInt32);
  tokens @2 :List(UInt32);
  unread @3 :List(UInt32);
  unsaved @4 :List(UInt32);
  events @5 :List(UInt32);
  eventMs @6 :List(UInt32);
  readTokens @7 :List(UInt32);
  readMs @8 :List(UInt32);
  claimed @9 :List(UInt32);
}
struct PassedLoads {
  entries @0 :List(Text);
  sequences @1 :List(UInt64);
  counts @2 :List(UInt32);
  table @3 :Data;
  workspaces @4 :List(Data);
}
struct LoadDigest {
  keeper @0 :Text;
  sequence @1 :UInt64;
  included @2 :UInt64;
  whole @3 :Bool;
  table @4 :Data;
  workspaces @5 :Data;
}
struct WorkspaceTable {
  pools @0 :List(Text);
  workspaces @1 :List(Text);
  priorities @2 :List(UInt8);
  waiting @3 :List(UInt32);
  waitingTokens @4 :List(UInt32);
  servedTokens @5 :List(UInt32);
}
struct EndTable {
  fingerprints @0 :List(Text);
  targetIds @1 :List(Text);
  cleared @2 :List(Bool);
  begun @3 :List(Bool);
  trials @4 :List(Bool);
}
struct SuspectTrials { keys @0 :List(Text); }
struct TargetEnds { table @0 :Data; }
struct LimitTable {
  targetIds @0 :List(Text);
  limits @1 :List(Float64);
  versions @2 :List(UInt64);
  namedMs @3 :List(Int64);
  unnamedMs @4 :List(Int64);
}
struct TargetLimits { table @0 :Data; }
struct TargetBackoffs {
  targetIds @0 :List(Text);
  leftMs @1 :List(UInt32);
}
struct StopNotices { requestIds @0 :List(Text); addresses @1 :List(Text); leftMs @2 :List(UInt32); entry @3 :Text; }
struct TargetFailures { targetIds @0 :List(Text); leftMs @1 :List(UInt32); }
struct TargetSlowdowns { targetIds @0 :List(Text); leftMs @1 :List(UInt32); }
struct CallerReturns { fingerprints @0 :List(Text); firstMs @1 :List(UInt32); leftMs @2 :List(UInt32); }
struct StreamOrigins {
  pools @0 :List(Text);
  softwareVersions @1 :List(Text);
  groups @2 :List(UInt16);
  keys @3 :List(UInt64);
  attempts @4 :List(UInt8);
  leftMs @5 :List(UInt32);
}
struct OriginQuery { key @0 :UInt64; isForwarded @1 :Bool; }
struct OriginReply {
  known @0 :Bool;
  pool @1 :Text;
  softwareVersion @2 :Text;
  attempt @3 :UInt8;
  leftMs @4 :UInt32;
  isAlone @5 :Bool;
}
struct PermitWish {
  targetId @0 :Text;
  count @1 :UInt32;
  limit @2 :Float64;
  returned @3 :UInt32;
}
struct PermitRequest { wishes @0 :List(PermitWish); hops @1 :UInt8; }
struct PermitGrant { targetId @0 :Text; count @1 :UInt32; holdMs @2 :UInt32; }
struct PermitReply { grants @0 :List(PermitGrant); }
struct FreshnessRequest { have @0 :UInt64; }
struct FreshnessReply {
  version @0 :UInt64;
  ageMs @1 :UInt32;
  known @2 :Bool;
  keepers @3 :List(Text);
  entries @4 :UInt32;
  appliedIndex @5 :UInt64;
  ordersVersion @6 :UInt64;
}
struct KeeperSeen { name @0 :Text; address @1 :Text; diskId @2 :Text; fresh @3 :Bool; leaving @4 :Bool; }
struct KeeperAnnounce { keepers @0 :List(KeeperSeen); }
