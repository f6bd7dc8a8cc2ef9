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

// A simulationFault is a kind of fault that a grantSimulation may inject.
type simulationFault string

// The faults of a grantSimulation.
const (
	faultCapChange    simulationFault = "cap changes"
	faultInstanceEnds simulationFault = "death and joining"
	faultLateCommit   simulationFault = "late commit"
	faultGracefulStop simulationFault = "graceful stop"
	faultLostResponse simulationFault = "lost answer"
	faultOutage       simulationFault = "outage"
	faultPause        simulationFault = "pause"
	faultRestore      simulationFault = "restore"
	faultSlowResponse simulationFault = "slow answer"
)

var simulationFaults = []simulationFault{
	faultCapChange, faultInstanceEnds, faultLateCommit, faultGracefulStop, faultLostResponse, faultOutage, faultPause, faultSlowResponse,
	faultRestore,
}

// A protection is a protection of the grant protocol that a grantSimulation can
// remove.
type protection string

// The protections that can be removed.
const (
	allProtections          protection = ""
	withoutCompareAndSet    protection = "compare-and-set"
	withoutEra              protection = "era of the table"
	withoutEndedCheck       protection = "floor slots only from ended holders"
	withoutFirstByteCheck   protection = "check before the first byte"
	withoutReclaimMargin    protection = "guard"
	withoutNonceSightings   protection = "observation by nonce"
	withoutMaxRequestTime   protection = "request time"
	withoutLifetimeFromSend protection = "lifetime from before the write"
	withoutResolution       protection = "settling of unknown outcomes"
)

var protections = []protection{
	withoutCompareAndSet, withoutEndedCheck, withoutFirstByteCheck, withoutReclaimMargin, withoutNonceSightings,
	withoutMaxRequestTime, withoutLifetimeFromSend, withoutResolution, withoutEra,
}

const (
	simulatedInstanceCount = 12
	simulatedRowKey        = savorystep.RowKey("budget/region/status/natal")
	simulatedGrantLifetime = 30 * time.Second
	simulatedReclaimMargin = 5 * time.Second
	// An instance does without a response of the table for at most eraCheckPeriod.
	eraCheckPeriod = 10 * time.Second
	// A simulation has either requests of up to longRequestTime or of up to
	// shortRequestTime, each with its clock drift: the clock rates deviate by
	// that many thousandths. The reclaim margin covers the drift in both cases.
	longRequestTime           = 30 * time.Second
	longRequestDriftPermille  = 20
	shortRequestTime          = 10 * time.Millisecond
	shortRequestDriftPermille = 50
)

// A simulatedCall is a call to the table in flight.
type simulatedCall struct {
	// writeProposal is nil for a read.
	writeProposal *store.GrantProposal
	// appliedAt is when the table executes the call and answeredAt when the
	// caller gets the response; both are 0 for never. timeoutAt is when the
	// caller stops waiting.
	appliedAt, answeredAt, timeoutAt time.Duration
	applied                          bool
	row                              savorystep.Row
	commit                           savorystep.CommitResult
}

// A simulatedInstance is an instance with its ledger.
type simulatedInstance struct {
	id     savorystep.InstanceID
	ledger *store.GrantLedger
	// clockBase and clockRatePermille map the simulated time to the instance's
	// monotonic clock.
	clockBase         time.Time
	clockRatePermille int64
	// wallClockSkew is the error of the instance's wall clock.
	wallClockSkew  time.Duration
	paused         bool
	stopping       bool
	budgetCap      savorystep.Slots
	capReceivedAt  time.Duration
	acquiredUnsent savorystep.Slots
	requestEnds    []time.Duration
	neededUnits    savorystep.Slots
	pendingCall    *simulatedCall
	callsInFlight  []*simulatedCall
	// answeredAt is the time of the last response of the table.
	answeredAt time.Duration
	allowance  store.GrantAllowance
}

