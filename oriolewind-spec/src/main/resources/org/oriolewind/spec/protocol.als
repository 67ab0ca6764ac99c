-- The core protocol: publication by conditional update with lost answers, the lease of a duty with
-- pauses and terms, distribution with crossing and repeats, restart with empty state, and take-back.
--
-- Lines that end in "-- guard NAME" are left out, one at a time, by the check of the check: without
-- its guard each property must fail.

module protocol

open util/ordering[Version] as versions
open util/ordering[Term] as terms

sig Version {}
sig Term {}

sig Operator {
  var read : lone Version,       -- head that the operator builds on
  var pending : lone Version,    -- version whose answer was lost
  var won : set Version          -- versions that the operator was told it published
}

sig Node {
  var installed : lone Version,  -- none after a start
  var ready : lone Version,      -- version on which calls run, none until the head was read
  var term : lone Term,          -- term under which the node believes to hold the duty
  var decided : lone Version     -- head on which a decision of the node rests
}

one sig Platform {
  var head : one Version,
  var author : Version -> Operator,
  var leaseTerm : one Term,
  var holder : lone Node,
  var expired : lone Node,       -- holder whose lease was seen unchanged for its duration
  var writtenTerm : one Term,    -- term in the object that only the holder writes
  var takenBack : set Version    -- heads in which the bad version has no traffic
}

pred init {
  no read and no pending and no won and no installed and no ready and no term and no decided
  Platform.head = versions/first
  no author
  Platform.leaseTerm = terms/first
  no holder and no expired
  Platform.writtenTerm = terms/first
  no takenBack
}

