// The configuration log. Operators race on records, answers are lost or late,
// instances restart, poll the table and fetch from each other. Revision 1 created
// service 0. Of the changes, 0 updates service 0, 1 removes it and 2 creates
// service 1. To keep the search small, only answers of change 0 are lost or
// late, only instance 0 asks its peer, and one of the instances restarts once.
//
// variants: NO_HEAD_CHECK NO_ID_CHECK NO_RECORD_CHECK NO_SECOND_HEAD SKIP_DURING REVERT PARTIAL_PEER NO_PEER_ID ID_BEFORE_HEAD DROP_REMOVED READY_FROM_PEER

#define CHANGES 3
#define SERVICES 2
#define INSTANCES 2
#define REVISIONS 5 // index 0 is not used
#define serviceOf(change_) (change_ == 2 -> 1 : 0)
#define baseOf(change_) (change_ == 2 -> 0 : 1)

mtype = { none, ok, conflict, error };
mtype = { read, rows, catch, commit, over };                      // a change
mtype = { idle, follow, scan1, second, ask, install };   // an instance

// The table: the head, the changes, the record rows (the revision that last
// wrote each of them), and the rows of the change IDs.
byte head;
byte service[REVISIONS];
bool written[REVISIONS];
byte record[SERVICES];
bool removed[SERVICES];
byte id[CHANGES];

bool refused[CHANGES]; // which operators were told of a conflict

// A commit whose answer was an error and that may still take effect.
typedef Commit {
	bool pending;
	byte change;
	byte head
}
Commit late;

// The configuration in force at each instance: its revision and the revision of
// each record.
typedef View {
	byte revision;
	byte record[SERVICES];
	byte start; // the head when the instance started
	bool again  // it has restarted
}
View view[INSTANCES];

inline holds(change_, head_) {
	holding = true;
#ifndef NO_HEAD_CHECK
	if :: head != head_ -> holding = false :: else fi;
#endif
#ifndef NO_ID_CHECK
	if :: id[change_] != 0 -> holding = false :: else fi;
#endif
#ifndef NO_RECORD_CHECK
	if :: record[serviceOf(change_)] != baseOf(change_) -> holding = false :: else fi
#endif
}

// Makes the writes of a change.
inline write(change_, head_) {
	assert(!written[head_ + 1]);                // No change is replaced.
	assert(id[change_] == 0);                   // It takes effect once.
	assert(!refused[change_]);                  // A refusal is final.
	assert(record[serviceOf(change_)] == baseOf(change_)); // It replaces its base.
	head = head_ + 1;
	written[head] = true;
	service[head] = serviceOf(change_);
	id[change_] = head;
	record[serviceOf(change_)] = head;
	removed[serviceOf(change_)] = (change_ == 1)
}

// The revision that last changed a service at or before a revision.
inline lastOf(service_, revision_) {
	k = revision_;
	do
	:: k > 0 && service[k] == service_ -> break
	:: k > 0 && service[k] != service_ -> k--
	:: k == 0 -> break
	od;
	found = k;
	k = 0
}

// Checks that the configuration in force is the one of its revision.
inline checkView(i_) {
	lastOf(0, view[i_].revision);
	assert(view[i_].record[0] == found);
	lastOf(1, view[i_].revision);
	assert(view[i_].record[1] == found);
	found = 0
}

// The row of the change's ID shows whether it was accepted.
inline findID() {
#ifndef NO_ID_CHECK
	if :: id[me] != 0 -> pc = over :: else fi
#else
	skip
#endif
}

// A change is proposed by an operator at an instance, and again with the same
// ID after an unknown outcome.
proctype Change(byte me; byte at) {
	mtype pc = read;
	byte seenHead;
	bool holding;
	mtype result = none;
	byte k;
	byte found;

endchange:
	do
	// The head is read first: if the change has taken effect at or below it,
	// the row of the ID shows it. The instance then catches up with the head.
#ifdef ID_BEFORE_HEAD
	:: atomic { pc == read -> findID(); pc = (pc == over -> over : rows) }
	:: atomic { pc == rows -> seenHead = head; pc = commit }
#else
	:: atomic { pc == read -> seenHead = head; pc = rows }
	:: atomic { pc == rows -> pc = commit; findID() }
#endif
	:: atomic { pc == commit && seenHead < view[at].revision -> pc = read }
	:: atomic { pc == commit && seenHead > view[at].revision && view[at].revision != 0 -> pc = catch }
	:: atomic { pc == catch ->
		if
		:: view[at].revision == 0 // The instance has restarted.
#ifdef REVERT
		:: view[at].revision != 0 ->
#else
		:: view[at].revision != 0 && seenHead > view[at].revision ->
#endif
			assert(seenHead >= view[at].revision);
			lastOf(0, seenHead);
			view[at].record[0] = found;
			lastOf(1, seenHead);
			view[at].record[1] = found;
			found = 0;
			view[at].revision = seenHead
		:: else
		fi;
		pc = commit }
	:: atomic { pc == commit && seenHead == view[at].revision ->
		lastOf(serviceOf(me), seenHead);
		if
#ifndef NO_RECORD_CHECK
		:: found != baseOf(me) ->
			assert(id[me] == 0);
			refused[me] = true;
			pc = over
#endif
		:: else ->
			holds(me, seenHead);
			if
			:: holding ->
				write(me, seenHead);
				result = ok
			:: !holding -> result = conflict
			:: holding && me == 0 -> // The answer is lost.
				write(me, seenHead);
				result = error
			:: !late.pending && me == 0 -> // It takes effect later or never.
				late.pending = true;
				late.change = me;
				late.head = seenHead;
				result = error
			fi;
			if
			:: result == ok ->
				view[at].revision = seenHead + 1;
				view[at].record[serviceOf(me)] = seenHead + 1;
				checkView(at);
				pc = over
			:: result != ok -> pc = read // Or never, if the operator gives up.
			fi
		fi;
		seenHead = 0;
		holding = false;
		result = none;
		found = 0 }
	:: pc == over -> break
	od
}