// A grantSimulation runs the ledgers of many instances on one row and injects
// faults. All random choices come from pick.
type grantSimulation struct {
	pick    func(label string, n int) int
	faults  map[simulationFault]bool
	removed protection
	// maxRequestTime bounds the requests, clockDriftPermille is the rate error
	// of the clocks in thousandths.
	maxRequestTime     time.Duration
	clockDriftPermille int

	now             time.Duration
	table           *standin.Table
	instances       []*simulatedInstance
	listedAsEndedAt map[savorystep.InstanceID]time.Duration
	callsOfEnded    []*simulatedCall
	tableDown       bool
	lastID          int
	budgetCap       savorystep.Slots
	highestCap      savorystep.Slots
	// writtenAt is the simulated time at which each version was written.
	writtenAt map[savorystep.RowVersion]time.Duration
	// noPauseUntil is the end of the time after a restore in which no pause begins.
	noPauseUntil time.Duration
	// admitted counts the requests that were sent.
	admitted  int
	violation string
}

// newGrantSimulation returns a simulation in which all instances run.
func newGrantSimulation(pick func(string, int) int, budgetCap savorystep.Slots, removed protection, faults ...simulationFault) *grantSimulation {
	s := &grantSimulation{
		pick: pick, faults: make(map[simulationFault]bool), removed: removed, table: standin.NewTable(),
		listedAsEndedAt: make(map[savorystep.InstanceID]time.Duration),
		budgetCap:       budgetCap, highestCap: budgetCap, writtenAt: make(map[savorystep.RowVersion]time.Duration),
		maxRequestTime: longRequestTime, clockDriftPermille: longRequestDriftPermille,
	}
	if removed == withoutEra {
		s.table.HideEra()
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

// oneIn returns true with a probability of 1/n.
func (s *grantSimulation) oneIn(label string, n int) bool {
	return s.pick(label, n) == n-1
}

// addInstance adds a running instance with a random clock.
func (s *grantSimulation) addInstance() {
	s.lastID++
	config := store.GrantLedgerConfig{
		Self:          savorystep.InstanceID(fmt.Sprintf("n%d", s.lastID)),
		GrantLifetime: simulatedGrantLifetime, ReclaimMargin: simulatedReclaimMargin, MaxRequestTime: s.maxRequestTime,
	}
	switch s.removed {
	case withoutReclaimMargin:
		config.ReclaimMargin = 1
	case withoutMaxRequestTime:
		config.MaxRequestTime = 1
	default:
	}
	instance := &simulatedInstance{
		id: config.Self, ledger: store.NewGrantLedger(config),
		clockBase:         time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(s.lastID) * time.Hour),
		clockRatePermille: int64(1000 + (s.pick("rate", 3)-1)*s.clockDriftPermille),
		wallClockSkew:     time.Duration(s.pick("skew", 5)-2) * 30 * time.Second,
		budgetCap:         s.budgetCap,
	}
	instance.ledger.SetCap(s.monotonicTime(instance), s.budgetCap)
	s.instances = append(s.instances, instance)
}

// monotonicTime returns the time on an instance's monotonic clock.
func (s *grantSimulation) monotonicTime(instance *simulatedInstance) time.Time {
	return instance.clockBase.Add(s.now * time.Duration(instance.clockRatePermille) / 1000)
}

// step advances the time by a random amount and lets each instance act once.
func (s *grantSimulation) step() {
	steps := []time.Duration{
		100 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 5 * time.Second,
	}
	s.now += steps[s.pick("time", len(steps))]
	s.toggleFaults()
	s.applyDueCalls()
	for _, instance := range append([]*simulatedInstance(nil), s.instances...) {
		s.endRequests(instance)
		if !instance.paused {
			s.act(instance)
		}
	}
	s.checkCap("after a step")
}

// toggleFaults starts and ends faults at random.
func (s *grantSimulation) toggleFaults() {
	if s.faults[faultOutage] {
		if s.tableDown {
			s.tableDown = !s.oneIn("outage ends", 8)
		} else {
			s.tableDown = s.oneIn("outage begins", 20)
		}
	}
	if s.faults[faultInstanceEnds] && s.oneIn("death", 12) {
		s.endInstance(s.pick("victim", len(s.instances)))
		s.addInstance()
	}
	if s.faults[faultRestore] && s.oneIn("restore", 40) {
		s.restore()
	}
	if s.now < s.noPauseUntil {
		s.endLongPauses()
	} else if s.faults[faultPause] && s.oneIn("pause", 3) {
		instance := s.instances[s.pick("paused", len(s.instances))]
		instance.paused = !instance.paused
	}
	if s.faults[faultGracefulStop] && s.oneIn("leave", 15) {
		s.instances[s.pick("leaver", len(s.instances))].stopping = true
	}
	if s.faults[faultCapChange] && s.oneIn("cap", 30) {
		s.budgetCap = savorystep.Slots(10 + s.pick("limit", 90))
		s.highestCap = max(s.highestCap, s.budgetCap)
		for _, instance := range s.instances {
			instance.capReceivedAt = s.now + time.Duration(s.pick("learns", 18))*time.Second
		}
	}
}

// An instance that is paused for longer than maxPauseAfterRestore may keep a floor slot
// that it took in the lost part, see docs/decisions/restore.md. So no pause begins for
// noPauseAfterRestore.
const (
	maxPauseAfterRestore = 20 * time.Second
	noPauseAfterRestore  = 90 * time.Second
)

// restore restores the table from a copy that is some seconds old.
func (s *grantSimulation) restore() {
	ages := []time.Duration{time.Second, 5 * time.Second, 20 * time.Second, time.Minute}
	copiedAt := s.now - ages[s.pick("age", len(ages))]
	version := savorystep.RowVersion(0)
	for written, at := range s.writtenAt {
		if at <= copiedAt {
			version = max(version, written)
		}
	}
	for written := range s.writtenAt {
		if written > version {
			delete(s.writtenAt, written)
		}
	}
	s.table.Restore(version)
	s.noPauseUntil = s.now + noPauseAfterRestore
}

// endLongPauses ends the pauses of maxPauseAfterRestore after a restore.
func (s *grantSimulation) endLongPauses() {
	for _, instance := range s.instances {
		if s.now >= s.noPauseUntil-noPauseAfterRestore+maxPauseAfterRestore {
			instance.paused = false
		}
	}
}

// endInstance ends an instance. Its connections close, so its requests end too,
// but its calls to the table may still be executed.
func (s *grantSimulation) endInstance(index int) {
	instance := s.instances[index]
	s.listedAsEndedAt[instance.id] = s.now + time.Duration(s.pick("listed", 20))*time.Second
	s.callsOfEnded = append(s.callsOfEnded, instance.callsInFlight...)
	s.instances = append(s.instances[:index], s.instances[index+1:]...)
}

// endedInstances returns the instances that the platform lists as ended, which
// is some time after they ended.
func (s *grantSimulation) endedInstances() map[savorystep.InstanceID]bool {
	endedInstances := make(map[savorystep.InstanceID]bool)
	for id, listedAt := range s.listedAsEndedAt {
		if s.now >= listedAt {
			endedInstances[id] = true
		}
	}
	if s.removed == withoutEndedCheck {
		for _, instance := range s.instances {
			if instance.paused {
				endedInstances[instance.id] = true
			}
		}
	}
	return endedInstances
}

// applyDueCalls lets the table execute the calls that are due.
func (s *grantSimulation) applyDueCalls() {
	calls := s.callsOfEnded
	for _, instance := range s.instances {
		calls = append(calls, instance.callsInFlight...)
	}
	for _, call := range calls {
		if !call.applied && call.appliedAt != 0 && s.now >= call.appliedAt && !s.tableDown {
			s.apply(call)
		}
	}
	for _, instance := range s.instances {
		kept := instance.callsInFlight[:0]
		for _, call := range instance.callsInFlight {
			if !call.applied && call.appliedAt != 0 {
				kept = append(kept, call)
			}
		}
		instance.callsInFlight = kept
	}
}

// apply lets the table execute one call.
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
	txn := savorystep.Txn{Writes: []savorystep.Write{{Key: simulatedRowKey, Value: value}}, Era: call.writeProposal.Era}
	if s.removed != withoutCompareAndSet {
		txn.Conditions = []savorystep.Condition{{Key: simulatedRowKey, Version: call.writeProposal.BaseVersion}}
	}
	call.commit, _ = s.table.Commit(ctx, txn)
	if call.commit.Version != 0 {
		s.writtenAt[call.commit.Version] = s.now
	}
}

