// At-most-once execution of one keyed request. Each send of the request is an
// attempt at some entry. All attempts may be in progress at the same time, which
// covers repetitions through any entry and pauses of any length.
//
// variants: NO_INSERT_CHECK NO_ATTEMPT_CHECK NO_RELEASE_CHECK RELEASE_AFTER_SEND TAKE_OVER RUN_AFTER_GIVE_UP NO_SETTLE SETTLE_BY_READ NO_BEGIN_LIMIT

#define ATTEMPTS 3

mtype = { free, permitted, released, completed };            // states of the row
mtype = { none, ok, conflict, error };                  // outcomes of a commit
mtype = { insert, readBack, granted, running, releasing, resolving, finished }; // states of an attempt

// The row of the key. Version 0 means that there is no row.
mtype state = free;
byte writer;
byte version;
byte lastVersion;

// A commit that failed but may still take effect.
typedef Commit {
	bool pending;
	bool unconditional; // without a condition
	byte base;
	mtype state;
	byte writer
}
Commit lateCommit;

byte runCount;              // how often the request ran
byte startedCount;
byte endedCount;
bool waiting[ATTEMPTS];  // whether the attempt waits for its permission
bool pastBeginLimit[ATTEMPTS]; // whether the attempt is older than maxBeginTime
bool crashed;
bool swept;

inline write(base_, state_, writer_, unconditional_) {
	if
	:: version == base_ || unconditional_ ->
		lastVersion++;
		version = lastVersion;
		state = state_;
		writer = writer_
	:: else
	fi
}

// One commit with its possible outcomes. After a conflict, the seen variables
// hold the row.
inline commit(state_, unconditional_) {
	if
	:: version == base || unconditional_ ->
		write(base, state_, self, unconditional_);
		seenVersion = version;
		result = ok
	:: version != base && !unconditional_ ->
		read();
		result = conflict
	:: version == base || unconditional_ -> // The response is lost.
		write(base, state_, self, unconditional_);
		result = error
	:: !lateCommit.pending -> // The commit takes effect later or never.
		lateCommit.pending = true;
		lateCommit.unconditional = unconditional_;
		lateCommit.base = base;
		lateCommit.state = state_;
		lateCommit.writer = self;
		result = error
	fi
}

inline read() {
	seenState = state;
	seenWriter = writer;
	seenVersion = version
}

// Equal values let the search merge states.
inline resetSeen() {
	result = none;
	seenState = free;
	seenWriter = 0;
	seenVersion = 0
}

// Takes the permission, unless the attempt is too old.
inline takePermission() {
	waiting[self] = false;
	base = seenVersion;
	if
#ifndef NO_BEGIN_LIMIT
	:: pastBeginLimit[self] -> abandon()
#endif
	:: else -> pc = granted
	fi
}

// Ends the attempt with an error that says that the request did not run.
inline abandon() {
	waiting[self] = false;
	assert(!ran);
	reportedNotRun = true;
#ifdef NO_SETTLE
	pc = finished
#else
	pc = resolving
#endif
}

// Interprets the row that came with the conflict of an insert.
inline evaluateRow() {
	if
	:: seenVersion == 0 || seenState == released -> base = seenVersion; pc = insert
#ifdef NO_ATTEMPT_CHECK
	:: seenState == permitted -> takePermission()
#else
	:: seenState == permitted && seenWriter == self -> takePermission()
#endif
#ifdef TAKE_OVER
	:: seenState == permitted && seenWriter != self -> base = seenVersion; pc = insert
#endif
	:: seenState == completed || (seenState == permitted && seenWriter != self) ->
		pc = finished // The stored response, InProgress or OutcomeUnknown.
	fi
}

inline crash() {
	crashed = true;
	pc = finished
}

