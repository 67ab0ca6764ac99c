-- Model of the core protocol: publication by conditional update whose response may be lost, a lease
-- with terms whose holder may pause, distribution with reordered and duplicated messages, restart
-- of a node with empty state, and rollback of a bad version.
--
-- A line that ends in "-- guard NAME" is a guard. For each property ProtocolCheckTest also checks
-- the model without one of its guards and expects a counterexample: a property that holds without
-- its guard would show that the check cannot find the fault which the guard prevents.

module protocol

open util/ordering[Version] as versions
open util/ordering[Term] as terms

sig Version {}
sig Term {}

sig Operator {
  var base : lone Version,        -- head that the operator read and will build on
  var unconfirmed : lone Version, -- version whose write got no response
  var confirmed : set Version     -- versions that the operator was told it published
}

sig Node {
  var installed : lone Version,   -- newest configuration received; none after a start
  var serving : lone Version,     -- version used for calls; none until the head was read
  var term : lone Term,           -- term under which the node acts as lease holder
  var decisionBase : lone Version -- head on which the pending rollout decision is based
}

one sig Platform {
  var head : one Version,         -- newest published configuration
  var author : Version -> Operator, -- operator that published a version; none for rollout steps
  var leaseTerm : one Term,       -- term of the current lease
  var holder : lone Node,
  var expiredHolder : lone Node,  -- holder whose lease stayed unchanged for its duration
  var writtenTerm : one Term,     -- fencing token in the object that only the lease holder writes
  var rolledBack : set Version    -- heads that give the bad service version no traffic
}

pred init {
  no base and no unconfirmed and no confirmed
    and no installed and no serving and no term and no decisionBase
  Platform.head = versions/first
  no author
  Platform.leaseTerm = terms/first
  no holder and no expiredHolder
  Platform.writtenTerm = terms/first
  no rolledBack
}

