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
// one event. News of the store reach the slowest instance within about 5 s.
const sameEventWindow = 5 * time.Second

// requestLinePrefix begins the text of lines about single requests.
const requestLinePrefix = "ingress: request "

// A logEvent is something that one or more instances logged.
type logEvent struct {
	logLine
	// files are the logs that have it, last is when the last one had it.
	files         []string
	lastTimestamp time.Time
}

// readLogs reads several logs with the offsets of their clocks.
func readLogs(files []string, offsets map[string]string) ([]logLine, error) {
	var all []logLine
	for _, file := range files {
		offset := time.Duration(0)
		if text, ok := offsets[filepath.Base(file)]; ok {
			var err error
			if offset, err = time.ParseDuration(text); err != nil {
				return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "offset of %s", file)
			}
		}
		lines, err := readLog(file, offset)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return a.timestamp.Compare(b.timestamp) })
	return all, nil
}

// logEvents returns what the fleet went through, in order: all lines but those
// about single requests, equal ones of several instances as one.
func logEvents(lines []logLine) []*logEvent {
	var events []*logEvent
	open := make(map[string]*logEvent)
	for _, line := range lines {
		if strings.HasPrefix(line.text, requestLinePrefix) {
			continue
		}
		known := open[line.text]
		if known != nil && line.timestamp.Sub(known.timestamp) < sameEventWindow && !slices.Contains(known.files, line.file) {
			known.files = append(known.files, line.file)
			known.lastTimestamp = line.timestamp
			continue
		}
		event := &logEvent{logLine: line, files: []string{line.file}, lastTimestamp: line.timestamp}
		open[line.text] = event
		events = append(events, event)
	}
	return events
}

// printLogEvents prints the events of the logs of several instances.
func printLogEvents(out io.Writer, files []string, offsets map[string]string) error {
	lines, err := readLogs(files, offsets)
	if err != nil {
		return err
	}
	for _, event := range logEvents(lines) {
		who := event.file
		if len(event.files) > 1 {
			who = fmt.Sprintf("%d instances, last %v later", len(event.files), event.lastTimestamp.Sub(event.timestamp).Round(time.Millisecond))
		}
		if _, err := fmt.Fprintf(out, "%s %s (%s)\n", event.timestamp.Format("01-02 15:04:05.000"), event.text, who); err != nil {
			return err
		}
	}
	return nil
}
