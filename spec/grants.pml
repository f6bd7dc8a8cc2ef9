// variants: LIFETIME_AFTER_WRITE NO_COMPARE NO_FIRST_BYTE_CHECK NO_GUARD NO_OPEN_WRITES NO_REQUEST_TIME NO_SETTLING OBSERVE_ROW_TIME SLOT_OF_RUNNING_HOLDER
//
// Grants of one budget. Two holders share one row with a cap of 2 units: one
// floor slot of 1 unit, and grants of at most 1 unit for each holder. The model
// checks that the units in use or still usable never add up to more than the
// cap.
//
// Some faults have no transition of their own: a paused holder takes no
// transitions while the clock ticks; an outage is a time without reads and
// applied writes; a lost response is an applied write that the holder finds only
// by a later read; a late commit is a write applied long after it was sent.
//
// Mapping to the code (package store):
//
//   propose (grow, renew, shrink, slots)  GrantLedger.Propose
//   reclaimable()                         GrantLedger.reclaimExpired, GrantLedgerConfig.reclaimAfter
//   usable()                              GrantLedger.Allowance, GrantAllowance.ReservedUnits
//   readRow                               GrantLedger.Observe, RecordCommit, adopt
//   applyWrite                            Table.Commit with a condition on the version
//   unitsInUse (acquire and send)         Budgets.Acquire, Permit.Valid
//   nonce[h]                              GrantHolder.Nonce
//   writeOpen[h]                          GrantLedger.hasOpenWrites, openTotal, openFloor
//   nonceSeen[h], nonceAge[h]             GrantLedger.sightings
//
// Versions are not counted. Instead viewCurrent[h] and baseCurrent[h] say
// whether the row still has the version that h has read and that h's write is
// conditioned on. Each holder has at most one write in flight; the tests of the
// package cover further writes on the same version.

#define HOLDERS 2
#define CAP 2
#define LIFETIME 2
#define NO_HOLDER 2
#define OTHER(h) (1 - (h))

#ifdef NO_GUARD
#define RECLAIM_MARGIN 0
#else
#define RECLAIM_MARGIN 1
#endif

// MAX_REQUEST is the longest time that a request runs, REQUEST_WAIT how long a
// grant is kept for it before it is reclaimed. A request that is sent between
// two ticks also ends between two ticks, so it still runs after MAX_REQUEST
// ticks and has ended after MAX_REQUEST + 1.
#define MAX_REQUEST 1
#ifdef NO_REQUEST_TIME
#define REQUEST_WAIT 0
#else
#define REQUEST_WAIT MAX_REQUEST
#endif

#define MAX_AGE (LIFETIME + RECLAIM_MARGIN + REQUEST_WAIT)

// The values of nonce[h]: h has no valid write in the row, its write that it
// has read, its open write.
#define CLEARED 0
#define KNOWN 1
#define OPEN 2

// The row.
bit grant[HOLDERS];
byte slot = NO_HOLDER;
byte nonce[HOLDERS];

// What a holder knows: its grant, the remaining ticks of its lifetime, whether
// its clock may still miss a tick in it, and whether it has the floor slot.
bit knownGrant[HOLDERS];
byte remaining[HOLDERS];
bit mayMissTick[HOLDERS];
bit knownFloor[HOLDERS];
bit viewCurrent[HOLDERS];

// The open write of each holder. writeInFlight is true while it may still take
// effect.
bit writeOpen[HOLDERS];
bit writeInFlight[HOLDERS];
bit baseCurrent[HOLDERS];
bit writeGrant0[HOLDERS];
bit writeGrant1[HOLDERS];
byte writeSlot[HOLDERS];
byte writeRemaining[HOLDERS];
bit writeMayMissTick[HOLDERS];

// What a holder has seen of the other holder's nonce, and for how many ticks.
bit nonceSeen[HOLDERS];
byte nonceAge[HOLDERS];

// The units that load upstreams, and the ticks after which the last of their
// requests has ended.
byte unitsInUse[HOLDERS];
byte ticksLeft[HOLDERS];
#ifdef NO_FIRST_BYTE_CHECK
bit acquired[HOLDERS];
#endif
bit ended[HOLDERS];
bit listedAsEnded[HOLDERS];

#define writeOwnGrant(h) ((h) == 0 -> writeGrant0[h] : writeGrant1[h])
#define writeOwnFloor(h) (writeSlot[h] == (h))

#ifdef NO_OPEN_WRITES
#define openTotal(h) CAP
#define openFloor(h) CAP
#else
#define openTotal(h) (writeOpen[h] -> writeOwnGrant(h) + writeOwnFloor(h) : CAP)
#define openFloor(h) (writeOpen[h] -> writeOwnFloor(h) : CAP)
#endif