pred sameOperators { read' = read and pending' = pending and won' = won }
pred sameNodes { installed' = installed and ready' = ready and term' = term and decided' = decided }
pred sameConfig { head' = head and author' = author and takenBack' = takenBack }
pred sameLease {
  leaseTerm' = leaseTerm and holder' = holder and expired' = expired and writtenTerm' = writtenTerm
}

-- Publication

pred readHead [o : Operator] {
  no o.pending
  read' = read ++ o -> Platform.head
  pending' = pending and won' = won
  sameNodes and sameConfig and sameLease
}

pred publish [o : Operator, answered : Int] {
  some o.read and no o.pending
  o.read = Platform.head                                                  -- guard conditional-write
  let next = o.read.(versions/next) {
    some next
    head' = Platform -> next
    author' = author - Platform -> next -> Operator + Platform -> next -> o
    -- What a later version holds is built on the head that was read.
    takenBack' = (o.read in Platform.takenBack
      implies Platform -> (Platform.takenBack + next) else Platform -> (Platform.takenBack - next))
    answered = 1 implies (won' = won + o -> next and pending' = pending)
                 else (won' = won and pending' = pending + o -> next)
  }
  read' = read - o -> Version
  sameNodes and sameLease
}

pred readBack [o : Operator] {
  some o.pending
  -- The head carries the notes it was built from, so that the author of a version can be told.
  (o in Platform.author[o.pending] implies won' = won + o -> o.pending else won' = won)  -- guard read-back
  pending' = pending - o -> Version
  read' = read
  sameNodes and sameConfig and sameLease
}

-- Distribution: any version ever published may arrive, late, again, or out of order.

pred receive [n : Node, v : Version] {
  v in versions/prevs[Platform.head] + Platform.head
  no n.installed or versions/gt[v, n.installed]                           -- guard newer-only
  installed' = installed ++ n -> v
  ready' = (some n.ready implies ready ++ n -> v else ready)
  term' = term and decided' = decided
  sameOperators and sameConfig and sameLease
}

pred restart [n : Node] {
  installed' = installed - n -> Version
  ready' = ready - n -> Version
  term' = term - n -> Term
  decided' = decided - n -> Version
  sameOperators and sameConfig and sameLease
}

-- A node that started takes calls once it has read the platform's head.
pred becomeReady [n : Node] {
  no n.ready
  some v : versions/prevs[Platform.head] + Platform.head {
    v = Platform.head                                                     -- guard head-first
    installed' = installed ++ n -> v
    ready' = ready ++ n -> v
  }
  term' = term and decided' = decided
  sameOperators and sameConfig and sameLease
}

-- Lease

pred expire {
  some Platform.holder
  expired' = Platform -> Platform.holder
  leaseTerm' = leaseTerm and holder' = holder and writtenTerm' = writtenTerm
  sameOperators and sameNodes and sameConfig
}

pred acquire [n : Node] {
  no Platform.holder or Platform.expired = Platform.holder
  let next = Platform.leaseTerm.(terms/next) {
    some next
    leaseTerm' = Platform -> next
    term' = term ++ n -> next
  }
  holder' = Platform -> n
  no expired'
  writtenTerm' = writtenTerm
  installed' = installed and ready' = ready and decided' = decided
  sameOperators and sameConfig
}

-- A holder that was paused past its lease still believes in its term when it writes.
pred holderWrites [n : Node] {
  some n.term
  terms/gte[n.term, Platform.writtenTerm]                                 -- guard fencing
  writtenTerm' = Platform -> n.term
  leaseTerm' = leaseTerm and holder' = holder and expired' = expired
  sameOperators and sameNodes and sameConfig
}

-- Rollout: a decision rests on a head and may be written long after.

pred decide [n : Node] {
  some n.term
  decided' = decided ++ n -> Platform.head
  installed' = installed and ready' = ready and term' = term
  sameOperators and sameConfig and sameLease
}

pred takeBack [n : Node] {
  n.decided = Platform.head
  let next = n.decided.(versions/next) {
    some next
    head' = Platform -> next
    author' = author
    takenBack' = Platform -> (Platform.takenBack + next)
  }
  decided' = decided - n -> Version
  installed' = installed and ready' = ready and term' = term
  sameOperators and sameLease
}

-- A larger share for the version. It must not undo a take-back.
pred permit [n : Node] {
  some n.decided
  n.decided = Platform.head                                               -- guard decision-stands
  Platform.head not in Platform.takenBack                                 -- guard taken-back-stays
  let next = Platform.head.(versions/next) {
    some next
    head' = Platform -> next
    author' = author
    takenBack' = Platform -> (Platform.takenBack - next)
  }
  decided' = decided - n -> Version
  installed' = installed and ready' = ready and term' = term
  sameOperators and sameLease
}

pred idle { sameOperators and sameNodes and sameConfig and sameLease }

fact behaviour {
  init
  always (
    idle or expire
    or (some o : Operator | readHead[o] or publish[o, 0] or publish[o, 1] or readBack[o])
    or (some n : Node | restart[n] or becomeReady[n] or acquire[n] or holderWrites[n]
          or decide[n] or takeBack[n] or permit[n] or (some v : Version | receive[n, v])))
}

-- Properties

assert NodeNeverGoesBack {
  always all n : Node |
    (some n.installed and some n.installed')
      implies versions/gte[n.installed', n.installed]
}

assert CallsNeverRunOnOlderAfterRestart {
  always all n : Node, v : Version |
    (v = n.ready) implies always (some n.ready implies versions/gte[n.ready, v])
}

assert HeadNeverGoesBack {
  always versions/gte[Platform.head', Platform.head]
}

assert AcceptedIsNeverLost {
  always all o : Operator, v : o.won | Platform.author[v] = o
}

assert OneWinnerAVersion {
  always all v : Version | lone o : Operator | v in o.won
}

assert LapsedLeadWritesNothing {
  always terms/gte[Platform.writtenTerm', Platform.writtenTerm]
}

assert TakenBackStays {
  always (Platform.head in Platform.takenBack implies Platform.head' in Platform.takenBack')
}

run reachable {
  eventually (some o : Operator | some o.won)
  eventually (some Platform.takenBack)
  eventually (terms/gt[Platform.writtenTerm, terms/first])
  eventually (some n : Node | some n.ready)
} for SCOPE
check NodeNeverGoesBack for SCOPE
check CallsNeverRunOnOlderAfterRestart for SCOPE
check HeadNeverGoesBack for SCOPE
check AcceptedIsNeverLost for SCOPE
check OneWinnerAVersion for SCOPE
check LapsedLeadWritesNothing for SCOPE
check TakenBackStays for SCOPE