proctype Attempt(byte self) {
	mtype pc = insert;
	byte base;
	mtype result = none;
	mtype seenState = free;
	byte seenWriter;
	byte seenVersion;
	bool ran;  // whether this attempt ran the request
	bool reportedNotRun; // whether an error said that it did not run

	// The attempts are alike, so they are numbered in the order in which they
	// start.
	atomic {
		startedCount == self;
		startedCount++;
		if
		:: swept -> pc = finished
		:: else -> waiting[self] = true
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
		:: result == ok -> takePermission()
		:: result == conflict -> evaluateRow()
		:: result == error -> pc = readBack
		:: result == error -> pc = insert
		:: result == error -> abandon()
		fi;
		resetSeen() }
	:: atomic { pc == readBack -> // Resolves an unknown outcome by a read.
		read();
		if
		:: seenVersion != base -> evaluateRow()
		:: else -> pc = insert
		fi;
		resetSeen() }
	:: atomic { pc == granted ->
		if
		:: crash()
		:: reportedNotRun = true; pc = releasing // No byte was sent.
		:: assert(!reportedNotRun);
			runCount++;
			ran = true;
			assert(runCount <= 1);
			pc = running
		fi }
	:: atomic { pc == running ->
		if
		:: crash()
#ifdef RELEASE_AFTER_SEND
		:: pc = releasing
#endif
		:: commit(completed, false);
			if
			:: result == error
			:: else -> pc = finished
			fi
		fi;
		resetSeen() }
	:: atomic { pc == releasing ->
		if
		:: crash()
#ifdef NO_RELEASE_CHECK
		:: commit(released, true);
#else
		:: commit(released, false);
#endif
			if
			:: result == error
			:: else -> pc = finished
			fi
		fi;
		resetSeen() }
	:: atomic { pc == resolving ->
		if
		:: crash()
#ifdef RUN_AFTER_GIVE_UP
		:: state == permitted && writer == self -> base = version; pc = granted
#endif
#ifdef SETTLE_BY_READ
		:: read();
			if
			:: seenState == permitted && seenWriter == self -> base = seenVersion; pc = releasing
			:: else -> pc = finished
			fi
#else
		:: commit(released, false);
			if
			:: result == error
			:: result == ok -> pc = finished
			:: result == conflict && seenState == permitted && seenWriter == self -> base = seenVersion
			:: result == conflict && !(seenState == permitted && seenWriter == self) -> pc = finished
			fi
#endif
		fi;
		resetSeen() }
	:: atomic { pc == finished ->
		waiting[self] = false;
		base = 0;
		ran = false;
		reportedNotRun = false;
		endedCount++;
		break }
	od
}

// Late commits take effect at any time or never.
active proctype Late() {
endlate:
	do
	:: atomic { lateCommit.pending ->
		if
		:: write(lateCommit.base, lateCommit.state, lateCommit.writer, lateCommit.unconditional)
		:: skip
		fi;
		lateCommit.pending = false;
		lateCommit.unconditional = false;
		lateCommit.base = 0;
		lateCommit.state = free;
		lateCommit.writer = 0 }
	od
}

// The sweep deletes a row long after its last write. All attempts that began
// before are then older than maxBeginTime. The retention of the key has ended,
// so no attempt starts afterwards.
active proctype Sweep() {
endsweep:
	atomic { (state == completed || state == released) ->
		swept = true;
		pastBeginLimit[0] = waiting[0];
		pastBeginLimit[1] = waiting[1];
		pastBeginLimit[2] = waiting[2];
		state = free;
		writer = 0;
		version = 0 }
}

// Once everything is resolved and no attempt crashed, no attempt that did not
// run holds the key. After a sweep, a late insert may hold it, but its request
// never runs.
active proctype CheckEnd() {
	atomic {
		endedCount == ATTEMPTS && !lateCommit.pending;
		assert(crashed || swept || state != permitted)
	}
}

init {
	atomic {
		run Attempt(0);
		run Attempt(1);
		run Attempt(2)
	}
}
