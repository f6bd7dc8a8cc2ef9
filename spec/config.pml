// The configuration log. Operators change records concurrently, responses are
// lost or commits are late, instances restart, poll the table and fetch changes
// from each other. Revision 1 created service 0. Of the changes, 0 updates service
// 0, 1 removes it and 2 creates service 1. To keep the search small, only commits
// of change 0 are late or lose their responses, only instance 0 queries its peer,
// and one of the instances restarts once.
//
// variants: NO_HEAD_CHECK NO_ID_CHECK NO_RECORD_CHECK NO_SECOND_HEAD SKIP_DURING REVERT PARTIAL_PEER NO_PEER_ID ID_BEFORE_HEAD DROP_REMOVED READY_FROM_PEER

#define CHANGES 3
#define SERVICES 2
#define INSTANCES 2
#define REVISIONS 5 // index 0 is unused
#define serviceOf(change_) (change_ == 2 -> 1 : 0)
#define baseOf(change_) (change_ == 2 -> 0 : 1)

mtype = { none, ok, conflict, error };
mtype = { read, rows, catchUp, commit, finished };                      // states of a change
mtype = { idle, follow, scanSecond, readHeadAgain, queryPeer, install };   // states of an instance

// The table: the head, the changes, the rows of the records (the revision that
// last wrote each of them), and the rows of the change IDs.
byte head;
byte serviceOfRevision[REVISIONS];
bool written[REVISIONS];
byte record[SERVICES];
bool removed[SERVICES];
byte revisionOfID[CHANGES];

bool refused[CHANGES]; // whether a conflict was reported to the operator

// A commit that failed but may still take effect.
typedef Commit {
	bool pending;
	byte change;
	byte head
}
Commit lateCommit;

// The configuration in force at each instance: its revision and the revisions
// of the records.
typedef View {
	byte revision;
	byte record[SERVICES];
	byte start; // the head when the instance started
	bool restarted  // whether it is the restarted process
}
View view[INSTANCES];

inline checkConditions(change_, head_) {
	conditionsHold = true;
#ifndef NO_HEAD_CHECK
	if :: head != head_ -> conditionsHold = false :: else fi;
#endif
#ifndef NO_ID_CHECK
	if :: revisionOfID[change_] != 0 -> conditionsHold = false :: else fi;
#endif
#ifndef NO_RECORD_CHECK
	if :: record[serviceOf(change_)] != baseOf(change_) -> conditionsHold = false :: else fi
#endif
}

// Executes the writes of a change.
inline applyChange(change_, head_) {
	assert(!written[head_ + 1]);                // No change is replaced.
	assert(revisionOfID[change_] == 0);                   // The change takes effect once.
	assert(!refused[change_]);                  // A refusal is final.
	assert(record[serviceOf(change_)] == baseOf(change_)); // The change replaces its base.
	head = head_ + 1;
	written[head] = true;
	serviceOfRevision[head] = serviceOf(change_);
	revisionOfID[change_] = head;
	record[serviceOf(change_)] = head;
	removed[serviceOf(change_)] = (change_ == 1)
}

// Finds the revision that last changed a service at or before a revision.
inline findLastRevision(service_, revision_) {
	i = revision_;
	do
	:: i > 0 && serviceOfRevision[i] == service_ -> break
	:: i > 0 && serviceOfRevision[i] != service_ -> i--
	:: i == 0 -> break
	od;
	found = i;
	i = 0
}

// Checks that the configuration in force is the one of its revision.
inline checkView(i_) {
	findLastRevision(0, view[i_].revision);
	assert(view[i_].record[0] == found);
	findLastRevision(1, view[i_].revision);
	assert(view[i_].record[1] == found);
	found = 0
}

// Finishes the change if the row of its ID shows that it was accepted.
inline findAccepted() {
#ifndef NO_ID_CHECK
	if :: revisionOfID[self] != 0 -> pc = finished :: else fi
#else
	skip
#endif
}

// An operator proposes a change at an instance, and again with the same ID
// after an unknown outcome.
proctype Change(byte self; byte instance) {
	mtype pc = read;
	byte seenHead;
	bool conditionsHold;
	mtype result = none;
	byte i;
	byte found;

endchange:
	do
	// The head is read first: if the change took effect at or below it, the row
	// of the change's ID shows it. The instance then catches up with the head.
#ifdef ID_BEFORE_HEAD
	:: atomic { pc == read -> findAccepted(); pc = (pc == finished -> finished : rows) }
	:: atomic { pc == rows -> seenHead = head; pc = commit }
#else
	:: atomic { pc == read -> seenHead = head; pc = rows }
	:: atomic { pc == rows -> pc = commit; findAccepted() }
#endif
	:: atomic { pc == commit && seenHead < view[instance].revision -> pc = read }
	:: atomic { pc == commit && seenHead > view[instance].revision && view[instance].revision != 0 -> pc = catchUp }
	:: atomic { pc == catchUp ->
		if
		:: view[instance].revision == 0 // The instance has restarted.
#ifdef REVERT
		:: view[instance].revision != 0 ->
#else
		:: view[instance].revision != 0 && seenHead > view[instance].revision ->
#endif
			assert(seenHead >= view[instance].revision);
			findLastRevision(0, seenHead);
			view[instance].record[0] = found;
			findLastRevision(1, seenHead);
			view[instance].record[1] = found;
			found = 0;
			view[instance].revision = seenHead
		:: else
		fi;
		pc = commit }
	:: atomic { pc == commit && seenHead == view[instance].revision ->
		findLastRevision(serviceOf(self), seenHead);
		if
#ifndef NO_RECORD_CHECK
		:: found != baseOf(self) ->
			assert(revisionOfID[self] == 0);
			refused[self] = true;
			pc = finished
#endif
		:: else ->
			checkConditions(self, seenHead);
			if
			:: conditionsHold ->
				applyChange(self, seenHead);
				result = ok
			:: !conditionsHold -> result = conflict
			:: conditionsHold && self == 0 -> // The response is lost.
				applyChange(self, seenHead);
				result = error
			:: !lateCommit.pending && self == 0 -> // The commit takes effect later or never.
				lateCommit.pending = true;
				lateCommit.change = self;
				lateCommit.head = seenHead;
				result = error
			fi;
			if
			:: result == ok ->
				view[instance].revision = seenHead + 1;
				view[instance].record[serviceOf(self)] = seenHead + 1;
				checkView(instance);
				pc = finished
			:: result != ok -> pc = read // The operator may also stop trying, because the change may wait here forever.
			fi
		fi;
		seenHead = 0;
		conditionsHold = false;
		result = none;
		found = 0 }
	:: pc == finished -> break
	od
}

