package store_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"savorystep"
	"savorystep/standin"
	"savorystep/store"
)

// A grantScript is the state of one script, which runs the ledgers of several
// instances on one row.
type grantScript struct {
	t       *testing.T
	now     time.Time
	table   *standin.FaultyTable
	backing *standin.Table
	ledgers map[string]*store.GrantLedger
	ended   map[savorystep.InstanceID]bool
}

// TestGrantScripts runs the scripts in testdata/grants. They guard against
// changes of the grant protocol that stay within the cap but grow slowly,
// divide unfairly or leave the floor unused.
func TestGrantScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/grants", func(t *testing.T, path string) {
		t.Helper()
		backing := standin.NewTable()
		script := &grantScript{
			t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
			table:   standin.NewFaultyTable(backing),
			backing: backing,
			ledgers: make(map[string]*store.GrantLedger),
			ended:   make(map[savorystep.InstanceID]bool),
		}
		datadriven.RunTest(t, path, script.run)
	})
}

// run executes one command of the script.
func (s *grantScript) run(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	switch d.Cmd {
	case "advance":
		elapsed, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		s.now = s.now.Add(elapsed)
		return ""
	case "allow":
		return s.printAllowances(d)
	case "applylate":
		if err := s.table.ApplyHeldCommits(t.Context()); err != nil {
			d.Fatalf(t, "%v", err)
		}
		return ""
	case "ended":
		s.ended[savorystep.InstanceID(d.CmdArgs[0].Key)] = true
		return ""
	case "faults":
		var faults standin.TableFaults
		faults.Down = d.HasArg("down")
		faults.HoldCommits = d.HasArg("late")
		if d.HasArg("lose") {
			faults.LoseResponses = 1
		}
		s.table.SetFaults(faults)
		return ""
	case "era":
		for _, arg := range d.CmdArgs {
			s.ledger(arg.Key).NoteEra(s.backing.Era())
		}
		return ""
	case "limit":
		var limit int
		d.ScanArgs(t, "limit", &limit)
		for _, arg := range d.CmdArgs {
			if arg.Key != "limit" {
				s.ledger(arg.Key).SetCap(s.now, savorystep.Slots(limit))
			}
		}
		return ""
	case "restore":
		var version int
		d.ScanArgs(t, "version", &version)
		s.backing.Restore(savorystep.RowVersion(version))
		return ""
	case "work":
		return s.readAndWrite(d)
	default:
		d.Fatalf(t, "unknown command %q", d.Cmd)
		return ""
	}
}

// ledger returns the ledger of an instance and creates it if necessary.
func (s *grantScript) ledger(id string) *store.GrantLedger {
	ledger, ok := s.ledgers[id]
	if !ok {
		ledger = store.NewGrantLedger(store.GrantLedgerConfig{Self: savorystep.InstanceID(id)})
		s.ledgers[id] = ledger
	}
	return ledger
}

// printAllowances prints how many units instances may admit and how many are
// reserved for them.
func (s *grantScript) printAllowances(d *datadriven.TestData) string {
	var out strings.Builder
	for _, arg := range d.CmdArgs {
		allowance := s.ledger(arg.Key).Allowance()
		fmt.Fprintf(&out, "%s: admit %d, reserved %d\n", arg.Key, allowance.AdmissionLimit(s.now), allowance.ReservedUnits(s.now))
	}
	return out.String()
}

// readAndWrite lets an instance read and write the row until nothing is left to
// write, at most five times, and prints what it wrote.
func (s *grantScript) readAndWrite(d *datadriven.TestData) string {
	var need, inFlight int
	d.ScanArgs(s.t, "need", &need)
	d.MaybeScanArgs(s.t, "inflight", &inFlight)
	ledger := s.ledger(d.CmdArgs[0].Key)
	demand := store.GrantDemand{
		PeakNeed: savorystep.Slots(need), InFlight: savorystep.Slots(inFlight), ReturnUnused: d.HasArg("leaving"), EndedInstances: s.ended,
	}
	var out strings.Builder
	for range 5 {
		if ledger.IsReadDue(s.now, demand) {
			row, err := s.table.Get(s.t.Context(), simulatedRowKey)
			if err != nil {
				return out.String() + "read: " + err.Error() + "\n"
			}
			if err := ledger.Observe(row, s.now); err != nil {
				d.Fatalf(s.t, "%v", err)
			}
		}
		proposal, ok := ledger.Propose(s.now, demand)
		if !ok {
			return out.String() + "nothing to write\n"
		}
		out.WriteString(s.commit(ledger, proposal))
	}
	return out.String()
}

// commit commits a proposal and prints the outcome.
func (s *grantScript) commit(ledger *store.GrantLedger, proposal store.GrantProposal) string {
	value, err := json.Marshal(proposal.Row)
	if err != nil {
		s.t.Fatal(err)
	}
	commit, err := s.table.Commit(s.t.Context(), savorystep.Txn{
		Conditions: []savorystep.Condition{{Key: simulatedRowKey, Version: proposal.BaseVersion}},
		Writes:     []savorystep.Write{{Key: simulatedRowKey, Value: value}},
		Era:        proposal.Era,
	})
	if err != nil {
		ledger.RecordUnknownOutcome()
		return "write: " + err.Error() + "\n"
	}
	if commit.IsOtherEra() {
		ledger.RecordUnknownOutcome()
		return "other era\n"
	}
	if len(commit.Conflicts) > 0 {
		if err := ledger.Observe(commit.Conflicts[0], s.now); err != nil {
			s.t.Fatal(err)
		}
		return "conflict\n"
	}
	ledger.RecordCommit(proposal, commit.Version, s.now)
	return formatGrantRow(proposal.Row)
}

// formatGrantRow formats a row as one line with the grant, floor and wanted
// units of each holder.
func formatGrantRow(row store.GrantRow) string {
	var out strings.Builder
	fmt.Fprintf(&out, "cap %d, given out %d:", row.Cap, row.TotalUnits())
	for i := range row.Holders {
		holder := &row.Holders[i]
		fmt.Fprintf(&out, " [%s %d, floor %d, want %d]", holder.ID, holder.Units, holder.FloorUnits(), holder.Wanted)
	}
	return out.String() + "\n"
}
