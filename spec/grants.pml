// variants: LIFETIME_AFTER_WRITE NO_COMPARE NO_FIRST_BYTE_CHECK NO_GUARD NO_OPEN_WRITES NO_REQUEST_TIME NO_SETTLING OBSERVE_ROW_TIME SLOT_OF_RUNNING_HOLDER
//
// Grants of one budget. Two holders share one row with a cap of 2 units: one
// floor slot of 1 unit, and grants of at most 1 unit for each holder. The model
// checks that the units in use, or still usable, never add up to more than the
// cap.
//
// What has no transition of its own: a paused holder is one that does not act
// while the clock ticks; an outage is a time without reads and landings; a lost
// answer is a landing that the holder finds only by a later read; a late commit
// is a landing long after the write was sent.
//
// Mapping to the code (package platform):
//
//   Propose (grow, renew, shrink, slots)  GrantLedger.Propose
//   lapsed()                              GrantLedger.lapse, LedgerConfig.lapseAfter
//   usable()                              GrantLedger.Allowance, GrantAllowance.Reserved
//   Read                                  GrantLedger.Observe, Committed, adopt
//   Land                                  Table.Commit with a condition on the version
//   Acquire, Send                         Budgets.Acquire, Hold.Valid
//   nonce[h]                              GrantHolder.Nonce
//   wopen[h]                              GrantLedger.open, openTotal, openFloor
//   seen[h], age[h]                       GrantLedger.seen
//
// A version is not counted. Instead viewOK[h] and baseOK[h] say whether the row
// still has the version that h has read and that h's write is conditioned on.
// Each holder has at most one write on its way; further writes on the same
// version are checked by the tests of the package.

#define N 2
#define CAP 2
#define LIFE 2
#define NONE 2
#define OTHER(h) (1 - (h))

#ifdef NO_GUARD
#define GUARD 0
#else
#define GUARD 1
#endif

// REQ is the longest time that a request runs, WAIT what the reclaimer adds
// for it. A request that is sent between two ticks ends between two ticks, so
// it is still there after REQ ticks and gone after REQ + 1.
#define REQ 1
#ifdef NO_REQUEST_TIME
#define WAIT 0
#else
#define WAIT REQ
#endif

#define OLDEST (LIFE + GUARD + WAIT)

// Values of nonce[h]: no write of h, the write that h knows of, the open write.
#define CLEARED 0
#define KNOWN 1
#define OPEN 2

// The row.
bit grant[N];
byte slot = NONE;
byte nonce[N];

// What a holder knows: its grant, the rest of its lifetime, how many ticks its
// clock may still miss in it, and whether it holds the slot.
bit has[N];
byte rem[N];
bit drift[N];
bit floor[N];
bit viewOK[N];

// The write on its way. wnet is true while it may still land.
bit wopen[N];
bit wnet[N];
bit baseOK[N];
bit wgrant0[N];
bit wgrant1[N];
byte wslot[N];
byte wrem[N];
bit wdrift[N];

// What a holder saw of the other one's nonce.
bit seen[N];
byte age[N];

// Units at upstreams, and the time after which the last of them ends.
byte use[N];
byte left[N];
#ifdef NO_FIRST_BYTE_CHECK
bit acquired[N];
#endif
bit dead[N];
bit listed[N];

#define wown(h) ((h) == 0 -> wgrant0[h] : wgrant1[h])
#define wfloor(h) (wslot[h] == (h))

#ifdef NO_OPEN_WRITES
#define openTotal(h) CAP
#define openFloor(h) CAP
#else
#define openTotal(h) (wopen[h] -> wown(h) + wfloor(h) : CAP)
#define openFloor(h) (wopen[h] -> wfloor(h) : CAP)
#endif

#define least(a, b) ((a) < (b) -> (a) : (b))
#define usable(h) (dead[h] -> 0 : (rem[h] > 0 -> least(has[h] + floor[h], openTotal(h)) : least(floor[h], openFloor(h))))
#define inUse(h) (use[h] > usable(h) -> use[h] : usable(h))

