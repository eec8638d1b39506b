@0xd1b6f3a94c20e75d;

struct Member {
  node @0 :Text;
  domain @1 :Text;
  region @2 :Text;
  incarnation @3 :UInt64;
  serial @4 :UInt64;
  status @5 :UInt8;
  peers @6 :Text;
  control @7 :Text;
  service @8 :Text;
  slots @9 :UInt32;
  draining @10 :Bool;
  version @11 :UInt64;
}

struct Digest {
  domain @0 :Text;
  value @1 :UInt64;
}

struct Summary {
  domain @0 :Text;
  region @1 :Text;
  stamp @2 :UInt64;
  present @3 :UInt32;
  lowest @4 :UInt64;
  lagging @5 :List(Text);
}

struct Suspect {
  fingerprint @0 :UInt64;
  node @1 :Text;
  epoch @2 :UInt64;
  call @3 :Text;
  cleared @4 :Bool;
}

struct Gossip {
  node @0 :Text;
  version @1 :UInt64;
  members @2 :List(Member);
  digests @3 :List(Digest);
  summaries @4 :List(Summary);
  suspects @5 :List(Suspect);
}

struct Configuration {
  version @0 :UInt64;
  next @1 :UInt64;
  state @2 :Text;
}

interface Peer {
  gossip @0 (told :Gossip) -> (answer :Gossip);
  reach @1 (node :Text) -> (reached :Bool);
  members @2 (domain :Text) -> (members :List(Member));
  configuration @3 (have :UInt64) -> (configuration :Configuration);
  overview @4 () -> (summaries :List(Summary));
}
