# Messages between keepers, between a proxy and its keeper, and between
# gateways.
#
# Field numbers are never changed or reused. A change that an older process
# would misread requires a higher SCHEMA_VERSION in catkincrank/envelope.py.
@0xb3c5d1f0a7e94c21;

struct Envelope {
  version @0 :UInt16;
  union {
    hello @1 :Hello;
    heartbeat @2 :Heartbeat;
    feedRequest @3 :FeedRequest;
    feedUpdate @4 :FeedUpdate;
    suspicionReport @5 :SuspicionReport;
    probe @6 :Probe;
    settingsRequest @7 :SettingsRequest;
    settingsUpdate @8 :SettingsUpdate;
    settingsDigest @9 :SettingsDigest;
    settingsDelta @10 :SettingsDelta;
    settingsPush @11 :SettingsPush;
    drainNotice @12 :DrainNotice;
    tableQuery @13 :TableQuery;
    tableReply @14 :TableReplies;
    revokeRequest @15 :RevokeRequest;
    revokeReply @16 :RevokeReply;
    reachQuery @17 :ReachQuery;
    reachReply @18 :ReachReply;
    nudge @19 :ChangeNotice;
    carryRequest @20 :CarryRequest;
    carryReply @21 :CarryReply;
    recallRequest @22 :RecallRequest;
    recallReply @23 :RecallReply;
    quotaReport @24 :QuotaReport;
    quotaAllocation @25 :QuotaAllocation;
    tokenRequest @26 :TokenRequest;
    tokenGrant @27 :TokenGrant;
  }
}

struct Probe {
  name @0 :Text;
  zone @1 :Text;
  host @2 :Text;
  port @3 :UInt16;
  number @4 :UInt64;
  isLeaving @5 :Bool;
}

struct Hello {
  name @0 :Text;
  zone @1 :Text;
  role @2 :Text;
  incarnation @3 :Text;
}

struct Heartbeat {
  name @0 :Text;
  sequence @1 :UInt64;
}

struct Ballot {
  term @0 :UInt64;
  keeper @1 :Text;
}

struct LogMark {
  term @0 :UInt64;
  position @1 :UInt64;
}

struct History {
  starts @0 :List(LogMark);
}

struct InstanceStatus {
  endpoint @0 :Text;
  incarnation @1 :Text;
  role @2 :Role;
  history @3 :History;
  received @4 :UInt64;
  replayed @5 :UInt64;
  follows @6 :Text;
  sealed @7 :Ballot;
  connections @8 :UInt32;

  enum Role {
    primary @0;
    replica @1;
  }
}

struct Observation {
  status @0 :InstanceStatus;
  takenAt @1 :Float64;
}

struct FeedRequest {
  groups @0 :List(Text);
  stamp @1 :Float64;
  urgent @2 :List(Text);
}

struct FeedUpdate {
  group @0 :Text;
  source @1 :Text;
  echoStamp @2 :Float64;
  echoReceived @3 :Float64;
  observations @4 :List(Observation);
}

struct SuspicionReport {
  group @0 :Text;
  endpoint @1 :Text;
  keeper @2 :Text;
  zone @3 :Text;
  isSuspect @4 :Bool;
  silentS @5 :Float64;
}

struct TeamVersion {
  team @0 :Text;
  version @1 :UInt64;
}

struct SettingsRequest {
  known @0 :List(TeamVersion);
}

struct SettingsUpdate {
  team @0 :Text;
  version @1 :UInt64;
  body @2 :Data;
  changeId @3 :Text;
}

struct SettingsEntry {
  sequence @0 :UInt64;
  team @1 :Text;
  version @2 :UInt64;
  isAccepted @3 :Bool;
}

struct SettingsDigest {
  sequence @0 :UInt64;
  stamp @1 :Float64;
}

struct SettingsDelta {
  sequence @0 :UInt64;
  oldest @1 :UInt64;
  stamp @2 :Float64;
  ageS @3 :Float64;
  entries @4 :List(SettingsEntry);
}

struct SettingsPush {
  entry @0 :SettingsEntry;
  body @1 :Data;
  changeId @2 :Text;
  crossesZones @3 :Bool;
}

