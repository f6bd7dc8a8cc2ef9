package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"savorystep"
	"savorystep/operator"
)

// TestOperatorCmds runs the operators' commands of the scripts in
// testdata/operators. It guards against unintended changes of the output, wrong
// exit codes and lost configuration changes.
func TestOperatorCmds(t *testing.T) {
	datadriven.Walk(t, "testdata/operators", func(t *testing.T, path string) {
		path, err := filepath.Abs(path)
		if err != nil {
			t.Fatal(err)
		}
		t.Chdir(t.TempDir())
		t.Setenv("USER", "mara")
		t.Setenv(envServers, "")
		t.Setenv(envTokenFile, "")
		s := newFakeSystem(t)
		datadriven.RunTest(t, path, s.runDirective)
	})
}

// runDirective executes one directive of a script and returns its output.
func (s *fakeSystem) runDirective(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	switch d.Cmd {
	case "run":
		return s.runCommandLine(t, d)
	case "http":
		return s.sendHTTP(t, d)
	case "file":
		if err := os.WriteFile(d.CmdArgs[0].Key, []byte(d.Input+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	case "record":
		record, err := operator.ParseRecord("record.ini", []byte(strings.ReplaceAll(d.Input, " | ", "\n")))
		if err != nil {
			t.Fatal(err)
		}
		s.config.add(savorystep.Change{Service: record.Service, Record: record})
	case "complete":
		t.Setenv(envServers, s.servers["hobart-1"].URL)
		args := append([]string{"__complete"}, splitWords(d.Input)[1:]...)
		if !strings.HasSuffix(d.Input, "--output") {
			args = append(args, "--token", testToken)
		}
		return runCommand(t, append(args, ""))
	case "show":
		data, err := os.ReadFile(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	case "race":
		s.config.rivalChanges = parseNumber(t, d.CmdArgs[0].Key)
	case "lost":
		s.config.lostResponses = parseNumber(t, d.CmdArgs[0].Key)
	case "down":
		s.config.platformDown = d.CmdArgs[0].Key == "platform"
		if server := s.servers[savorystep.InstanceID(d.CmdArgs[0].Key)]; server != nil {
			server.Close()
		}
	case "lag":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.revisionLag[savorystep.InstanceID(d.CmdArgs[0].Key)] = savorystep.Revision(parseNumber(t, d.CmdArgs[1].Key))
	case "vanish":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.remainingListings[savorystep.InstanceID(d.CmdArgs[0].Key)] = parseNumber(t, d.CmdArgs[1].Key)
	case "leaving":
		s.mu.Lock()
		defer s.mu.Unlock()
		for i := range s.members {
			s.members[i].Leaving = string(s.members[i].Instance.ID) == d.CmdArgs[0].Key
		}
	case "unknown":
		for line := range strings.Lines(d.Input) {
			parts := strings.Split(strings.TrimSpace(line), "|")
			s.facts.setUnknownCount(t, savorystep.InstanceID(parts[0]), parts[1], uint64(parseNumber(t, parts[2])))
		}
	case "events":
		for line := range strings.Lines(d.Input) {
			s.recordEvent(t, strings.TrimSpace(line))
		}
	default:
		t.Fatalf("unknown directive %s", d.Cmd)
	}
	return ""
}

// recordEvent records the event that a line describes, with the fields
// instance|millisecond|logical|kind|service|region|request|text. The millisecond
// counts from fakeNow.
func (s *fakeSystem) recordEvent(t *testing.T, line string) {
	t.Helper()
	p := strings.Split(line, "|")
	wall := fakeNow.Add(time.Duration(parseNumber(t, p[1])) * time.Millisecond).UnixNano()
	s.recorders[savorystep.InstanceID(p[0])].Record(savorystep.Event{
		Timestamp: savorystep.Timestamp{Wall: wall, Logical: uint32(parseNumber(t, p[2]))}, Kind: savorystep.EventKind(p[3]),
		Service: savorystep.Service(p[4]), Region: savorystep.Region(p[5]), Request: savorystep.RequestID(p[6]), Text: p[7],
	})
}

// runCommandLine runs a command line against hobart-1 or the servers of the
// argument "servers", separated by '+'. The argument "offline" adds no server,
// "compact" removes the indentation of JSON, and "brief" leaves out the unchanged
// lines of diffs.
func (s *fakeSystem) runCommandLine(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	servers := "hobart-1"
	if d.HasArg("servers") {
		servers = d.CmdArgs[0].Vals[0]
	}
	args := splitWords(d.Input)[1:]
	if !d.HasArg("offline") {
		for server := range strings.SplitSeq(servers, "+") {
			args = append(args, "--server", s.servers[savorystep.InstanceID(server)].URL)
		}
		if !strings.Contains(d.Input, "--token") {
			args = append(args, "--token", testToken)
		}
	}
	out := s.normalize(runCommand(t, args))
	if d.HasArg("compact") {
		return compactJSON(t, out)
	}
	if d.HasArg("brief") {
		return diffContextPattern.ReplaceAllString(out, "")
	}
	return out
}

// diffContextPattern matches the headings and the unchanged lines of a diff.
var diffContextPattern = regexp.MustCompile(`(?m)^  (---|\+\+\+|@@| ).*\n`)

// compactJSON checks that JSON is indented and removes the indentation, which
// keeps the scripts short.
func compactJSON(t *testing.T, out string) string {
	t.Helper()
	decoder := json.NewDecoder(strings.NewReader(out))
	var value json.RawMessage
	if err := decoder.Decode(&value); err != nil {
		t.Fatalf("decode the output as JSON: %v in %s", err, out)
	}
	var indented, compact bytes.Buffer
	if json.Indent(&indented, value, "", "  ") != nil || indented.String() != string(value) {
		t.Errorf("the JSON is not indented by two spaces: %s", value)
	}
	if err := json.Compact(&compact, value); err != nil {
		t.Fatal(err)
	}
	return compact.String() + out[decoder.InputOffset():]
}

// runCommand runs a command line in this process. It returns the output, followed
// by the error and the exit code if the command failed.
func runCommand(t *testing.T, args []string) string {
	t.Helper()
	var out bytes.Buffer
	root := newRootCmd()
	root.SetArgs(args)
	root.SetOut(&out)
	root.SetErr(&out)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintf(&out, "savorystep: %v\nexit code %d\n", err, exitCode(err))
	}
	return out.String()
}

// sendHTTP sends a request to hobart-1 with the method and path of the directive's
// arguments and its input as the body. It returns the status, the headers that
// concern errors, and the body.
func (s *fakeSystem) sendHTTP(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	method, path := d.CmdArgs[0].Key, d.CmdArgs[1].String()
	request, err := http.NewRequestWithContext(t.Context(), method, s.servers["hobart-1"].URL+path, strings.NewReader(d.Input))
	if err != nil {
		t.Fatal(err)
	}
	token := testToken
	if d.HasArg("token") {
		d.ScanArgs(t, "token", &token)
	}
	if token != "none" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	fmt.Fprintln(&b, response.Status)
	for _, name := range []string{savorystep.HeaderKind, savorystep.HeaderRan, "Retry-After", "WWW-Authenticate"} {
		if value := response.Header.Get(name); value != "" {
			fmt.Fprintf(&b, "%s: %s\n", name, value)
		}
	}
	b.Write(body)
	return s.normalize(b.String())
}

var (
	elapsedPattern   = regexp.MustCompile(`after \d+\.\d s`)
	changeIDPattern  = regexp.MustCompile(`"[A-Z2-7]{26}"`)
	dialErrorPattern = regexp.MustCompile(`(dial tcp|read tcp) [^"\n]*`)
)

// normalize replaces addresses, IDs and times, which differ from run to run.
func (s *fakeSystem) normalize(text string) string {
	for id, server := range s.servers {
		text = strings.ReplaceAll(text, strings.TrimPrefix(server.URL, "http://"), string(id))
	}
	text = changeIDPattern.ReplaceAllString(text, `"ID"`)
	text = dialErrorPattern.ReplaceAllString(text, "$1 ...")
	return elapsedPattern.ReplaceAllString(text, "after N s")
}

var wordPattern = regexp.MustCompile(`'[^']*'|\S+`)

// splitWords splits a command line at spaces outside of single quotes.
func splitWords(line string) []string {
	list := wordPattern.FindAllString(line, -1)
	for i := range list {
		list[i] = strings.Trim(list[i], "'")
	}
	return list
}

func parseNumber(t *testing.T, text string) int {
	t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestHelp guards against a command whose help lacks a short description, examples
// or exit codes.
func TestHelp(t *testing.T) {
	for _, cmd := range operatorCmds() {
		if !cmd.HasExample() || !strings.Contains(cmd.Long, "Exit codes:") || cmd.Short == "" {
			t.Errorf("the help of %s lacks a short description, an example or the exit codes", cmd.Name())
		}
	}
}