pred operatorsUnchanged { base' = base and unconfirmed' = unconfirmed and confirmed' = confirmed }
pred nodesUnchanged {
  installed' = installed and serving' = serving and term' = term and decisionBase' = decisionBase
}
pred configUnchanged { head' = head and author' = author and rolledBack' = rolledBack }
pred leaseUnchanged {
  leaseTerm' = leaseTerm and holder' = holder and expiredHolder' = expiredHolder
    and writtenTerm' = writtenTerm
}

-- Publication

pred readHead [o : Operator] {
  no o.unconfirmed
  base' = base ++ o -> Platform.head
  unconfirmed' = unconfirmed and confirmed' = confirmed
  nodesUnchanged and configUnchanged and leaseUnchanged
}

-- The write succeeds in both cases; answered is 0 if the response is lost.
pred publish [o : Operator, answered : Int] {
  some o.base and no o.unconfirmed
  o.base = Platform.head                                                  -- guard conditional-write
  let next = o.base.(versions/next) {
    some next
    head' = Platform -> next
    author' = author - Platform -> next -> Operator + Platform -> next -> o
    -- A new version is built on the head that was read and so inherits whether the bad service
    -- version is rolled back.
    rolledBack' = (o.base in Platform.rolledBack
      implies Platform -> (Platform.rolledBack + next)
      else Platform -> (Platform.rolledBack - next))
    answered = 1 implies (confirmed' = confirmed + o -> next and unconfirmed' = unconfirmed)
                 else (confirmed' = confirmed and unconfirmed' = unconfirmed + o -> next)
  }
  base' = base - o -> Version
  nodesUnchanged and leaseUnchanged
}

-- After a lost response the operator reads the head back to learn whether its write succeeded.
pred resolveUnconfirmed [o : Operator] {
  some o.unconfirmed
  -- The head contains the release notes it was built from, which identify the author of a version.
  (o in Platform.author[o.unconfirmed] implies confirmed' = confirmed + o -> o.unconfirmed else confirmed' = confirmed)  -- guard read-back
  unconfirmed' = unconfirmed - o -> Version
  base' = base
  nodesUnchanged and configUnchanged and leaseUnchanged
}

-- Distribution: any published version may arrive late, more than once or out of order.

pred receiveVersion [n : Node, v : Version] {
  v in versions/prevs[Platform.head] + Platform.head
  no n.installed or versions/gt[v, n.installed]                           -- guard newer-only
  installed' = installed ++ n -> v
  serving' = (some n.serving implies serving ++ n -> v else serving)
  term' = term and decisionBase' = decisionBase
  operatorsUnchanged and configUnchanged and leaseUnchanged
}

-- A restarted node has lost all state, its term included.
pred restart [n : Node] {
  installed' = installed - n -> Version
  serving' = serving - n -> Version
  term' = term - n -> Term
  decisionBase' = decisionBase - n -> Version
  operatorsUnchanged and configUnchanged and leaseUnchanged
}

-- A started node accepts calls only after it has read the head from the platform.
pred becomeReady [n : Node] {
  no n.serving
  some v : versions/prevs[Platform.head] + Platform.head {
    v = Platform.head                                                     -- guard head-first
    installed' = installed ++ n -> v
    serving' = serving ++ n -> v
  }
  term' = term and decisionBase' = decisionBase
  operatorsUnchanged and configUnchanged and leaseUnchanged
}

-- Lease

-- The holder's lease is observed unchanged for its whole duration, so another node may acquire it.
pred expireLease {
  some Platform.holder
  expiredHolder' = Platform -> Platform.holder
  leaseTerm' = leaseTerm and holder' = holder and writtenTerm' = writtenTerm
  operatorsUnchanged and nodesUnchanged and configUnchanged
}

pred acquireLease [n : Node] {
  no Platform.holder or Platform.expiredHolder = Platform.holder
  let next = Platform.leaseTerm.(terms/next) {
    some next
    leaseTerm' = Platform -> next
    term' = term ++ n -> next
  }
  holder' = Platform -> n
  no expiredHolder'
  writtenTerm' = writtenTerm
  installed' = installed and serving' = serving and decisionBase' = decisionBase
  operatorsUnchanged and configUnchanged
}

-- A holder that was paused beyond the end of its lease still writes under its old term.
pred leaseHolderWrites [n : Node] {
  some n.term
  terms/gte[n.term, Platform.writtenTerm]                                 -- guard fencing
  writtenTerm' = Platform -> n.term
  leaseTerm' = leaseTerm and holder' = holder and expiredHolder' = expiredHolder
  operatorsUnchanged and nodesUnchanged and configUnchanged
}

-- Rollout: a decision is based on a head and may be written long after that head was read.

pred decide [n : Node] {
  some n.term
  decisionBase' = decisionBase ++ n -> Platform.head
  installed' = installed and serving' = serving and term' = term
  operatorsUnchanged and configUnchanged and leaseUnchanged
}

pred rollBack [n : Node] {
  n.decisionBase = Platform.head
  let next = n.decisionBase.(versions/next) {
    some next
    head' = Platform -> next
    author' = author
    rolledBack' = Platform -> (Platform.rolledBack + next)
  }
  decisionBase' = decisionBase - n -> Version
  installed' = installed and serving' = serving and term' = term
  operatorsUnchanged and leaseUnchanged
}

-- Gives the new service version a larger share of the traffic. Must not undo a rollback.
pred advanceRollout [n : Node] {
  some n.decisionBase
  n.decisionBase = Platform.head                                   -- guard decision-on-current-head
  Platform.head not in Platform.rolledBack                         -- guard rollback-stays
  let next = Platform.head.(versions/next) {
    some next
    head' = Platform -> next
    author' = author
    rolledBack' = Platform -> (Platform.rolledBack - next)
  }
  decisionBase' = decisionBase - n -> Version
  installed' = installed and serving' = serving and term' = term
  operatorsUnchanged and leaseUnchanged
}

pred stutter { operatorsUnchanged and nodesUnchanged and configUnchanged and leaseUnchanged }

fact behaviour {
  init
  always (
    stutter or expireLease
    or (some o : Operator |
          readHead[o] or publish[o, 0] or publish[o, 1] or resolveUnconfirmed[o])
    or (some n : Node | restart[n] or becomeReady[n] or acquireLease[n] or leaseHolderWrites[n]
          or decide[n] or rollBack[n] or advanceRollout[n]
          or (some v : Version | receiveVersion[n, v])))
}

-- Properties

-- Holds between restarts; a restart empties the installed version.
assert InstalledVersionNeverDecreases {
  always all n : Node |
    (some n.installed and some n.installed')
      implies versions/gte[n.installed', n.installed]
}

-- Holds across restarts too: calls never run on an older version than before the restart.
assert ServingVersionNeverDecreases {
  always all n : Node, v : Version |
    (v = n.serving) implies always (some n.serving implies versions/gte[n.serving, v])
}

assert HeadNeverDecreases {
  always versions/gte[Platform.head', Platform.head]
}

-- A version that was confirmed to its operator is never overwritten by another operator.
assert ConfirmedVersionIsNeverLost {
  always all o : Operator, v : o.confirmed | Platform.author[v] = o
}

assert OnePublisherPerVersion {
  always all v : Version | lone o : Operator | v in o.confirmed
}

-- A stale lease holder cannot overwrite what a holder with a later term wrote.
assert WrittenTermNeverDecreases {
  always terms/gte[Platform.writtenTerm', Platform.writtenTerm]
}

assert RollbackIsNeverUndone {
  always (Platform.head in Platform.rolledBack implies Platform.head' in Platform.rolledBack')
}

-- Rules out a model that satisfies all properties only because nothing can happen.
run reachable {
  eventually (some o : Operator | some o.confirmed)
  eventually (some Platform.rolledBack)
  eventually (terms/gt[Platform.writtenTerm, terms/first])
  eventually (some n : Node | some n.serving)
} for SCOPE
check InstalledVersionNeverDecreases for SCOPE
check ServingVersionNeverDecreases for SCOPE
check HeadNeverDecreases for SCOPE
check ConfirmedVersionIsNeverLost for SCOPE
check OnePublisherPerVersion for SCOPE
check WrittenTermNeverDecreases for SCOPE
check RollbackIsNeverUndone for SCOPE
