package store_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"savorystep"
	"savorystep/standin"
	"savorystep/store"
)

// A worldFault is a kind of fault that a ledgerWorld may inject.
type simulationFault string

// The faults of a ledgerWorld.
const (
	faultCap    simulationFault = "cap changes"
	faultDeath  simulationFault = "death and joining"
	faultLate   simulationFault = "late commit"
	faultLeave  simulationFault = "graceful stop"
	faultLost   simulationFault = "lost answer"
	faultOutage simulationFault = "outage"
	faultPause  simulationFault = "pause"
	faultSlow   simulationFault = "slow answer"
)

var simulationFaults = []simulationFault{
	faultCap, faultDeath, faultLate, faultLeave, faultLost, faultOutage, faultPause, faultSlow,
}

// worldProtection names a protection that a ledgerWorld can leave out.
type protection string

// The protections that can be left out.
const (
	allProtections     protection = ""
	withoutCompare     protection = "compare-and-set"
	withoutEnded       protection = "floor slots only from ended holders"
	withoutFirstByte   protection = "check before the first byte"
	withoutGuard       protection = "guard"
	withoutNonce       protection = "observation by nonce"
	withoutRequestTime protection = "request time"
	withoutSentBefore  protection = "lifetime from before the write"
	withoutSettling    protection = "settling of unknown outcomes"
)

var protections = []protection{
	withoutCompare, withoutEnded, withoutFirstByte, withoutGuard, withoutNonce,
	withoutRequestTime, withoutSentBefore, withoutSettling,
}

const (
	simulatedInstanceCount = 12
	simulatedRowKey        = savorystep.RowKey("budget/region/status/natal")
	simulatedGrantLifetime = 30 * time.Second
	simulatedReclaimMargin = 5 * time.Second
	// A world has requests of up to worldLong and clocks whose rates are off by
	// worldLongDrift thousandths, or short requests and a larger drift. The
	// guard covers the drift in both.
	longRequestTime           = 30 * time.Second
	longRequestDriftPermille  = 20
	shortRequestTime          = 10 * time.Millisecond
	shortRequestDriftPermille = 50
)

// A worldCall is a call of the table on its way.
type simulatedCall struct {
	// write is nil for a read.
	writeProposal *store.GrantProposal
	// effect and answer are the times at which the table carries out the call
	// and at which its caller gets the answer, zero for never. giveUp is when
	// the caller stops to wait.
	appliedAt, answeredAt, timeoutAt time.Duration
	applied                          bool
	row                              savorystep.Row
	commit                           savorystep.CommitResult
}

// A worldNode is one instance with its ledger.
type simulatedInstance struct {
	id     savorystep.InstanceID
	ledger *store.GrantLedger
	// base and rate map the true time to the node's monotonic clock.
	clockBase         time.Time
	clockRatePermille int64
	// skew is the error of its wall clock.
	wallClockSkew  time.Duration
	paused         bool
	leaving        bool
	budgetCap      savorystep.Slots
	learnsCapAt    time.Duration
	acquiredUnsent savorystep.Slots
	requestEnds    []time.Duration
	neededUnits    savorystep.Slots
	pendingCall    *simulatedCall
	callsInFlight  []*simulatedCall
	allowance      store.GrantAllowance
}

// A ledgerWorld is many ledgers over one row, with faults. Its choices come
// from pick, so that rapid or a seeded source can drive it.
type grantSimulation struct {
	pick    func(label string, n int) int
	faults  map[simulationFault]bool
	removed protection
	// request is the longest request, drift the error of the clocks in
	// thousandths.
	maxRequestTime     time.Duration
	clockDriftPermille int

	now             time.Duration
	table           *standin.Table
	nodes           []*simulatedInstance
	listedAsEndedAt map[savorystep.InstanceID]time.Duration
	callsOfEnded    []*simulatedCall
	tableDown       bool
	lastID          int
	budgetCap       savorystep.Slots
	highestCap      savorystep.Slots
	// written is the wall clock of the last writer of each version.
	writtenAt map[savorystep.RowVersion]time.Duration
	// admitted counts requests sent.
	admitted  int
	violation string
}

// newLedgerWorld returns a world with all instances alive.
func newGrantSimulation(pick func(string, int) int, budgetCap savorystep.Slots, removed protection, faults ...simulationFault) *grantSimulation {
	s := &grantSimulation{
		pick: pick, faults: make(map[simulationFault]bool), removed: removed, table: standin.NewTable(),
		listedAsEndedAt: make(map[savorystep.InstanceID]time.Duration),
		budgetCap:       budgetCap, highestCap: budgetCap, writtenAt: make(map[savorystep.RowVersion]time.Duration),
		maxRequestTime: longRequestTime, clockDriftPermille: longRequestDriftPermille,
	}
	if pick("short requests", 2) == 0 {
		s.maxRequestTime, s.clockDriftPermille = shortRequestTime, shortRequestDriftPermille
	}
	for _, fault := range faults {
		s.faults[fault] = true
	}
	for range simulatedInstanceCount {
		s.addInstance()
	}
	return s
}