// endRequests removes the requests that have ended. An upstream ends them at
// their deadlines, whatever happens to the instance.
func (s *grantSimulation) endRequests(instance *simulatedInstance) {
	kept := instance.requestEnds[:0]
	for _, end := range instance.requestEnds {
		if end > s.now {
			kept = append(kept, end)
		}
	}
	instance.requestEnds = kept
}

// inFlight returns the units that the instance itself counts as in use.
func (i *simulatedInstance) inFlight() savorystep.Slots {
	return i.acquiredUnsent + savorystep.Slots(len(i.requestEnds))
}

// act lets an instance receive a new cap, work on the row, send requests and
// acquire units.
func (s *grantSimulation) act(instance *simulatedInstance) {
	if instance.budgetCap != s.budgetCap && s.now >= instance.capReceivedAt {
		instance.budgetCap = s.budgetCap
		instance.ledger.SetCap(s.monotonicTime(instance), s.budgetCap)
	}
	s.work(instance)
	instance.allowance = instance.ledger.Allowance()
	s.sendAcquired(instance)
	if instance.stopping {
		if instance.inFlight() == 0 && instance.ledger.HoldsNothing() {
			s.stopInstance(instance)
		}
		return
	}
	s.acquireUnits(instance)
}

// stopInstance replaces a stopping instance that has returned all units.
func (s *grantSimulation) stopInstance(instance *simulatedInstance) {
	for i := range s.instances {
		if s.instances[i] == instance {
			s.endInstance(i)
			s.addInstance()
			return
		}
	}
}