struct DrainNotice {
  machine @0 :Text;
  cause @1 :Text;
}

struct TableVersion {
  table @0 :Text;
  version @1 :UInt64;
  era @2 :UInt64;
}

struct TableQuery {
  name @0 :Text;
  places @1 :List(TableVersion);
  heard @2 :List(Text);
  acceptsCompressed @3 :Bool;
}

struct TableReplies {
  replies @0 :List(TableReply);
}

struct ChangeNotice {
  name @0 :Text;
}

struct TableRow {
  key @0 :Text;
  version @1 :UInt64;
  body @2 :Data;
  isRemoved @3 :Bool;
  isCompressed @4 :Bool;
}

struct TableReply {
  table @0 :Text;
  version @1 :UInt64;
  ageS @2 :Float64;
  rows @3 :List(TableRow);
  era @4 :UInt64;
  isWhole @5 :Bool;
  readingS @6 :Float64;
}

struct RevokeRequest {
  service @0 :Text;
  version @1 :UInt64;
  holder @2 :Text;
  era @3 :UInt64;
  passOnTo @4 :List(Text);
}

struct RevokeReply {
  isDone @0 :Bool;
  confirmed @1 :List(Text);
}

struct RecallRequest {
  holder @0 :Text;
  era @1 :UInt64;
}

struct RecallReply {
  records @0 :List(Data);
}

struct ReachQuery {
  service @0 :Text;
  endpoint @1 :Text;
}

struct ReachReply {
  isReachable @0 :Bool;
}

struct Destination {
  service @0 :Text;
  endpoint @1 :Text;
  host @2 :Text;
  port @3 :UInt16;
  bornMs @4 :UInt64;
}

struct CarriedValue {
  name @0 :Data;
  content @1 :Data;
}

struct CarriedPrepared {
  isWrite @0 :Bool;
  shape @1 :Data;
}

struct CarriedOrganisation {
  name @0 :Text;
  prepared @1 :CarriedPrepared;
}

struct CarriedPosition {
  term @0 :UInt64;
  number @1 :UInt64;
}

struct CarryRequest {
  action @0 :Text;
  requestId @1 :Data;
  text @2 :Data;
  limitS @3 :Float32;
  destination @4 :Destination;
  after @5 :CarriedPosition;
  values @6 :List(CarriedValue);
  # The union shares one pointer, so that requests without an organisation do
  # not grow.
  union {
    prepared @7 :CarriedPrepared;
    organised @10 :CarriedOrganisation;
  }
  route @8 :Text;
  priority @9 :UInt8;
}

struct CarryReply {
  rows @0 :List(Data);
  signature @1 :Data;
  failure @2 :Text;
  detail @3 :Data;
  status @4 :Text;
  position @5 :CarriedPosition;
  error @6 :Text;
  wasSent @7 :Bool;
  isFull @8 :Bool;
  isDeclined @9 :Bool;
}

struct OrganisationUse {
  organisation @0 :Text;
  demand @1 :Float64;
  wanted @2 :UInt32;
  share @3 :Float64;
  lifetimeS @4 :Float64;
  token @5 :UInt64;
  sequence @6 :UInt64;
}

struct QuotaReport {
  name @0 :Text;
  incarnation @1 :Text;
  token @2 :UInt64;
  sequence @3 :UInt64;
  isWhole @4 :Bool;
  uses @5 :List(OrganisationUse);
  isUrgent @6 :Bool;
}

struct OrganisationShare {
  organisation @0 :Text;
  share @1 :Float64;
  tokens @2 :UInt32;
  isExhausted @3 :Bool;
}

struct QuotaAllocation {
  token @0 :UInt64;
  sequence @1 :UInt64;
  lifetimeS @2 :Float64;
  shares @3 :List(OrganisationShare);
}

struct WantedTokens {
  organisation @0 :Text;
  count @1 :UInt32;
}

struct TokenRequest {
  name @0 :Text;
  wanted @1 :List(WantedTokens);
}

struct GrantedTokens {
  organisation @0 :Text;
  count @1 :UInt32;
  retryAfterS @2 :Float64;
  isExhausted @3 :Bool;
  isDeclined @4 :Bool;
}

struct TokenGrant {
  granted @0 :List(GrantedTokens);
}
