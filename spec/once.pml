// At-most-once execution of one keyed request. Every send of the request is an
// attempt at some entry; all attempts may be under way at the same time, which
// covers re-sends through any entry and pauses of any length.
//
// variants: NO_INSERT_CHECK NO_ATTEMPT_CHECK NO_RELEASE_CHECK RELEASE_AFTER_SEND TAKE_OVER RUN_AFTER_GIVE_UP NO_SETTLE SETTLE_BY_READ NO_BEGIN_LIMIT

#define ATTEMPTS 3

mtype = { free, permitted, released, done };            // the row
mtype = { none, ok, conflict, error };                  // outcomes of a commit
mtype = { insert, check, hold, sent, release, settle, over }; // an attempt

// The key's row. Version 0 means that there is no row.
mtype state = free;
byte owner;
byte version;
byte commits;

// A commit whose answer was an error and that may still take effect.
typedef Commit {
	bool pending;
	bool blind; // without a condition
	byte base;
	mtype state;
	byte owner
}
Commit late;

byte runs;              // how often the request ran
byte started;
byte ended;
bool asking[ATTEMPTS];  // which attempts asked and have no permission yet
bool expired[ATTEMPTS]; // which attempts are older than the begin limit
bool crashed;
bool cleaned;

inline write(base_, state_, owner_, blind_) {
	if
	:: version == base_ || blind_ ->
		commits++;
		version = commits;
		state = state_;
		owner = owner_
	:: else
	fi
}

// One commit with its possible outcomes. After a conflict, seen* hold the row.
inline commit(state_, blind_) {
	if
	:: version == base || blind_ ->
		write(base, state_, me, blind_);
		seenVersion = version;
		result = ok
	:: version != base && !blind_ ->
		read();
		result = conflict
	:: version == base || blind_ -> // The answer is lost.
		write(base, state_, me, blind_);
		result = error
	:: !late.pending -> // It takes effect later or never.
		late.pending = true;
		late.blind = blind_;
		late.base = base;
		late.state = state_;
		late.owner = me;
		result = error
	fi
}

inline read() {
	seenState = state;
	seenOwner = owner;
	seenVersion = version
}

// Equal values let the search merge states.
inline forget() {
	result = none;
	seenState = free;
	seenOwner = 0;
	seenVersion = 0
}

// The permission is taken unless the attempt is too old.
inline permit() {
	asking[me] = false;
	base = seenVersion;
	if
#ifndef NO_BEGIN_LIMIT
	:: expired[me] -> giveUp()
#endif
	:: else -> pc = hold
	fi
}

// The caller is told that its request did not run.
inline giveUp() {
	asking[me] = false;
	assert(!ran);
	told = true;
#ifdef NO_SETTLE
	pc = over
#else
	pc = settle
#endif
}

// What the row of a conflict means for an insert.
inline judge() {
	if
	:: seenVersion == 0 || seenState == released -> base = seenVersion; pc = insert
#ifdef NO_ATTEMPT_CHECK
	:: seenState == permitted -> permit()
#else
	:: seenState == permitted && seenOwner == me -> permit()
#endif
#ifdef TAKE_OVER
	:: seenState == permitted && seenOwner != me -> base = seenVersion; pc = insert
#endif
	:: seenState == done || (seenState == permitted && seenOwner != me) ->
		pc = over // The stored answer, InProgress or OutcomeUnknown.
	fi
}

inline crash() {
	crashed = true;
	pc = over
}

proctype Attempt(byte me) {
	mtype pc = insert;
	byte base;
	mtype result = none;
	mtype seenState = free;
	byte seenOwner;
	byte seenVersion;
	bool ran;  // This attempt ran the request.
	bool told; // Its caller was told that it did not run.

	// Attempts are alike, so they are numbered in the order of their starts.
	atomic {
		started == me;
		started++;
		if
		:: cleaned -> pc = over
		:: else -> asking[me] = true
		fi
	}
	do
	:: atomic { pc == insert ->
#ifdef NO_INSERT_CHECK
		commit(permitted, true);
#else
		commit(permitted, false);
#endif
		if
		:: result == ok -> permit()
		:: result == conflict -> judge()
		:: result == error -> pc = check
		:: result == error -> pc = insert
		:: result == error -> giveUp()
		fi;
		forget() }
	:: atomic { pc == check -> // Settles a lost answer by reading.
		read();
		if
		:: seenVersion != base -> judge()
		:: else -> pc = insert
		fi;
		forget() }
	:: atomic { pc == hold ->
		if
		:: crash()
		:: told = true; pc = release // No byte was sent.
		:: assert(!told);
			runs++;
			ran = true;
			assert(runs <= 1);
			pc = sent
		fi }
	:: atomic { pc == sent ->
		if
		:: crash()
#ifdef RELEASE_AFTER_SEND
		:: pc = release
#endif
		:: commit(done, false);
			if
			:: result == error
			:: else -> pc = over
			fi
		fi;
		forget() }
	:: atomic { pc == release ->
		if
		:: crash()
#ifdef NO_RELEASE_CHECK
		:: commit(released, true);
#else
		:: commit(released, false);
#endif
			if
			:: result == error
			:: else -> pc = over
			fi
		fi;
		forget() }
	:: atomic { pc == settle ->
		if
		:: crash()
#ifdef RUN_AFTER_GIVE_UP
		:: state == permitted && owner == me -> base = version; pc = hold
#endif
#ifdef SETTLE_BY_READ
		:: read();
			if
			:: seenState == permitted && seenOwner == me -> base = seenVersion; pc = release
			:: else -> pc = over
			fi
#else
		:: commit(released, false);
			if
			:: result == error
			:: result == ok -> pc = over
			:: result == conflict && seenState == permitted && seenOwner == me -> base = seenVersion
			:: result == conflict && !(seenState == permitted && seenOwner == me) -> pc = over
			fi
#endif
		fi;
		forget() }
	:: atomic { pc == over ->
		asking[me] = false;
		base = 0;
		ran = false;
		told = false;
		ended++;
		break }
	od
}

// Late commits take effect at any time, or never.
active proctype Late() {
endlate:
	do
	:: atomic { late.pending ->
		if
		:: write(late.base, late.state, late.owner, late.blind)
		:: skip
		fi;
		late.pending = false;
		late.blind = false;
		late.base = 0;
		late.state = free;
		late.owner = 0 }
	od
}

// The sweep deletes a row long after its last write. All attempts that asked
// before are by then older than the begin limit, and the promise to remember
// the key ends, so that no attempt starts afterwards.
active proctype Sweep() {
endsweep:
	atomic { (state == done || state == released) ->
		cleaned = true;
		expired[0] = asking[0];
		expired[1] = asking[1];
		expired[2] = asking[2];
		state = free;
		owner = 0;
		version = 0 }
}

// Once all is settled without a crash, no attempt that did not run holds the
// key. After a sweep a late insert may hold it, which runs nothing.
active proctype Settled() {
	atomic {
		ended == ATTEMPTS && !late.pending;
		assert(crashed || cleaned || state != permitted)
	}
}

init {
	atomic {
		run Attempt(0);
		run Attempt(1);
		run Attempt(2)
	}
}
