// Switches that break one mechanism each, for tests that prove that the checks bite.
//
// They exist only where FIGRACK_SABOTAGE is defined, which is in one test
// program's own build of this package. In the product each is a constant false
// and the code behind it is gone.

#ifndef FIGRACK_COORD_SABOTAGE_H
#define FIGRACK_COORD_SABOTAGE_H

namespace figrack::coord {

#ifdef FIGRACK_SABOTAGE
#define FIGRACK_SWITCH inline bool
#else
#define FIGRACK_SWITCH constexpr bool
#endif

/// Each switch names what is broken.
namespace sabotage {

FIGRACK_SWITCH ackBeforeSync = false;       ///< A follower acknowledges before it stores.
FIGRACK_SWITCH voteBeforeSync = false;      ///< Terms and votes for others are never stored.
FIGRACK_SWITCH voteForShorterLog = false;   ///< The candidate's log is not looked at.
FIGRACK_SWITCH noLeaseWait = false;         ///< Votes are given while a leader is being heard.
FIGRACK_SWITCH noWaitAfterRestart = false;  ///< A restarted replica votes at once.
FIGRACK_SWITCH noDriftAllowance = false;    ///< The lease is as long as the election timeout.
FIGRACK_SWITCH leaseFromAnswer = false;     ///< The lease runs from the answer, not the sending.
FIGRACK_SWITCH keepLeaseOnTransfer = false; ///< Leadership is handed over under a lease.
FIGRACK_SWITCH leaseBeforeNoop = false;     ///< A lease is held before the own entry is applied.
FIGRACK_SWITCH commitOlderTerm = false;     ///< Entries of earlier terms commit by count.
FIGRACK_SWITCH commitWithoutQuorum = false; ///< One follower's answer commits.
FIGRACK_SWITCH promoteAtOnce = false;       ///< Learners become voters without catching up.
FIGRACK_SWITCH manyChangesAtOnce = false;   ///< Membership changes overlap.
FIGRACK_SWITCH ignoreIncarnation = false;   ///< A wiped disk counts as the one before it.
FIGRACK_SWITCH foundWithSome = false;       ///< A majority of founders is enough to found.
FIGRACK_SWITCH noOldCopyCheck = false;      ///< An old copy of a disk is not looked for.
FIGRACK_SWITCH installBeforeSync = false;   ///< A snapshot is acknowledged and never stored.
FIGRACK_SWITCH noPreviousCheck = false;     ///< Entries are taken without the one before.

} // namespace sabotage

#undef FIGRACK_SWITCH

} // namespace figrack::coord

#endif // FIGRACK_COORD_SABOTAGE_H