// chance is true once in n times.
func (s *grantSimulation) oneIn(label string, n int) bool {
	return s.pick(label, n) == n-1
}

// join adds an instance.
func (s *grantSimulation) addInstance() {
	s.lastID++
	config := store.GrantLedgerConfig{
		Self:          savorystep.InstanceID(fmt.Sprintf("n%d", s.lastID)),
		GrantLifetime: simulatedGrantLifetime, ReclaimMargin: simulatedReclaimMargin, MaxRequestTime: s.maxRequestTime,
	}
	switch s.removed {
	case withoutGuard:
		config.ReclaimMargin = 1
	case withoutRequestTime:
		config.MaxRequestTime = 1
	default:
	}
	node := &simulatedInstance{
		id: config.Self, ledger: store.NewGrantLedger(config),
		clockBase:         time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(s.lastID) * time.Hour),
		clockRatePermille: int64(1000 + (s.pick("rate", 3)-1)*s.clockDriftPermille),
		wallClockSkew:     time.Duration(s.pick("skew", 5)-2) * 30 * time.Second,
		budgetCap:         s.budgetCap,
	}
	node.ledger.SetCap(s.monotonicTime(node), s.budgetCap)
	s.nodes = append(s.nodes, node)
}

// local returns a node's monotonic time.
func (s *grantSimulation) monotonicTime(node *simulatedInstance) time.Time {
	return node.clockBase.Add(s.now * time.Duration(node.clockRatePermille) / 1000)
}

// step lets a random time pass and each instance act once.
func (s *grantSimulation) step() {
	steps := []time.Duration{
		100 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 5 * time.Second,
	}
	s.now += steps[s.pick("time", len(steps))]
	s.toggleFaults()
	s.applyDueCalls()
	for _, node := range append([]*simulatedInstance(nil), s.nodes...) {
		s.endRequests(node)
		if !node.paused {
			s.act(node)
		}
	}
	s.checkCap("after a step")
}

// switchFaults begins and ends faults.
func (s *grantSimulation) toggleFaults() {
	if s.faults[faultOutage] {
		if s.tableDown {
			s.tableDown = !s.oneIn("outage ends", 8)
		} else {
			s.tableDown = s.oneIn("outage begins", 20)
		}
	}
	if s.faults[faultDeath] && s.oneIn("death", 12) {
		s.endInstance(s.pick("victim", len(s.nodes)))
		s.addInstance()
	}
	if s.faults[faultPause] && s.oneIn("pause", 3) {
		node := s.nodes[s.pick("paused", len(s.nodes))]
		node.paused = !node.paused
	}
	if s.faults[faultLeave] && s.oneIn("leave", 15) {
		s.nodes[s.pick("leaver", len(s.nodes))].leaving = true
	}
	if s.faults[faultCap] && s.oneIn("cap", 30) {
		s.budgetCap = savorystep.Slots(10 + s.pick("limit", 90))
		s.highestCap = max(s.highestCap, s.budgetCap)
		for _, node := range s.nodes {
			node.learnsCapAt = s.now + time.Duration(s.pick("learns", 18))*time.Second
		}
	}
}

// kill ends an instance. Its connections close, so its requests are over.
func (s *grantSimulation) endInstance(index int) {
	node := s.nodes[index]
	s.listedAsEndedAt[node.id] = s.now + time.Duration(s.pick("listed", 20))*time.Second
	s.callsOfEnded = append(s.callsOfEnded, node.callsInFlight...)
	s.nodes = append(s.nodes[:index], s.nodes[index+1:]...)
}

// ended returns what the lagging list says.
func (s *grantSimulation) endedInstances() map[savorystep.InstanceID]bool {
	endedInstances := make(map[savorystep.InstanceID]bool)
	for id, listedAt := range s.listedAsEndedAt {
		if s.now >= listedAt {
			endedInstances[id] = true
		}
	}
	if s.removed == withoutEnded {
		for _, node := range s.nodes {
			if node.paused {
				endedInstances[node.id] = true
			}
		}
	}
	return endedInstances
}

// carryOut lets the table carry out the calls that are due.
func (s *grantSimulation) applyDueCalls() {
	calls := s.callsOfEnded
	for _, node := range s.nodes {
		calls = append(calls, node.callsInFlight...)
	}
	for _, call := range calls {
		if !call.applied && call.appliedAt != 0 && s.now >= call.appliedAt && !s.tableDown {
			s.apply(call)
		}
	}
	for _, node := range s.nodes {
		kept := node.callsInFlight[:0]
		for _, call := range node.callsInFlight {
			if !call.applied && call.appliedAt != 0 {
				kept = append(kept, call)
			}
		}
		node.callsInFlight = kept
	}
}

