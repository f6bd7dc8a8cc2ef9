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
type worldFault string

// The faults of a ledgerWorld.
const (
	faultCap    worldFault = "cap changes"
	faultDeath  worldFault = "death and joining"
	faultLate   worldFault = "late commit"
	faultLeave  worldFault = "graceful stop"
	faultLost   worldFault = "lost answer"
	faultOutage worldFault = "outage"
	faultPause  worldFault = "pause"
	faultSlow   worldFault = "slow answer"
)

var worldFaults = []worldFault{
	faultCap, faultDeath, faultLate, faultLeave, faultLost, faultOutage, faultPause, faultSlow,
}

// worldProtection names a protection that a ledgerWorld can leave out.
type worldProtection string

// The protections that can be left out.
const (
	withoutNothing     worldProtection = ""
	withoutCompare     worldProtection = "compare-and-set"
	withoutEnded       worldProtection = "floor slots only from ended holders"
	withoutFirstByte   worldProtection = "check before the first byte"
	withoutGuard       worldProtection = "guard"
	withoutNonce       worldProtection = "observation by nonce"
	withoutRequestTime worldProtection = "request time"
	withoutSentBefore  worldProtection = "lifetime from before the write"
	withoutSettling    worldProtection = "settling of unknown outcomes"
)

var worldProtections = []worldProtection{
	withoutCompare, withoutEnded, withoutFirstByte, withoutGuard, withoutNonce,
	withoutRequestTime, withoutSentBefore, withoutSettling,
}

const (
	worldInstances = 12
	worldKey       = savorystep.RowKey("budget/region/status/natal")
	worldLifetime  = 30 * time.Second
	worldGuard     = 5 * time.Second
	// A world has requests of up to worldLong and clocks whose rates are off by
	// worldLongDrift thousandths, or short requests and a larger drift. The
	// guard covers the drift in both.
	worldLong       = 30 * time.Second
	worldLongDrift  = 20
	worldShort      = 10 * time.Millisecond
	worldShortDrift = 50
)

// A worldCall is a call of the table on its way.
type worldCall struct {
	// write is nil for a read.
	write *store.GrantProposal
	// effect and answer are the times at which the table carries out the call
	// and at which its caller gets the answer, zero for never. giveUp is when
	// the caller stops to wait.
	effect, answer, giveUp time.Duration
	done                   bool
	row                    savorystep.Row
	commit                 savorystep.CommitResult
}

// A worldNode is one instance with its ledger.
type worldNode struct {
	id     savorystep.InstanceID
	ledger *store.GrantLedger
	// base and rate map the true time to the node's monotonic clock.
	base time.Time
	rate int64
	// skew is the error of its wall clock.
	skew          time.Duration
	paused        bool
	leaving       bool
	limit         savorystep.Slots
	learnsAt      time.Duration
	unsent        savorystep.Slots
	sentEnds      []time.Duration
	need          savorystep.Slots
	call          *worldCall
	callsInFlight []*worldCall
	allowance     store.GrantAllowance
}

// A ledgerWorld is many ledgers over one row, with faults. Its choices come
// from pick, so that rapid or a seeded source can drive it.
type ledgerWorld struct {
	pick    func(label string, n int) int
	faults  map[worldFault]bool
	without worldProtection
	// request is the longest request, drift the error of the clocks in
	// thousandths.
	request time.Duration
	drift   int

	now      time.Duration
	table    *standin.Table
	nodes    []*worldNode
	dead     map[savorystep.InstanceID]time.Duration
	late     []*worldCall
	down     bool
	nextID   int
	limit    savorystep.Slots
	maxLimit savorystep.Slots
	// written is the wall clock of the last writer of each version.
	written map[savorystep.RowVersion]time.Duration
	// admitted counts requests sent.
	admitted int
	problem  string
}