// sendAcquired sends the first bytes of the requests with acquired units, or
// drops those whose units may no longer be used.
func (s *grantSimulation) sendAcquired(instance *simulatedInstance) {
	for ; instance.acquiredUnsent > 0; instance.acquiredUnsent-- {
		valid := instance.inFlight() <= instance.allowance.UsableUnits(s.monotonicTime(instance))
		if !valid && s.removed != withoutFirstByteCheck {
			continue
		}
		maxDuration := s.maxRequestTime * 1000 / time.Duration(instance.clockRatePermille)
		end := s.now + maxDuration
		if s.pick("length", 2) == 0 {
			end = s.now + maxDuration/30
		}
		instance.requestEnds = append(instance.requestEnds, end)
		s.admitted++
		s.checkLoweredCap(instance)
	}
}

// acquireUnits acquires units for new requests. They are sent when the instance
// acts next, so that it may be paused in between.
func (s *grantSimulation) acquireUnits(instance *simulatedInstance) {
	demands := []savorystep.Slots{0, 1, 3, 10, 60}
	if s.oneIn("demand", 4) {
		instance.neededUnits = demands[s.pick("need", len(demands))]
	}
	for instance.inFlight() < min(instance.neededUnits, instance.allowance.AdmissionLimit(s.monotonicTime(instance))) {
		instance.acquiredUnsent++
	}
}

// work handles the response to a pending call, and then starts a read or a
// write of the row.
func (s *grantSimulation) work(instance *simulatedInstance) {
	now := s.monotonicTime(instance)
	demand := store.GrantDemand{
		InFlight: instance.inFlight(), PeakNeed: max(instance.neededUnits, instance.inFlight()), ReturnUnused: instance.stopping, EndedInstances: s.endedInstances(),
	}
	if instance.pendingCall != nil && !s.takeAnswer(instance, now) {
		return
	}
	if instance.ledger.IsReadDue(now, demand) || s.faults[faultRestore] && s.now-instance.answeredAt >= eraCheckPeriod {
		s.send(instance, s.newCall(nil))
		return
	}
	pendingCall := s.newCall(nil)
	if s.removed == withoutLifetimeFromSend && pendingCall.answeredAt > s.now {
		now = now.Add(pendingCall.answeredAt - s.now)
	}
	if proposal, ok := instance.ledger.Propose(now, demand); ok {
		pendingCall.writeProposal = &proposal
		s.send(instance, pendingCall)
	}
}

// newCall returns a call with random times of execution and response.
func (s *grantSimulation) newCall(writeProposal *store.GrantProposal) *simulatedCall {
	call := &simulatedCall{writeProposal: writeProposal, appliedAt: s.now, answeredAt: s.now, timeoutAt: s.now + 2*time.Second}
	switch {
	case s.tableDown:
		call.appliedAt, call.answeredAt, call.timeoutAt = 0, 0, s.now
	case s.faults[faultLostResponse] && s.oneIn("lost", 5):
		call.answeredAt = 0
	case s.faults[faultLateCommit] && s.oneIn("late", 5):
		call.appliedAt, call.answeredAt = s.now+time.Duration(1+s.pick("delay", 90))*time.Second, 0
	case s.faults[faultSlowResponse] && s.oneIn("slow", 4):
		call.answeredAt = s.now + time.Duration(1+s.pick("slowness", 25))*time.Second
		call.timeoutAt = call.answeredAt + time.Second
	default:
	}
	return call
}