// apply carries out one call.
func (s *grantSimulation) apply(call *simulatedCall) {
	call.applied = true
	ctx := context.Background()
	if call.writeProposal == nil {
		call.row, _ = s.table.Get(ctx, simulatedRowKey)
		return
	}
	value, err := json.Marshal(call.writeProposal.Row)
	if err != nil {
		panic(err)
	}
	txn := savorystep.Txn{Writes: []savorystep.Write{{Key: simulatedRowKey, Value: value}}}
	if s.removed != withoutCompare {
		txn.Conditions = []savorystep.Condition{{Key: simulatedRowKey, Version: call.writeProposal.BaseVersion}}
	}
	call.commit, _ = s.table.Commit(ctx, txn)
	if len(call.commit.Conflicts) == 0 {
		s.writtenAt[call.commit.Version] = s.now
	}
}

// endRequests ends requests that are over. An upstream ends them at their
// deadlines, whatever happens to the instance.
func (s *grantSimulation) endRequests(node *simulatedInstance) {
	kept := node.requestEnds[:0]
	for _, end := range node.requestEnds {
		if end > s.now {
			kept = append(kept, end)
		}
	}
	node.requestEnds = kept
}

// inFlight returns the units that a node's own accounting counts.
func (n *simulatedInstance) inFlight() savorystep.Slots {
	return n.acquiredUnsent + savorystep.Slots(len(n.requestEnds))
}

// act lets a node learn the limit, serve callers and work on the row.
func (s *grantSimulation) act(node *simulatedInstance) {
	if node.budgetCap != s.budgetCap && s.now >= node.learnsCapAt {
		node.budgetCap = s.budgetCap
		node.ledger.SetCap(s.monotonicTime(node), s.budgetCap)
	}
	s.work(node)
	node.allowance = node.ledger.Allowance()
	s.sendAcquired(node)
	if node.leaving {
		if node.inFlight() == 0 && node.ledger.HoldsNothing() {
			s.stopInstance(node)
		}
		return
	}
	s.acquireUnits(node)
}

// leave ends an instance that returned everything.
func (s *grantSimulation) stopInstance(node *simulatedInstance) {
	for i := range s.nodes {
		if s.nodes[i] == node {
			s.endInstance(i)
			s.addInstance()
			return
		}
	}
}

// sendUnsent sends the first byte of acquired units, or drops them.
func (s *grantSimulation) sendAcquired(node *simulatedInstance) {
	for ; node.acquiredUnsent > 0; node.acquiredUnsent-- {
		valid := node.inFlight() <= node.allowance.UsableUnits(s.monotonicTime(node))
		if !valid && s.removed != withoutFirstByte {
			continue
		}
		maxDuration := s.maxRequestTime * 1000 / time.Duration(node.clockRatePermille)
		end := s.now + maxDuration
		if s.pick("length", 2) == 0 {
			end = s.now + maxDuration/30
		}
		node.requestEnds = append(node.requestEnds, end)
		s.admitted++
		s.checkLoweredCap(node)
	}
}

// serve acquires units for new requests. They are sent at the node's next
// turn, so that it may be paused in between.
func (s *grantSimulation) acquireUnits(node *simulatedInstance) {
	demands := []savorystep.Slots{0, 1, 3, 10, 60}
	if s.oneIn("demand", 4) {
		node.neededUnits = demands[s.pick("need", len(demands))]
	}
	for node.inFlight() < min(node.neededUnits, node.allowance.AdmissionLimit(s.monotonicTime(node))) {
		node.acquiredUnsent++
	}
}

// work handles an answer, and reads or writes the row.
func (s *grantSimulation) work(node *simulatedInstance) {
	now := s.monotonicTime(node)
	demand := store.GrantDemand{
		InFlight: node.inFlight(), PeakNeed: max(node.neededUnits, node.inFlight()), ReturnUnused: node.leaving, EndedInstances: s.endedInstances(),
	}
	if node.pendingCall != nil && !s.takeAnswer(node, now) {
		return
	}
	if node.ledger.IsReadDue(now, demand) {
		s.send(node, s.newCall(nil))
		return
	}
	pendingCall := s.newCall(nil)
	if s.removed == withoutSentBefore && pendingCall.answeredAt > s.now {
		now = now.Add(pendingCall.answeredAt - s.now)
	}
	if proposal, ok := node.ledger.Propose(now, demand); ok {
		pendingCall.writeProposal = &proposal
		s.send(node, pendingCall)
	}
}