// newLedgerWorld returns a world with all instances alive.
func newLedgerWorld(pick func(string, int) int, limit savorystep.Slots, without worldProtection, faults ...worldFault) *ledgerWorld {
	w := &ledgerWorld{
		pick: pick, faults: make(map[worldFault]bool), without: without, table: standin.NewTable(),
		dead:  make(map[savorystep.InstanceID]time.Duration),
		limit: limit, maxLimit: limit, written: make(map[savorystep.RowVersion]time.Duration),
		request: worldLong, drift: worldLongDrift,
	}
	if pick("short requests", 2) == 0 {
		w.request, w.drift = worldShort, worldShortDrift
	}
	for _, fault := range faults {
		w.faults[fault] = true
	}
	for range worldInstances {
		w.join()
	}
	return w
}

// chance is true once in n times.
func (w *ledgerWorld) chance(label string, n int) bool {
	return w.pick(label, n) == n-1
}

// join adds an instance.
func (w *ledgerWorld) join() {
	w.nextID++
	config := store.LedgerConfig{
		Self:     savorystep.InstanceID(fmt.Sprintf("n%d", w.nextID)),
		Lifetime: worldLifetime, Guard: worldGuard, RequestTime: w.request,
	}
	switch w.without {
	case withoutGuard:
		config.Guard = 1
	case withoutRequestTime:
		config.RequestTime = 1
	default:
	}
	node := &worldNode{
		id: config.Self, ledger: store.NewGrantLedger(config),
		base:  time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(w.nextID) * time.Hour),
		rate:  int64(1000 + (w.pick("rate", 3)-1)*w.drift),
		skew:  time.Duration(w.pick("skew", 5)-2) * 30 * time.Second,
		limit: w.limit,
	}
	node.ledger.SetLimit(w.local(node), w.limit)
	w.nodes = append(w.nodes, node)
}

// local returns a node's monotonic time.
func (w *ledgerWorld) local(node *worldNode) time.Time {
	return node.base.Add(w.now * time.Duration(node.rate) / 1000)
}

// step lets a random time pass and each instance act once.
func (w *ledgerWorld) step() {
	steps := []time.Duration{
		100 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 5 * time.Second,
	}
	w.now += steps[w.pick("time", len(steps))]
	w.switchFaults()
	w.carryOut()
	for _, node := range append([]*worldNode(nil), w.nodes...) {
		w.endRequests(node)
		if !node.paused {
			w.act(node)
		}
	}
	w.check("after a step")
}

// switchFaults begins and ends faults.
func (w *ledgerWorld) switchFaults() {
	if w.faults[faultOutage] {
		if w.down {
			w.down = !w.chance("outage ends", 8)
		} else {
			w.down = w.chance("outage begins", 20)
		}
	}
	if w.faults[faultDeath] && w.chance("death", 12) {
		w.kill(w.pick("victim", len(w.nodes)))
		w.join()
	}
	if w.faults[faultPause] && w.chance("pause", 3) {
		node := w.nodes[w.pick("paused", len(w.nodes))]
		node.paused = !node.paused
	}
	if w.faults[faultLeave] && w.chance("leave", 15) {
		w.nodes[w.pick("leaver", len(w.nodes))].leaving = true
	}
	if w.faults[faultCap] && w.chance("cap", 30) {
		w.limit = savorystep.Slots(10 + w.pick("limit", 90))
		w.maxLimit = max(w.maxLimit, w.limit)
		for _, node := range w.nodes {
			node.learnsAt = w.now + time.Duration(w.pick("learns", 18))*time.Second
		}
	}
}

// kill ends an instance. Its connections close, so its requests are over.
func (w *ledgerWorld) kill(index int) {
	node := w.nodes[index]
	w.dead[node.id] = w.now + time.Duration(w.pick("listed", 20))*time.Second
	w.late = append(w.late, node.callsInFlight...)
	w.nodes = append(w.nodes[:index], w.nodes[index+1:]...)
}

// ended returns what the lagging list says.
func (w *ledgerWorld) ended() map[savorystep.InstanceID]bool {
	ended := make(map[savorystep.InstanceID]bool)
	for id, listed := range w.dead {
		if w.now >= listed {
			ended[id] = true
		}
	}
	if w.without == withoutEnded {
		for _, node := range w.nodes {
			if node.paused {
				ended[node.id] = true
			}
		}
	}
	return ended
}

