package cmd

import (
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"savorystep"
)

// sameEventWindow is the time within which equal lines of several instances count as
// one event. A change in the store reaches the slowest instance within about 5 s.
const sameEventWindow = 5 * time.Second

// requestLinePrefix is the prefix of log lines about single requests.
const requestLinePrefix = "ingress: request "

// A logEvent is an event that one or more instances logged with the same text. The
// embedded line is the first of them.
type logEvent struct {
	logLine
	// files are the names of the log files that contain the event, and
	// lastTimestamp is when the last instance logged it.
	files         []string
	lastTimestamp time.Time
}

// readLogs reads log files and returns their lines in order of time. The offsets, by
// base name of the file, are added to the timestamps.
func readLogs(files []string, offsets map[string]string) ([]logLine, error) {
	var merged []logLine
	for _, file := range files {
		offset := time.Duration(0)
		if text, ok := offsets[filepath.Base(file)]; ok {
			var err error
			if offset, err = time.ParseDuration(text); err != nil {
				return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "offset %q of log file %s", text, file)
			}
		}
		lines, err := readLog(file, offset)
		if err != nil {
			return nil, err
		}
		merged = append(merged, lines...)
	}
	slices.SortStableFunc(merged, func(a, b logLine) int { return a.timestamp.Compare(b.timestamp) })
	return merged, nil
}

// logEvents returns the events of the fleet in order of time. It omits lines about
// single requests, and merges equal lines of several instances into one event.
func logEvents(lines []logLine) []*logEvent {
	var events []*logEvent
	latestByText := make(map[string]*logEvent)
	for _, line := range lines {
		if strings.HasPrefix(line.text, requestLinePrefix) {
			continue
		}
		previous := latestByText[line.text]
		if previous != nil && line.timestamp.Sub(previous.timestamp) < sameEventWindow && !slices.Contains(previous.files, line.file) {
			previous.files = append(previous.files, line.file)
			previous.lastTimestamp = line.timestamp
			continue
		}
		event := &logEvent{logLine: line, files: []string{line.file}, lastTimestamp: line.timestamp}
		latestByText[line.text] = event
		events = append(events, event)
	}
	return events
}

// printLogEvents prints the events in the log files of several instances.
func printLogEvents(out io.Writer, files []string, offsets map[string]string) error {
	lines, err := readLogs(files, offsets)
	if err != nil {
		return err
	}
	for _, event := range logEvents(lines) {
		source := event.file
		if len(event.files) > 1 {
			source = fmt.Sprintf("%d instances, last %v later", len(event.files), event.lastTimestamp.Sub(event.timestamp).Round(time.Millisecond))
		}
		if _, err := fmt.Fprintf(out, "%s %s (%s)\n", event.timestamp.Format("01-02 15:04:05.000"), event.text, source); err != nil {
			return err
		}
	}
	return nil
}