// Late commits take effect at any time, or never.
active proctype Late() {
	bool holding;
endlate:
	do
	:: atomic { late.pending ->
		if
		:: holds(late.change, late.head);
			if
			:: holding -> write(late.change, late.head)
			:: else
			fi
		:: skip
		fi;
		holding = false;
		late.pending = false;
		late.change = 0;
		late.head = 0 }
	od
}

// Puts the fetched records in force if they are newer.
inline advance() {
	if
	:: to > view[me].revision ->
		if :: got[0] > view[me].record[0] -> view[me].record[0] = got[0] :: else fi;
		if :: got[1] > view[me].record[1] -> view[me].record[1] = got[1] :: else fi;
		view[me].revision = to;
		checkView(me)
	:: else
	fi;
	to = 0;
	got[0] = 0;
	got[1] = 0;
	found = 0
}

// Takes the changes after a revision up to another.
inline changes(after_, upto_) {
	k = after_ + 1;
	do
	:: k <= upto_ -> got[service[k]] = (got[service[k]] < k -> k : got[service[k]]); k++
	:: else -> break
	od;
	k = 0
}

// What a scan sees of a record's row.
inline scan(service_) {
#ifdef DROP_REMOVED
	got[service_] = (removed[service_] -> 0 : record[service_])
#else
	got[service_] = record[service_]
#endif
}

inline ready() {
	assert(view[me].revision >= view[me].start)
}

proctype Instance(byte me) {
	mtype pc = idle;
	byte to;
	bool peer; // the process that was asked
	byte got[SERVICES];
	byte k;
	byte found;

endinstance:
	do
	// Polling reads the head, then the changes, or all records at the start.
	:: atomic { pc == idle && head > view[me].revision ->
		to = head;
		if
		:: view[me].revision == 0 -> scan(0); pc = scan1
		:: else -> pc = follow
		fi }
	:: atomic { pc == follow -> changes(view[me].revision, to); advance(); ready(); pc = idle }
	:: atomic { pc == scan1 -> scan(1); pc = second }
	:: atomic { pc == second ->
#ifdef SKIP_DURING
		to = head;
#else
#ifndef NO_SECOND_HEAD
		changes(to, head);
		to = head;
#endif
#endif
		advance();
		ready();
		pc = idle }
	// A peer gives the last change of each service after a revision, one in a
	// page, until it has no more.
	:: atomic { me == 0 && pc == idle && view[1 - me].revision > view[me].revision ->
		to = view[me].revision;
		peer = view[1 - me].again;
		pc = ask }
	:: atomic { pc == ask ->
		if
#ifndef NO_PEER_ID
		:: view[1 - me].again != peer -> to = 0; got[0] = 0; got[1] = 0; pc = idle
#endif
		:: view[1 - me].again == peer && view[1 - me].record[0] > to && (view[1 - me].record[1] <= to || view[1 - me].record[1] > view[1 - me].record[0]) ->
			got[0] = view[1 - me].record[0];
			to = got[0]
		:: view[1 - me].again == peer && view[1 - me].record[1] > to && (view[1 - me].record[0] <= to || view[1 - me].record[0] > view[1 - me].record[1]) ->
			got[1] = view[1 - me].record[1];
			to = got[1]
		:: else -> pc = install
		fi;
#ifdef PARTIAL_PEER
		pc = install
#endif
		}
	:: atomic { pc == install ->
		peer = false;
		advance();
#ifdef READY_FROM_PEER
		ready();
#endif
		pc = idle }
	// The process is replaced by a new one.
	:: atomic { !view[0].again && !view[1].again ->
		view[me].again = true;
		view[me].revision = 0;
		view[me].record[0] = 0;
		view[me].record[1] = 0;
		view[me].start = head;
		to = 0;
		peer = false;
		got[0] = 0;
		got[1] = 0;
		pc = idle }
	od
}

init {
	atomic {
		head = 1;
		written[1] = true;
		record[0] = 1;
		view[0].start = 1;
		view[1].start = 1;
		run Instance(0);
		run Instance(1);
		run Change(0, 0);
		run Change(1, 1);
		run Change(2, 1)
	}
}
