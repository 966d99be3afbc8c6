@0xd2b1f0c3a4e59687;

# Messages between routers. Each struct mirrors the class of the same name in
# kinds.py, which documents the fields. New fields are only added at the end:
# older routers ignore fields that they do not know.

struct Envelope {
  ask @0 :UInt32;
  # Number of this question, which its answer repeats; 0 for no answer.
  answers @1 :UInt32;
  # Number of the question that this message answers; 0 for none.
  union {
    none @2 :Void;
    member @3 :Member;
    hello @4 :Hello;
    heartbeat @5 :Heartbeat;
    members @6 :Members;
    membersAsk @7 :MembersAsk;
    refused @8 :Refused;
    done @9 :Done;
    tableAsk @10 :TableAsk;
    tableRow @11 :TableRow;
    tableRows @12 :TableRows;
    suspicion @13 :Suspicion;
    billCopy @14 :BillCopy;
    billCopies @15 :BillCopies;
    loanAsk @16 :LoanAsk;
    loanGrant @17 :LoanGrant;
    loanReceipt @18 :LoanReceipt;
    runNote @19 :RunNote;
    runAsk @20 :RunAsk;
    answerAsk @21 :AnswerAsk;
    answerPart @22 :AnswerPart;
    teamUse @23 :TeamUse;
    uses @24 :Uses;
    targetMark @25 :TargetMark;
    inFlightAsk @26 :InFlightAsk;
    inFlight @27 :InFlight;
    targetLoad @28 :TargetLoad;
    targetLoads @29 :TargetLoads;
    powerRows @30 :PowerRows;
    runsAsk @32 :RunsAsk;
    runsKnown @33 :RunsKnown;
    ratePart @34 :RatePart;
    rateDemands @35 :RateDemands;
    rateShares @36 :RateShares;
    recallAsk @37 :RecallAsk;
    recallTold @38 :RecallTold;
    lenderAsk @39 :LenderAsk;
    lenderGone @40 :LenderGone;
    loadWords @41 :LoadWords;
    tablePage @42 :TablePage;
    tokensAsk @43 :TokensAsk;
    tokensGrant @44 :TokensGrant;
    tokensUsed @45 :TokensUsed;
    heavyTeams @46 :HeavyTeams;
    targetFailures @47 :TargetFailures;
    targetRates @48 :TargetRates;
    forwardedRequest @49 :ForwardedRequest;
    streamsBegun @50 :StreamsBegun;
    releaseAsk @51 :ReleaseAsk;
    releaseTold @52 :ReleaseTold;
    partReport @53 :PartReport;
    partReports @54 :PartReports;
  }
  traceparent @31 :Text;
  # W3C trace context of the request that a question belongs to; empty for
  # none, and from routers of releases without this field.
}

struct Member {
  incarnation @0 :Text;
  host @1 :Text;
  address @2 :Text;
  zone @3 :Text;
  started @4 :Float64;
  leaving @5 :Bool;
  revision @6 :UInt32;
  dead @7 :Bool;
  link @8 :UInt32;
  forwarding @9 :Text;
  bindsReleases @10 :Bool;
}

struct Hello {
  version @0 :UInt32;
  fleet @1 :Text;
  member @2 :Member;
  tableVersion @3 :UInt64;
}

struct Heartbeat {
  tableVersion @0 :UInt64;
  orders @1 :UInt64;
}

struct Members {
  members @0 :List(Member);
  wanted @1 :Data;
}

struct MembersAsk {
  digest @0 :Data;
}

struct Refused {
  code @0 :Text;
  reason @1 :Text;
}

struct Done {
}

struct TableAsk {
  since @0 :UInt64;
}

struct TableRow {
  key @0 :Text;
  version @1 :UInt64;
  body @2 :Text;
  packed @3 :Data;
}

struct TableRows {
  since @0 :UInt64;
  version @1 :UInt64;
  rows @2 :List(TableRow);
  more @3 :Bool;
}

struct Suspicion {
  fingerprint @0 :Text;
  team @1 :Text;
  target @2 :Text;
  lifted @3 :Bool;
  at @4 :Float64;
  unexplained @5 :Bool;
}

struct BillCopy {
  team @0 :Text;
  key @1 :Text;
  tokens @2 :Int64;
}

struct BillCopies {
  incarnation @0 :Text;
  bills @1 :List(BillCopy);
  recorded @2 :List(BillCopy);
  left @3 :Bool;
  address @4 :Text;
}

struct LoanAsk {
  loanId @0 :Text;
  team @1 :Text;
  tokens @2 :Int64;
}

struct LoanGrant {
  loanId @0 :Text;
  team @1 :Text;
  tokens @2 :Int64;
  left @3 :Int64;
  reserved @4 :Int64;
}

struct LoanReceipt {
  loanId @0 :Text;
  incarnation @1 :Text;
}

struct RunNote {
  team @0 :Text;
  key @1 :Text;
  fingerprint @2 :Text;
  incarnation @3 :Text;
  address @4 :Text;
  target @5 :Text;
  generation @6 :Text;
  ended @7 :Bool;
  sure @8 :Bool;
}

struct RunAsk {
  team @0 :Text;
  key @1 :Text;
  fingerprint @2 :Text;
}

struct AnswerAsk {
  team @0 :Text;
  key @1 :Text;
  fingerprint @2 :Text;
  offset @3 :UInt64;
}