#define minimum(a, b) ((a) < (b) -> (a) : (b))
#define usable(h) (ended[h] -> 0 : (remaining[h] > 0 -> minimum(knownGrant[h] + knownFloor[h], openTotal(h)) : minimum(knownFloor[h], openFloor(h))))
#define usedOrUsable(h) (unitsInUse[h] > usable(h) -> unitsInUse[h] : usable(h))

#define reclaimable(h) (nonce[OTHER(h)] != CLEARED && nonceSeen[h] && nonceAge[h] >= (listedAsEnded[OTHER(h)] -> LIFETIME + RECLAIM_MARGIN : MAX_AGE))

hidden byte firstUnits, secondUnits;

inline checkCap() {
	firstUnits = usedOrUsable(0);
	secondUnits = usedOrUsable(1);
	assert(firstUnits + secondUnits <= CAP)
}

// clearUnused resets variables that have no further effect, so that there are
// fewer distinct states.
inline clearUnused(h) {
	if
	:: !grant[OTHER(h)] || ended[h] -> nonceSeen[h] = 0; nonceAge[h] = 0
	:: else
	fi;
#ifndef NO_COMPARE
	if
	:: writeOpen[h] && !baseCurrent[h] ->
		writeInFlight[h] = 0;
		if
		:: h == 0 -> writeGrant1[h] = 0
		:: else -> writeGrant0[h] = 0
		fi;
		writeSlot[h] = (writeSlot[h] == h -> h : NO_HOLDER);
		if
		:: nonce[h] != OPEN -> writeRemaining[h] = 0; writeMayMissTick[h] = 0
		:: else
		fi
	:: else
	fi;
#endif
	if
	:: ended[h] && !writeInFlight[h] ->
		writeOpen[h] = 0; baseCurrent[h] = 0; writeGrant0[h] = 0; writeGrant1[h] = 0;
		writeSlot[h] = NO_HOLDER; writeRemaining[h] = 0; writeMayMissTick[h] = 0
	:: else
	fi
}

// propose sends a write that gives the holder g units and the floor slot to s.
// It reclaims the grant of the other holder if that has expired.
inline propose(h, g, s) {
	byte other;
	other = grant[OTHER(h)];
	if
	:: reclaimable(h) -> other = 0
	:: else
	fi;
	if
	:: g + other + (s != NO_HOLDER) <= CAP && unitsInUse[h] <= g + (s == h) ->
		writeOpen[h] = 1;
		writeInFlight[h] = 1;
		baseCurrent[h] = 1;
		if
		:: h == 0 -> writeGrant0[h] = g; writeGrant1[h] = other
		:: else -> writeGrant1[h] = g; writeGrant0[h] = other
		fi;
		writeSlot[h] = s;
		writeRemaining[h] = g * LIFETIME;
		writeMayMissTick[h] = g;
#ifdef NO_SETTLING
		knownGrant[h] = g;
		remaining[h] = g * LIFETIME;
		mayMissTick[h] = g;
		writeOpen[h] = 0
#endif
	:: else
	fi;
	other = 0
}

// applyWrite executes a write if the row still has the version that the write
// is conditioned on.
inline applyWrite(h) {
	writeInFlight[h] = 0;
	if
#ifdef NO_COMPARE
	:: true ->
#else
	:: baseCurrent[h] ->
#endif
		if
		:: (h == 0 -> writeGrant1[h] : writeGrant0[h]) < grant[OTHER(h)] -> nonce[OTHER(h)] = CLEARED
		:: else
		fi;
		grant[0] = writeGrant0[h];
		grant[1] = writeGrant1[h];
		slot = writeSlot[h];
		nonce[h] = OPEN;
		nonceSeen[OTHER(h)] = 0;
		viewCurrent[0] = 0;
		viewCurrent[1] = 0;
		baseCurrent[0] = 0;
		baseCurrent[1] = 0
	:: else
	fi;
	clearUnused(0);
	clearUnused(1)
}

// readRow reads the row, resolves the open write, and starts to watch a new
// nonce.
inline readRow(h) {
	if
	:: nonce[h] == OPEN ->
		nonce[h] = KNOWN;
#ifdef LIFETIME_AFTER_WRITE
		remaining[h] = writeOwnGrant(h) * LIFETIME;
#else
		remaining[h] = writeRemaining[h];
#endif
		mayMissTick[h] = writeMayMissTick[h]
	:: nonce[h] == CLEARED -> remaining[h] = 0; mayMissTick[h] = 0
	:: else
	fi;
	knownGrant[h] = grant[h];
	knownFloor[h] = (slot == h);
	if
	:: !baseCurrent[h] ->
		writeOpen[h] = 0;
		writeInFlight[h] = 0;
		writeGrant0[h] = 0;
		writeGrant1[h] = 0;
		writeSlot[h] = NO_HOLDER;
		writeRemaining[h] = 0;
		writeMayMissTick[h] = 0
	:: else
	fi;
	if
	:: !nonceSeen[h] && grant[OTHER(h)] ->
		nonceSeen[h] = 1;
#ifdef OBSERVE_ROW_TIME
		nonceAge[h] = LIFETIME
#else
		nonceAge[h] = 0
#endif
	:: else
	fi;
	if
	:: !grant[h] -> remaining[h] = 0; mayMissTick[h] = 0
	:: else
	fi;
	viewCurrent[h] = 1
}