#define lapsed(h) (nonce[OTHER(h)] != CLEARED && seen[h] && age[h] >= (listed[OTHER(h)] -> LIFE + GUARD : OLDEST))

hidden byte first, second;

inline check() {
	first = inUse(0);
	second = inUse(1);
	assert(first + second <= CAP)
}

// tidy clears what has no further effect, so that fewer states differ.
inline tidy(h) {
	if
	:: !grant[OTHER(h)] || dead[h] -> seen[h] = 0; age[h] = 0
	:: else
	fi;
#ifndef NO_COMPARE
	if
	:: wopen[h] && !baseOK[h] ->
		wnet[h] = 0;
		if
		:: h == 0 -> wgrant1[h] = 0
		:: else -> wgrant0[h] = 0
		fi;
		wslot[h] = (wslot[h] == h -> h : NONE);
		if
		:: nonce[h] != OPEN -> wrem[h] = 0; wdrift[h] = 0
		:: else
		fi
	:: else
	fi;
#endif
	if
	:: dead[h] && !wnet[h] ->
		wopen[h] = 0; baseOK[h] = 0; wgrant0[h] = 0; wgrant1[h] = 0;
		wslot[h] = NONE; wrem[h] = 0; wdrift[h] = 0
	:: else
	fi
}

// propose sends a write that gives the holder g units and leaves the slot to
// s. It takes back what has lapsed of the other holder.
inline propose(h, g, s) {
	byte other;
	other = grant[OTHER(h)];
	if
	:: lapsed(h) -> other = 0
	:: else
	fi;
	if
	:: g + other + (s != NONE) <= CAP && use[h] <= g + (s == h) ->
		wopen[h] = 1;
		wnet[h] = 1;
		baseOK[h] = 1;
		if
		:: h == 0 -> wgrant0[h] = g; wgrant1[h] = other
		:: else -> wgrant1[h] = g; wgrant0[h] = other
		fi;
		wslot[h] = s;
		wrem[h] = g * LIFE;
		wdrift[h] = g;
#ifdef NO_SETTLING
		has[h] = g;
		rem[h] = g * LIFE;
		drift[h] = g;
		wopen[h] = 0
#endif
	:: else
	fi;
	other = 0
}

// land lets a write take effect if the row has the version it is conditioned
// on.
inline land(h) {
	wnet[h] = 0;
	if
#ifdef NO_COMPARE
	:: true ->
#else
	:: baseOK[h] ->
#endif
		if
		:: (h == 0 -> wgrant1[h] : wgrant0[h]) < grant[OTHER(h)] -> nonce[OTHER(h)] = CLEARED
		:: else
		fi;
		grant[0] = wgrant0[h];
		grant[1] = wgrant1[h];
		slot = wslot[h];
		nonce[h] = OPEN;
		seen[OTHER(h)] = 0;
		viewOK[0] = 0;
		viewOK[1] = 0;
		baseOK[0] = 0;
		baseOK[1] = 0
	:: else
	fi;
	tidy(0);
	tidy(1)
}

// read takes the row, settles the open write, and begins to watch a new nonce.
inline read(h) {
	if
	:: nonce[h] == OPEN ->
		nonce[h] = KNOWN;
#ifdef LIFETIME_AFTER_WRITE
		rem[h] = wown(h) * LIFE;
#else
		rem[h] = wrem[h];
#endif
		drift[h] = wdrift[h]
	:: nonce[h] == CLEARED -> rem[h] = 0; drift[h] = 0
	:: else
	fi;
	has[h] = grant[h];
	floor[h] = (slot == h);
	if
	:: !baseOK[h] ->
		wopen[h] = 0;
		wnet[h] = 0;
		wgrant0[h] = 0;
		wgrant1[h] = 0;
		wslot[h] = NONE;
		wrem[h] = 0;
		wdrift[h] = 0
	:: else
	fi;
	if
	:: !seen[h] && grant[OTHER(h)] ->
		seen[h] = 1;
#ifdef OBSERVE_ROW_TIME
		age[h] = LIFE
#else
		age[h] = 0
#endif
	:: else
	fi;
	if
	:: !grant[h] -> rem[h] = 0; drift[h] = 0
	:: else
	fi;
	viewOK[h] = 1
}