// newCall chooses what becomes of a call.
func (s *grantSimulation) newCall(writeProposal *store.GrantProposal) *simulatedCall {
	call := &simulatedCall{writeProposal: writeProposal, appliedAt: s.now, answeredAt: s.now, timeoutAt: s.now + 2*time.Second}
	switch {
	case s.tableDown:
		call.appliedAt, call.answeredAt, call.timeoutAt = 0, 0, s.now
	case s.faults[faultLost] && s.oneIn("lost", 5):
		call.answeredAt = 0
	case s.faults[faultLate] && s.oneIn("late", 5):
		call.appliedAt, call.answeredAt = s.now+time.Duration(1+s.pick("delay", 90))*time.Second, 0
	case s.faults[faultSlow] && s.oneIn("slow", 4):
		call.answeredAt = s.now + time.Duration(1+s.pick("slowness", 25))*time.Second
		call.timeoutAt = call.answeredAt + time.Second
	default:
	}
	return call
}

// send starts a call. A prompt call is answered before the node's next turn.
func (s *grantSimulation) send(node *simulatedInstance, pendingCall *simulatedCall) {
	node.pendingCall = pendingCall
	node.callsInFlight = append(node.callsInFlight, pendingCall)
	if pendingCall.appliedAt == s.now && !s.tableDown {
		s.apply(pendingCall)
	}
	if s.pick("prompt", 2) == 0 {
		s.takeAnswer(node, s.monotonicTime(node))
	}
}

// finish takes the answer of a node's call and reports whether there was one.
func (s *grantSimulation) takeAnswer(node *simulatedInstance, now time.Time) bool {
	pendingCall := node.pendingCall
	answered := pendingCall.applied && pendingCall.answeredAt != 0 && s.now >= pendingCall.answeredAt
	if !answered && s.now < pendingCall.timeoutAt {
		return false
	}
	node.pendingCall = nil
	switch {
	case !answered && pendingCall.writeProposal != nil && s.removed == withoutSettling:
		node.ledger.RecordCommit(*pendingCall.writeProposal, pendingCall.writeProposal.BaseVersion+1, now)
	case !answered:
		node.ledger.RecordUnknownOutcome()
	case pendingCall.writeProposal == nil:
		s.observe(node, pendingCall.row, now)
	case len(pendingCall.commit.Conflicts) > 0:
		s.observe(node, pendingCall.commit.Conflicts[0], now)
	default:
		node.ledger.RecordCommit(*pendingCall.writeProposal, pendingCall.commit.Version, now)
	}
	return true
}

// observe gives a row to a ledger.
func (s *grantSimulation) observe(node *simulatedInstance, row savorystep.Row, now time.Time) {
	if s.removed == withoutNonce && row.Version > 0 {
		now = now.Add(s.writtenAt[row.Version] - s.now + node.wallClockSkew)
	}
	if err := node.ledger.Observe(row, now); err != nil {
		panic(err)
	}
}

// inUse returns what the instances use or may use at once: requests at
// upstreams and what each may still send.
func (s *grantSimulation) inUse() (sent, reserved savorystep.Slots) {
	for _, node := range s.nodes {
		running := savorystep.Slots(len(node.requestEnds))
		sent += running
		reserved += max(running, node.allowance.ReservedUnits(s.monotonicTime(node)))
	}
	return sent, reserved
}

// check notes a problem if the sum in use passes the cap.
func (s *grantSimulation) checkCap(when string) {
	sent, reserved := s.inUse()
	if s.violation == "" && (sent > s.highestCap || reserved > s.highestCap) {
		s.violation = fmt.Sprintf("%s at %v: %d units sent, %d reserved, cap %d", when, s.now, sent, reserved, s.highestCap)
	}
}

// checkLowered notes a problem if a request is sent that takes the sum above a
// lowered cap which all instances know.
func (s *grantSimulation) checkLoweredCap(node *simulatedInstance) {
	for _, other := range s.nodes {
		if other.budgetCap != s.budgetCap {
			return
		}
	}
	if sent, _ := s.inUse(); s.violation == "" && sent > s.budgetCap {
		s.violation = fmt.Sprintf("%s sent a request at %v: %d units in use, cap lowered to %d", node.id, s.now, sent, s.budgetCap)
	}
}

// newSeededWorld returns a world whose choices come from a seed.
func newSeededSimulation(seed uint64, budgetCap int, removed protection, faults ...simulationFault) *grantSimulation {
	random := rand.New(rand.NewPCG(seed, 0))
	pick := func(_ string, n int) int { return random.IntN(n) }
	return newGrantSimulation(pick, savorystep.Slots(budgetCap), removed, faults...)
}