// carryOut lets the table carry out the calls that are due.
func (w *ledgerWorld) carryOut() {
	calls := w.late
	for _, node := range w.nodes {
		calls = append(calls, node.callsInFlight...)
	}
	for _, call := range calls {
		if !call.done && call.effect != 0 && w.now >= call.effect && !w.down {
			w.apply(call)
		}
	}
	for _, node := range w.nodes {
		kept := node.callsInFlight[:0]
		for _, call := range node.callsInFlight {
			if !call.done && call.effect != 0 {
				kept = append(kept, call)
			}
		}
		node.callsInFlight = kept
	}
}

// apply carries out one call.
func (w *ledgerWorld) apply(call *worldCall) {
	call.done = true
	ctx := context.Background()
	if call.write == nil {
		call.row, _ = w.table.Get(ctx, worldKey)
		return
	}
	value, err := json.Marshal(call.write.Row)
	if err != nil {
		panic(err)
	}
	txn := savorystep.Txn{Writes: []savorystep.Write{{Key: worldKey, Value: value}}}
	if w.without != withoutCompare {
		txn.Conditions = []savorystep.Condition{{Key: worldKey, Version: call.write.Base}}
	}
	call.commit, _ = w.table.Commit(ctx, txn)
	if len(call.commit.Conflicts) == 0 {
		w.written[call.commit.Version] = w.now
	}
}

// endRequests ends requests that are over. An upstream ends them at their
// deadlines, whatever happens to the instance.
func (w *ledgerWorld) endRequests(node *worldNode) {
	kept := node.sentEnds[:0]
	for _, end := range node.sentEnds {
		if end > w.now {
			kept = append(kept, end)
		}
	}
	node.sentEnds = kept
}

// inFlight returns the units that a node's own accounting counts.
func (n *worldNode) inFlight() savorystep.Slots {
	return n.unsent + savorystep.Slots(len(n.sentEnds))
}

// act lets a node learn the limit, serve callers and work on the row.
func (w *ledgerWorld) act(node *worldNode) {
	if node.limit != w.limit && w.now >= node.learnsAt {
		node.limit = w.limit
		node.ledger.SetLimit(w.local(node), w.limit)
	}
	w.work(node)
	node.allowance = node.ledger.Allowance()
	w.sendUnsent(node)
	if node.leaving {
		if node.inFlight() == 0 && node.ledger.IsGone() {
			w.leave(node)
		}
		return
	}
	w.serve(node)
}

// leave ends an instance that returned everything.
func (w *ledgerWorld) leave(node *worldNode) {
	for i := range w.nodes {
		if w.nodes[i] == node {
			w.kill(i)
			w.join()
			return
		}
	}
}

// sendUnsent sends the first byte of acquired units, or drops them.
func (w *ledgerWorld) sendUnsent(node *worldNode) {
	for ; node.unsent > 0; node.unsent-- {
		valid := node.inFlight() <= node.allowance.Usable(w.local(node))
		if !valid && w.without != withoutFirstByte {
			continue
		}
		longest := w.request * 1000 / time.Duration(node.rate)
		end := w.now + longest
		if w.pick("length", 2) == 0 {
			end = w.now + longest/30
		}
		node.sentEnds = append(node.sentEnds, end)
		w.admitted++
		w.checkLowered(node)
	}
}

// serve acquires units for new requests. They are sent at the node's next
// turn, so that it may be paused in between.
func (w *ledgerWorld) serve(node *worldNode) {
	demands := []savorystep.Slots{0, 1, 3, 10, 60}
	if w.chance("demand", 4) {
		node.need = demands[w.pick("need", len(demands))]
	}
	for node.inFlight() < min(node.need, node.allowance.Admit(w.local(node))) {
		node.unsent++
	}
}

// work handles an answer, and reads or writes the row.
func (w *ledgerWorld) work(node *worldNode) {
	now := w.local(node)
	demand := store.GrantDemand{
		InFlight: node.inFlight(), Need: max(node.need, node.inFlight()), Leaving: node.leaving, Ended: w.ended(),
	}
	if node.call != nil && !w.finish(node, now) {
		return
	}
	if node.ledger.IsReadDue(now, demand) {
		w.send(node, w.newCall(nil))
		return
	}
	call := w.newCall(nil)
	if w.without == withoutSentBefore && call.answer > w.now {
		now = now.Add(call.answer - w.now)
	}
	if proposal, ok := node.ledger.Propose(now, demand); ok {
		call.write = &proposal
		w.send(node, call)
	}
}