// Late commits take effect at any time or never.
active proctype Late() {
	bool conditionsHold;
endlate:
	do
	:: atomic { lateCommit.pending ->
		if
		:: checkConditions(lateCommit.change, lateCommit.head);
			if
			:: conditionsHold -> applyChange(lateCommit.change, lateCommit.head)
			:: else
			fi
		:: skip
		fi;
		conditionsHold = false;
		lateCommit.pending = false;
		lateCommit.change = 0;
		lateCommit.head = 0 }
	od
}

// Puts the fetched records in force if they are newer.
inline installFetched() {
	if
	:: target > view[self].revision ->
		if :: fetched[0] > view[self].record[0] -> view[self].record[0] = fetched[0] :: else fi;
		if :: fetched[1] > view[self].record[1] -> view[self].record[1] = fetched[1] :: else fi;
		view[self].revision = target;
		checkView(self)
	:: else
	fi;
	target = 0;
	fetched[0] = 0;
	fetched[1] = 0;
	found = 0
}

// Collects the changes after a revision up to another.
inline collectChanges(after_, upto_) {
	i = after_ + 1;
	do
	:: i <= upto_ -> fetched[serviceOfRevision[i]] = (fetched[serviceOfRevision[i]] < i -> i : fetched[serviceOfRevision[i]]); i++
	:: else -> break
	od;
	i = 0
}

// What a scan returns for the row of a record.
inline scanRecord(service_) {
#ifdef DROP_REMOVED
	fetched[service_] = (removed[service_] -> 0 : record[service_])
#else
	fetched[service_] = record[service_]
#endif
}

inline checkReady() {
	assert(view[self].revision >= view[self].start)
}

proctype Instance(byte self) {
	mtype pc = idle;
	byte target;
	bool peerProcess; // identifies the queried process
	byte fetched[SERVICES];
	byte i;
	byte found;

endinstance:
	do
	// A poll reads the head, then the missing changes, or all records after the
	// start.
	:: atomic { pc == idle && head > view[self].revision ->
		target = head;
		if
		:: view[self].revision == 0 -> scanRecord(0); pc = scanSecond
		:: else -> pc = follow
		fi }
	:: atomic { pc == follow -> collectChanges(view[self].revision, target); installFetched(); checkReady(); pc = idle }
	:: atomic { pc == scanSecond -> scanRecord(1); pc = readHeadAgain }
	:: atomic { pc == readHeadAgain ->
#ifdef SKIP_DURING
		target = head;
#else
#ifndef NO_SECOND_HEAD
		collectChanges(target, head);
		target = head;
#endif
#endif
		installFetched();
		checkReady();
		pc = idle }
	// A peer returns the last change of each service after a revision, one in
	// each page, until it has no more.
	:: atomic { self == 0 && pc == idle && view[1 - self].revision > view[self].revision ->
		target = view[self].revision;
		peerProcess = view[1 - self].restarted;
		pc = queryPeer }
	:: atomic { pc == queryPeer ->
		if
#ifndef NO_PEER_ID
		:: view[1 - self].restarted != peerProcess -> target = 0; fetched[0] = 0; fetched[1] = 0; pc = idle
#endif
		:: view[1 - self].restarted == peerProcess && view[1 - self].record[0] > target && (view[1 - self].record[1] <= target || view[1 - self].record[1] > view[1 - self].record[0]) ->
			fetched[0] = view[1 - self].record[0];
			target = fetched[0]
		:: view[1 - self].restarted == peerProcess && view[1 - self].record[1] > target && (view[1 - self].record[0] <= target || view[1 - self].record[0] > view[1 - self].record[1]) ->
			fetched[1] = view[1 - self].record[1];
			target = fetched[1]
		:: else -> pc = install
		fi;
#ifdef PARTIAL_PEER
		pc = install
#endif
		}
	:: atomic { pc == install ->
		peerProcess = false;
		installFetched();
#ifdef READY_FROM_PEER
		checkReady();
#endif
		pc = idle }
	// The instance restarts as a new process.
	:: atomic { !view[0].restarted && !view[1].restarted ->
		view[self].restarted = true;
		view[self].revision = 0;
		view[self].record[0] = 0;
		view[self].record[1] = 0;
		view[self].start = head;
		target = 0;
		peerProcess = false;
		fetched[0] = 0;
		fetched[1] = 0;
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