struct AnswerPart {
  known @0 :Bool;
  status @1 :UInt16;
  headers @2 :List(Text);
  body @3 :Data;
  ended @4 :Bool;
  whole @5 :Bool;
  fault @6 :Text;
  reason @7 :Text;
  ran @8 :Text;
}

struct TeamUse {
  team @0 :Text;
  requests @1 :UInt64;
  tokens @2 :UInt64;
  running @3 :UInt32;
}

struct Uses {
  incarnation @0 :Text;
  window @1 :Int64;
  teams @2 :List(TeamUse);
}

struct TargetMark {
  target @0 :Text;
  incarnation @1 :Text;
}

struct InFlightAsk {
  target @0 :Text;
}

struct InFlight {
  target @0 :Text;
  requests @1 :UInt64;
  closed @2 :Bool;
}

struct TargetLoad {
  target @0 :Text;
  incarnation @1 :Text;
  running @2 :UInt32;
  queued @3 :UInt32;
  slots @4 :UInt32;
  leaving @5 :Bool;
  age @6 :Float64;
  reachable @7 :Bool;
}

struct TargetLoads {
  loads @0 :List(TargetLoad);
}

struct PowerRows {
  rows @0 :List(TableRow);
}

struct RunsAsk {
  runs @0 :List(RunAsk);
}

struct RunsKnown {
  runs @0 :List(RunAsk);
  sure @1 :Bool;
  members @2 :Data;
}

struct RatePart {
  team @0 :UInt64;
  part @1 :UInt32;
}

struct RateDemands {
  level @0 :UInt16;
  group @1 :UInt16;
  window @2 :UInt64;
  routers @3 :UInt32;
  urgent @4 :Bool;
  parts @5 :List(RatePart);
}

struct RateShares {
  level @0 :UInt16;
  group @1 :UInt16;
  window @2 :UInt64;
  routers @3 :UInt32;
  parts @4 :List(RatePart);
}

struct RecallAsk {
  team @0 :Text;
}

struct RecallTold {
  team @0 :Text;
  spent @1 :Int64;
  held @2 :Int64;
}

struct LenderAsk {
  incarnation @0 :Text;
}

struct LenderGone {
  clear @0 :Bool;
}

struct LoadWords {
  scope @0 :Text;
  targets @1 :List(Text);
  running @2 :List(UInt32);
  unread @3 :List(UInt32);
}

struct TablePage {
  table @0 :Text;
  since @1 :UInt64;
  version @2 :UInt64;
  rows @3 :Data;
  whole @4 :Bool;
}

struct TokensAsk {
  number @0 :UInt64;
  team @1 :Text;
  tokens @2 :Int64;
  urgency @3 :UInt16;
}

struct TokensGrant {
  granted @0 :Bool;
  code @1 :Text;
  reason @2 :Text;
  spent @3 :Int64;
  retryAfter @4 :Float64;
}

struct TokensUsed {
  numbers @0 :List(UInt64);
  used @1 :List(Int64);
}

struct HeavyTeams {
  teams @0 :List(Text);
  bytesPerSecond @1 :List(UInt32);
  outOfRotation @2 :Bool;
  reporter @3 :Text;
}

struct TargetFailures {
  scope @0 :Text;
  targets @1 :List(Text);
  outcomes @2 :List(Text);
  sources @3 :List(Text);
  agesMs @4 :List(UInt32);
}

struct TargetRates {
  scope @0 :Text;
  targets @1 :List(Text);
  tokensPerSecond @2 :List(UInt32);
  weights @3 :List(UInt32);
}

struct ForwardedRequest {
  fleet @0 :Text;
  sender @1 :Text;
  requestId @2 :Text;
  method @3 :Text;
  path @4 :Text;
  headerNames @5 :List(Text);
  headerValues @6 :List(Text);
  service @7 :Text;
  route @8 :Text;
  team @9 :Text;
  priority @10 :Int32;
  leftMs @11 :UInt32;
  aimMs @12 :UInt32;
  streams @13 :Bool;
  idempotent @14 :Bool;
  resumable @15 :Bool;
  lastEvent @16 :Text;
  hasPrompt @17 :Bool;
  model @18 :Text;
  promptTokens @19 :UInt64;
  maxOutputTokens @20 :UInt64;
  partIds @21 :List(Text);
  partTokens @22 :List(UInt64);
  excluded @23 :List(Text);
  releases @24 :List(Text);
  mayRetry @25 :Bool;
}

struct StreamsBegun {
  release @0 :Text;
  keys @1 :List(UInt64);
  keepS @2 :UInt32;
  forward @3 :Bool;
}

struct ReleaseAsk {
  key @0 :UInt64;
  service @1 :Text;
  withinS @2 :UInt32;
}

struct ReleaseTold {
  release @0 :Text;
  basis @1 :Text;
  ageMs @2 :UInt32;
  seen @3 :List(Text);
  remembers @4 :Bool;
}

struct PartReport {
  service @0 :Text;
  model @1 :Text;
  part @2 :Text;
  outcome @3 :Text;
  target @4 :Text;
  fingerprint @5 :Text;
  ranMs @6 :UInt32;
  ageMs @7 :UInt32;
}

struct PartReports {
  reports @0 :List(PartReport);
  routed @1 :Bool;
}