// newCall chooses what becomes of a call.
func (w *ledgerWorld) newCall(write *store.GrantProposal) *worldCall {
	call := &worldCall{write: write, effect: w.now, answer: w.now, giveUp: w.now + 2*time.Second}
	switch {
	case w.down:
		call.effect, call.answer, call.giveUp = 0, 0, w.now
	case w.faults[faultLost] && w.chance("lost", 5):
		call.answer = 0
	case w.faults[faultLate] && w.chance("late", 5):
		call.effect, call.answer = w.now+time.Duration(1+w.pick("delay", 90))*time.Second, 0
	case w.faults[faultSlow] && w.chance("slow", 4):
		call.answer = w.now + time.Duration(1+w.pick("slowness", 25))*time.Second
		call.giveUp = call.answer + time.Second
	default:
	}
	return call
}

// send starts a call. A prompt call is answered before the node's next turn.
func (w *ledgerWorld) send(node *worldNode, call *worldCall) {
	node.call = call
	node.callsInFlight = append(node.callsInFlight, call)
	if call.effect == w.now && !w.down {
		w.apply(call)
	}
	if w.pick("prompt", 2) == 0 {
		w.finish(node, w.local(node))
	}
}

// finish takes the answer of a node's call and reports whether there was one.
func (w *ledgerWorld) finish(node *worldNode, now time.Time) bool {
	call := node.call
	answered := call.done && call.answer != 0 && w.now >= call.answer
	if !answered && w.now < call.giveUp {
		return false
	}
	node.call = nil
	switch {
	case !answered && call.write != nil && w.without == withoutSettling:
		node.ledger.Committed(*call.write, call.write.Base+1, now)
	case !answered:
		node.ledger.Unknown()
	case call.write == nil:
		w.observe(node, call.row, now)
	case len(call.commit.Conflicts) > 0:
		w.observe(node, call.commit.Conflicts[0], now)
	default:
		node.ledger.Committed(*call.write, call.commit.Version, now)
	}
	return true
}

// observe gives a row to a ledger.
func (w *ledgerWorld) observe(node *worldNode, row savorystep.Row, now time.Time) {
	if w.without == withoutNonce && row.Version > 0 {
		now = now.Add(w.written[row.Version] - w.now + node.skew)
	}
	if err := node.ledger.Observe(row, now); err != nil {
		panic(err)
	}
}

// inUse returns what the instances use or may use at once: requests at
// upstreams and what each may still send.
func (w *ledgerWorld) inUse() (sent, reserved savorystep.Slots) {
	for _, node := range w.nodes {
		running := savorystep.Slots(len(node.sentEnds))
		sent += running
		reserved += max(running, node.allowance.Reserved(w.local(node)))
	}
	return sent, reserved
}

// check notes a problem if the sum in use passes the cap.
func (w *ledgerWorld) check(when string) {
	sent, reserved := w.inUse()
	if w.problem == "" && (sent > w.maxLimit || reserved > w.maxLimit) {
		w.problem = fmt.Sprintf("%s at %v: %d units sent, %d reserved, cap %d", when, w.now, sent, reserved, w.maxLimit)
	}
}

// checkLowered notes a problem if a request is sent that takes the sum above a
// lowered cap which all instances know.
func (w *ledgerWorld) checkLowered(node *worldNode) {
	for _, other := range w.nodes {
		if other.limit != w.limit {
			return
		}
	}
	if sent, _ := w.inUse(); w.problem == "" && sent > w.limit {
		w.problem = fmt.Sprintf("%s sent a request at %v: %d units in use, cap lowered to %d", node.id, w.now, sent, w.limit)
	}
}

// newSeededWorld returns a world whose choices come from a seed.
func newSeededWorld(seed uint64, limit int, without worldProtection, faults ...worldFault) *ledgerWorld {
	source := rand.New(rand.NewPCG(seed, 0))
	pick := func(_ string, n int) int { return source.IntN(n) }
	return newLedgerWorld(pick, savorystep.Slots(limit), without, faults...)
}
