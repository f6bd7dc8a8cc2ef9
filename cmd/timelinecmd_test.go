package cmd

import (
	"bytes"
	"context"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"savorystep/operator"
)

// timelineEvents are events of all instances, in causal order, as lines for
// recordEvent.
var timelineEvents = []string{
	"hobart-1|0|0|start||||Started.",
	"launceston-1|1|0|eject|stock|launceston||Endpoint <s-1> & \"s-2\" ejected.",
	"hobart-1|2|0|drain|orders|hobart|r7|Endpoint o-3 drains.",
	"burnie-1|2|1|retry|orders|burnie|r7|Sent to another endpoint.",
	"burnie-1|3|0|member||||</title><script>alert(1)</script>",
}

// TestTimelinePage guards against a timeline page that is not well-formed, that
// loads other files, or that contains the text of an event as markup.
func TestTimelinePage(t *testing.T) {
	for _, test := range []struct {
		name   string
		events []string
		marks  int
	}{
		{name: "empty"},
		{name: "one", events: timelineEvents[:1], marks: 1},
		{name: "several", events: timelineEvents, marks: 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newFakeSystem(t)
			for _, line := range test.events {
				s.recordEvent(t, line)
			}
			s.servers["launceston-1"].Close()
			page := filepath.Join(t.TempDir(), "page.html")
			runCommand(t, []string{"timeline", "--html", page, "--server", s.servers["hobart-1"].URL, "--token", testToken})
			data, err := os.ReadFile(page)
			if err != nil {
				t.Fatal(err)
			}
			marks := test.marks
			if marks == 5 {
				marks-- // The event of launceston-1, which is down.
			}
			checkTimelinePage(t, data, marks)
			if !strings.Contains(string(data), "Missing: launceston-1") {
				t.Error("the page does not name the missing instance")
			}
		})
	}
}

// checkTimelinePage checks that a page is well-formed XML without references to
// other files, and that it has a hover text for each event.
func checkTimelinePage(t *testing.T, data []byte, wantMarks int) {
	t.Helper()
	decoder := xml.NewDecoder(bytes.NewReader(data))
	titleCount := 0
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatalf("the page is not well-formed: %v", err)
		}
		element, ok := token.(xml.StartElement)
		if !ok {
			continue
		}
		switch element.Name.Local {
		case "script", "link", "img", "iframe", "object":
			t.Errorf("the page has the element %s, which may load or run other content", element.Name.Local)
		case "title":
			titleCount++
		}
		for _, attribute := range element.Attr {
			name := attribute.Name.Local
			if name == "src" || name == "href" && !strings.HasPrefix(attribute.Value, "#") || strings.Contains(attribute.Value, "//") {
				t.Errorf("the page refers to another file: %s=%q", name, attribute.Value)
			}
		}
	}
	if titleCount != wantMarks+1 {
		t.Errorf("the page has %d hover texts, want %d", titleCount-1, wantMarks)
	}
	for _, part := range []string{"url(", "@import"} {
		if bytes.Contains(data, []byte(part)) {
			t.Errorf("the page contains %q, which loads another file", part)
		}
	}
}

// A lineWriter sends each complete line that is written to it to a channel.
type lineWriter struct {
	mu          sync.Mutex
	lines       chan string
	partialLine string
}

// Write implements io.Writer.
func (l *lineWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partialLine += string(p)
	for {
		line, rest, found := strings.Cut(l.partialLine, "\n")
		if !found {
			return len(p), nil
		}
		l.lines <- line
		l.partialLine = rest
	}
}

// startFollow runs a command in the background. It returns a channel of the lines
// that the command prints, and a function that interrupts it and returns its
// error.
func startFollow(t *testing.T, args ...string) (lines <-chan string, stop func() error) {
	t.Helper()
	writer := &lineWriter{lines: make(chan string, 100)}
	root := newRootCmd()
	root.SetArgs(append(args, "--token", testToken))
	root.SetOut(writer)
	root.SetErr(writer)
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- root.ExecuteContext(ctx) }()
	return writer.lines, func() error {
		cancel()
		return <-result
	}
}

func expectLine(t *testing.T, lines <-chan string, substring string) {
	t.Helper()
	select {
	case line := <-lines:
		if !strings.Contains(line, substring) {
			t.Errorf("got line %q, want one that contains %q", line, substring)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("no line within 10 s, want one that contains %q", substring)
	}
}

// TestTimelineFollow guards against a followed timeline that is not in causal
// order, repeats events, or does not report that the stream of an instance broke.
func TestTimelineFollow(t *testing.T) {
	s := newFakeSystem(t)
	for _, i := range []int{1, 0, 2, 4, 3} {
		if i != 4 {
			s.recordEvent(t, timelineEvents[i])
		}
	}
	lines, stop := startFollow(t, "timeline", "--follow", "--server", s.servers["hobart-1"].URL)
	for _, part := range []string{"Started", "ejected", "o-3 drains", "another endpoint"} {
		expectLine(t, lines, part)
	}
	s.recordEvent(t, timelineEvents[4])
	expectLine(t, lines, "alert")
	s.servers["burnie-1"].CloseClientConnections()
	expectLine(t, lines, "missing: burnie-1")
	s.recordEvent(t, "hobart-1|9|0|stop||||Stops.")
	expectLine(t, lines, "Stops.")
	// After the stream from burnie-1 is reopened its old events must not be printed
	// again.
	time.Sleep(6 * time.Second)
	s.recordEvent(t, "burnie-1|10|0|stop||||Stops too.")
	expectLine(t, lines, "Stops too.")
	if err := stop(); err != nil {
		t.Errorf("the interrupted command returned %v, want no error", err)
	}
}

// TestUnknownFollow guards against a new unknown name that is not printed, or is
// printed again with each poll.
func TestUnknownFollow(t *testing.T) {
	s := newFakeSystem(t)
	s.facts.setUnknownCount(t, "hobart-1", "ordres", 2)
	lines, stop := startFollow(t, "unknown", "--follow", "--server", s.servers["hobart-1"].URL)
	expectLine(t, lines, "ordres (2)")
	s.facts.setUnknownCount(t, "burnie-1", "stcok", 1)
	expectLine(t, lines, "stcok (1)")
	if err := stop(); err != nil {
		t.Errorf("the interrupted command returned %v, want no error", err)
	}
}

// TestStoppingEndsStreams guards against an event stream that delays the shutdown
// of an instance.
func TestStoppingEndsStreams(t *testing.T) {
	s := newFakeSystem(t)
	client := operator.NewClient(operator.ClientConfig{Servers: []string{s.servers["hobart-1"].URL}, Token: testToken})
	if _, err := client.Status(t.Context()); err != nil {
		t.Fatal(err)
	}
	lines, stop := startFollow(t, "timeline", "--follow", "--server", s.servers["hobart-1"].URL)
	s.recordEvent(t, timelineEvents[0])
	expectLine(t, lines, "Started")
	close(s.shutdown)
	s.shutdown = make(chan struct{})
	for range s.servers {
		expectLine(t, lines, "the instance ended the stream")
	}
	if err := stop(); err != nil {
		t.Errorf("the interrupted command returned %v, want no error", err)
	}
}
