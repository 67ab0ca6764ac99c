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
  var base : lone Version,        -- head that the operator builds on
  var unconfirmed : lone Version, -- version whose answer was lost
  var confirmed : set Version     -- versions that the operator was told it published
}

sig Node {
  var installed : lone Version,   -- none after a start
  var serving : lone Version,     -- version on which calls run, none until the head was read
  var term : lone Term,           -- term under which the node believes to hold the duty
  var decisionBase : lone Version -- head on which a decision of the node rests
}

one sig Platform {
  var head : one Version,
  var author : Version -> Operator,
  var leaseTerm : one Term,
  var holder : lone Node,
  var expiredHolder : lone Node,  -- holder whose lease was seen unchanged for its duration
  var writtenTerm : one Term,     -- term in the object that only the holder writes
  var rolledBack : set Version    -- heads in which the bad version has no traffic
}

pred init {
  no base and no unconfirmed and no confirmed
  no installed and no serving and no term and no decisionBase
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

pred publish [o : Operator, answered : Int] {
  some o.base and no o.unconfirmed
  o.base = Platform.head                                                  -- guard conditional-write
  let next = o.base.(versions/next) {
    some next
    head' = Platform -> next
    author' = author - Platform -> next -> Operator + Platform -> next -> o
    -- What a later version holds is built on the head that was read.
    rolledBack' = (o.base in Platform.rolledBack
      implies Platform -> (Platform.rolledBack + next)
      else Platform -> (Platform.rolledBack - next))
    answered = 1 implies (confirmed' = confirmed + o -> next and unconfirmed' = unconfirmed)
                 else (confirmed' = confirmed and unconfirmed' = unconfirmed + o -> next)
  }
  base' = base - o -> Version
  nodesUnchanged and leaseUnchanged
}

pred resolveUnconfirmed [o : Operator] {
  some o.unconfirmed
  -- The head carries the notes it was built from, so that the author of a version can be told.
  (o in Platform.author[o.unconfirmed] implies confirmed' = confirmed + o -> o.unconfirmed else confirmed' = confirmed)  -- guard read-back
  unconfirmed' = unconfirmed - o -> Version
  base' = base
  nodesUnchanged and configUnchanged and leaseUnchanged
}

-- Distribution: any version ever published may arrive, late, again, or out of order.

pred receiveVersion [n : Node, v : Version] {
  v in versions/prevs[Platform.head] + Platform.head
  no n.installed or versions/gt[v, n.installed]                           -- guard newer-only
  installed' = installed ++ n -> v
  serving' = (some n.serving implies serving ++ n -> v else serving)
  term' = term and decisionBase' = decisionBase
  operatorsUnchanged and configUnchanged and leaseUnchanged
}

pred restart [n : Node] {
  installed' = installed - n -> Version
  serving' = serving - n -> Version
  term' = term - n -> Term
  decisionBase' = decisionBase - n -> Version
  operatorsUnchanged and configUnchanged and leaseUnchanged
}

-- A node that started takes calls once it has read the platform's head.
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

-- A holder that was paused past its lease still believes in its term when it writes.
pred leaseHolderWrites [n : Node] {
  some n.term
  terms/gte[n.term, Platform.writtenTerm]                                 -- guard fencing
  writtenTerm' = Platform -> n.term
  leaseTerm' = leaseTerm and holder' = holder and expiredHolder' = expiredHolder
  operatorsUnchanged and nodesUnchanged and configUnchanged
}

-- Rollout: a decision rests on a head and may be written long after.

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

-- A larger share for the version. It must not undo a take-back.
pred advanceRollout [n : Node] {
  some n.decisionBase
  n.decisionBase = Platform.head                                          -- guard decision-on-current-head
  Platform.head not in Platform.rolledBack                                -- guard rollback-stays
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

assert InstalledVersionNeverDecreases {
  always all n : Node |
    (some n.installed and some n.installed')
      implies versions/gte[n.installed', n.installed]
}

assert ServingVersionNeverDecreases {
  always all n : Node, v : Version |
    (v = n.serving) implies always (some n.serving implies versions/gte[n.serving, v])
}

assert HeadNeverDecreases {
  always versions/gte[Platform.head', Platform.head]
}

assert ConfirmedVersionIsNeverLost {
  always all o : Operator, v : o.confirmed | Platform.author[v] = o
}

assert OnePublisherPerVersion {
  always all v : Version | lone o : Operator | v in o.confirmed
}

assert WrittenTermNeverDecreases {
  always terms/gte[Platform.writtenTerm', Platform.writtenTerm]
}

assert RollbackIsNeverUndone {
  always (Platform.head in Platform.rolledBack implies Platform.head' in Platform.rolledBack')
}

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