// tick lets one holder's clock advance. It may miss one tick in a lifetime.
inline tick(h) {
	if
	:: (rem[h] == 0 || drift[h]) && (wrem[h] == 0 || wdrift[h]) && (rem[h] > 0 || wrem[h] > 0) ->
		drift[h] = 0;
		wdrift[h] = 0
	:: true ->
		rem[h] = (rem[h] > 0 -> rem[h] - 1 : 0);
		wrem[h] = (wrem[h] > 0 -> wrem[h] - 1 : 0)
	fi;
	if
	:: rem[h] == 0 -> drift[h] = 0
	:: else
	fi;
	if
	:: wrem[h] == 0 -> wdrift[h] = 0
	:: else
	fi;
	age[h] = (seen[h] && age[h] < OLDEST -> age[h] + 1 : age[h]);
	left[h] = (left[h] > 0 -> left[h] - 1 : 0);
	use[h] = (left[h] == 0 -> 0 : use[h])
}

#ifdef SLOT_OF_RUNNING_HOLDER
#define mayTakeSlot(h) (slot == NONE || slot == OTHER(h))
#else
#define mayTakeSlot(h) (slot == NONE || (slot == OTHER(h) && listed[OTHER(h)]))
#endif

#define mayWrite(h) (viewOK[h] && (!wopen[h] || !wnet[h]))

proctype Holder(byte me) {
	do
	:: d_step { !dead[me] && !viewOK[me] -> read(me); check() }
	:: d_step { !dead[me] && mayWrite(me) -> propose(me, 1, slot); check() }
	:: d_step { !dead[me] && mayWrite(me) && grant[me] -> propose(me, 0, slot); check() }
	:: d_step { !dead[me] && mayWrite(me) && mayTakeSlot(me) -> propose(me, grant[me], me); check() }
	:: d_step { !dead[me] && mayWrite(me) && slot == me -> propose(me, grant[me], NONE); check() }
#ifdef NO_FIRST_BYTE_CHECK
	:: d_step { !dead[me] && !acquired[me] && use[me] < usable(me) -> acquired[me] = 1 }
	:: d_step { !dead[me] && acquired[me] && use[me] < CAP ->
			acquired[me] = 0; use[me]++; left[me] = REQ + 1; check() }
#else
	:: d_step { !dead[me] && use[me] < usable(me) -> use[me]++; left[me] = REQ + 1; check() }
#endif
	:: d_step { !dead[me] && !dead[OTHER(me)] ->
			dead[me] = 1; use[me] = 0; left[me] = 0; viewOK[me] = 0;
#ifdef NO_FIRST_BYTE_CHECK
			acquired[me] = 0;
#endif
			has[me] = 0; rem[me] = 0; drift[me] = 0; floor[me] = 0; tidy(me) }
	od
}

proctype World() {
	do
	:: d_step { wnet[0] -> land(0); check() }
	:: d_step { wnet[1] -> land(1); check() }
	:: d_step { wnet[0] -> wnet[0] = 0; tidy(0) }
	:: d_step { wnet[1] -> wnet[1] = 0; tidy(1) }
	:: atomic { true -> tick(0); tick(1); check() }
	:: d_step { dead[0] && !listed[0] -> listed[0] = 1 }
	:: d_step { dead[1] && !listed[1] -> listed[1] = 1 }
	od
}

init {
	atomic {
		wslot[0] = NONE;
		wslot[1] = NONE;
		run Holder(0);
		run Holder(1);
		run World()
	}
}