// tick advances one holder's clock. The clock may miss one tick in a lifetime.
inline tick(h) {
	if
	:: (remaining[h] == 0 || mayMissTick[h]) && (writeRemaining[h] == 0 || writeMayMissTick[h]) && (remaining[h] > 0 || writeRemaining[h] > 0) ->
		mayMissTick[h] = 0;
		writeMayMissTick[h] = 0
	:: true ->
		remaining[h] = (remaining[h] > 0 -> remaining[h] - 1 : 0);
		writeRemaining[h] = (writeRemaining[h] > 0 -> writeRemaining[h] - 1 : 0)
	fi;
	if
	:: remaining[h] == 0 -> mayMissTick[h] = 0
	:: else
	fi;
	if
	:: writeRemaining[h] == 0 -> writeMayMissTick[h] = 0
	:: else
	fi;
	nonceAge[h] = (nonceSeen[h] && nonceAge[h] < MAX_AGE -> nonceAge[h] + 1 : nonceAge[h]);
	ticksLeft[h] = (ticksLeft[h] > 0 -> ticksLeft[h] - 1 : 0);
	unitsInUse[h] = (ticksLeft[h] == 0 -> 0 : unitsInUse[h])
}

#ifdef SLOT_OF_RUNNING_HOLDER
#define mayTakeSlot(h) (slot == NO_HOLDER || slot == OTHER(h))
#else
#define mayTakeSlot(h) (slot == NO_HOLDER || (slot == OTHER(h) && listedAsEnded[OTHER(h)]))
#endif

#define mayWrite(h) (viewCurrent[h] && (!writeOpen[h] || !writeInFlight[h]))

proctype Holder(byte me) {
	do
	:: d_step { !ended[me] && !viewCurrent[me] -> readRow(me); checkCap() }
	:: d_step { !ended[me] && mayWrite(me) -> propose(me, 1, slot); checkCap() }
	:: d_step { !ended[me] && mayWrite(me) && grant[me] -> propose(me, 0, slot); checkCap() }
	:: d_step { !ended[me] && mayWrite(me) && mayTakeSlot(me) -> propose(me, grant[me], me); checkCap() }
	:: d_step { !ended[me] && mayWrite(me) && slot == me -> propose(me, grant[me], NO_HOLDER); checkCap() }
#ifdef NO_FIRST_BYTE_CHECK
	:: d_step { !ended[me] && !acquired[me] && unitsInUse[me] < usable(me) -> acquired[me] = 1 }
	:: d_step { !ended[me] && acquired[me] && unitsInUse[me] < CAP ->
			acquired[me] = 0; unitsInUse[me]++; ticksLeft[me] = MAX_REQUEST + 1; checkCap() }
#else
	:: d_step { !ended[me] && unitsInUse[me] < usable(me) -> unitsInUse[me]++; ticksLeft[me] = MAX_REQUEST + 1; checkCap() }
#endif
	:: d_step { !ended[me] && !ended[OTHER(me)] ->
			ended[me] = 1; unitsInUse[me] = 0; ticksLeft[me] = 0; viewCurrent[me] = 0;
#ifdef NO_FIRST_BYTE_CHECK
			acquired[me] = 0;
#endif
			knownGrant[me] = 0; remaining[me] = 0; mayMissTick[me] = 0; knownFloor[me] = 0; clearUnused(me) }
	od
}

proctype Environment() {
	do
	:: d_step { writeInFlight[0] -> applyWrite(0); checkCap() }
	:: d_step { writeInFlight[1] -> applyWrite(1); checkCap() }
	:: d_step { writeInFlight[0] -> writeInFlight[0] = 0; clearUnused(0) }
	:: d_step { writeInFlight[1] -> writeInFlight[1] = 0; clearUnused(1) }
	:: atomic { true -> tick(0); tick(1); checkCap() }
	:: d_step { ended[0] && !listedAsEnded[0] -> listedAsEnded[0] = 1 }
	:: d_step { ended[1] && !listedAsEnded[1] -> listedAsEnded[1] = 1 }
	od
}

init {
	atomic {
		writeSlot[0] = NO_HOLDER;
		writeSlot[1] = NO_HOLDER;
		run Holder(0);
		run Holder(1);
		run Environment()
	}
}