// send starts a call. Half of the calls are answered at once.
func (s *grantSimulation) send(instance *simulatedInstance, pendingCall *simulatedCall) {
	instance.pendingCall = pendingCall
	instance.callsInFlight = append(instance.callsInFlight, pendingCall)
	if pendingCall.appliedAt == s.now && !s.tableDown {
		s.apply(pendingCall)
	}
	if s.pick("prompt", 2) == 0 {
		s.takeAnswer(instance, s.monotonicTime(instance))
	}
}

// takeAnswer handles the response or the timeout of the pending call. It
// returns false while the instance still waits.
func (s *grantSimulation) takeAnswer(instance *simulatedInstance, now time.Time) bool {
	pendingCall := instance.pendingCall
	answered := pendingCall.applied && pendingCall.answeredAt != 0 && s.now >= pendingCall.answeredAt
	if !answered && s.now < pendingCall.timeoutAt {
		return false
	}
	instance.pendingCall = nil
	if answered {
		instance.answeredAt = s.now
	}
	switch {
	case !answered && pendingCall.writeProposal != nil && s.removed == withoutResolution:
		instance.ledger.RecordCommit(*pendingCall.writeProposal, pendingCall.writeProposal.BaseVersion+1, now)
	case !answered:
		instance.ledger.RecordUnknownOutcome()
	case pendingCall.writeProposal != nil && pendingCall.commit.IsOtherEra():
		instance.ledger.RecordUnknownOutcome()
	case pendingCall.writeProposal == nil:
		s.observe(instance, pendingCall.row, now)
	case len(pendingCall.commit.Conflicts) > 0:
		s.observe(instance, pendingCall.commit.Conflicts[0], now)
	default:
		instance.ledger.RecordCommit(*pendingCall.writeProposal, pendingCall.commit.Version, now)
	}
	return true
}

// observe passes a row to the ledger of an instance.
func (s *grantSimulation) observe(instance *simulatedInstance, row savorystep.Row, now time.Time) {
	if s.removed == withoutNonceSightings && row.Version > 0 {
		now = now.Add(s.writtenAt[row.Version] - s.now + instance.wallClockSkew)
	}
	if err := instance.ledger.Observe(row, now); err != nil {
		panic(err)
	}
}

// inUse returns the requests that load upstreams, and these or the units
// reserved for each instance, whichever is greater.
func (s *grantSimulation) inUse() (sent, reserved savorystep.Slots) {
	for _, instance := range s.instances {
		running := savorystep.Slots(len(instance.requestEnds))
		sent += running
		reserved += max(running, instance.allowance.ReservedUnits(s.monotonicTime(instance)))
	}
	return sent, reserved
}

// checkCap records a violation if the units in use or reserved exceed the
// highest cap so far.
func (s *grantSimulation) checkCap(when string) {
	sent, reserved := s.inUse()
	if s.violation == "" && (sent > s.highestCap || reserved > s.highestCap) {
		s.violation = fmt.Sprintf("%s at %v: %d units sent, %d reserved, cap %d", when, s.now, sent, reserved, s.highestCap)
	}
}

// checkLoweredCap records a violation if the units in use exceed a lowered cap
// that all instances have received.
func (s *grantSimulation) checkLoweredCap(instance *simulatedInstance) {
	for _, other := range s.instances {
		if other.budgetCap != s.budgetCap {
			return
		}
	}
	if sent, _ := s.inUse(); s.violation == "" && sent > s.budgetCap {
		s.violation = fmt.Sprintf("%s sent a request at %v: %d units in use, above the lowered cap of %d", instance.id, s.now, sent, s.budgetCap)
	}
}

// newSeededSimulation returns a simulation whose choices come from a seed.
func newSeededSimulation(seed uint64, budgetCap int, removed protection, faults ...simulationFault) *grantSimulation {
	random := rand.New(rand.NewPCG(seed, 0))
	pick := func(_ string, n int) int { return random.IntN(n) }
	return newGrantSimulation(pick, savorystep.Slots(budgetCap), removed, faults...)
}
