package cmd

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"savorystep"
)

// maxLogLineBytes bounds a line of a log in bytes. A request's line has at most four
// steps.
const maxLogLineBytes = 64 << 10

// logLinePattern matches a line of the log: severity with month and day, time, process
// and place, text. What stands before it, such as a collector's stamp, does not
// count.
var logLinePattern = regexp.MustCompile(`[IWEF](\d{4} \d\d:\d\d:\d\d\.\d{6}) +\d+ [^ ]+\] (.*)$`)

// newTraceCmd returns the trace command.
func newTraceCmd() *cobra.Command {
	var offsets map[string]string
	cmd := &cobra.Command{
		Use:     "trace ID FILE...",
		Short:   "Tell the story of one request from the logs of instances",
		Example: "  savorystep trace 9c41d07be2a35f68 edge-1.log edge-2.log --offset edge-2.log=-40ms",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runTraceCmd(cmd.OutOrStdout(), args[0], args[1:], offsets)
		},
	}
	cmd.Flags().StringToStringVar(&offsets, "offset", nil, "`FILE=TIME` that is added to the times of a file, whose clock was that much behind")
	return cmd
}

// A logLine is a line of a log that concerns the request.
type logLine struct {
	timestamp time.Time
	file      string
	text      string
}

// runTraceCmd prints the lines about a request, and about the endpoints that it
// was sent to, in order of their corrected times.
func runTraceCmd(out io.Writer, id string, files []string, offsets map[string]string) error {
	all, err := readLogs(files, offsets)
	if err != nil {
		return err
	}
	story := selectRequestLines(all, id)
	if len(story) == 0 {
		return savorystep.NewError(savorystep.KindNotFound, "no line names request %s", id)
	}
	for _, line := range story {
		if _, err := fmt.Fprintf(out, "%s %s %s\n", line.timestamp.Format("01-02 15:04:05.000"), line.file, line.text); err != nil {
			return err
		}
	}
	return nil
}

// readLog reads the lines of a log.
func readLog(path string, offset time.Duration) ([]logLine, error) {
	file, err := os.Open(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindNotFound, err, "log")
	}
	defer func() { _ = file.Close() }()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		match := logLinePattern.FindStringSubmatch(scanner.Text())
		if match == nil {
			continue
		}
		at, err := time.Parse("0102 15:04:05.000000", match[1])
		if err != nil {
			continue
		}
		lines = append(lines, logLine{timestamp: at.Add(offset), file: filepath.Base(path), text: match[2]})
	}
	if err := scanner.Err(); err != nil {
		return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "log %s", path)
	}
	return lines, nil
}

// stepEndpointPattern matches the endpoint at the start of a step.
var stepEndpointPattern = regexp.MustCompile(`"([^ "]+) (?:owner|overflow|stranger|cold) `)

// selectRequestLines returns the lines that name the request, and those on the fate of
// its endpoints, in order.
func selectRequestLines(lines []logLine, id string) []logLine {
	var endpoints []string
	for _, line := range lines {
		if strings.Contains(line.text, "id="+id+" ") {
			for _, match := range stepEndpointPattern.FindAllStringSubmatch(line.text, -1) {
				endpoints = append(endpoints, "endpoint "+match[1]+" ")
			}
		}
	}
	var story []logLine
	for _, line := range lines {
		named := strings.Contains(line.text, "id="+id+" ")
		if named || slices.ContainsFunc(endpoints, func(e string) bool { return strings.Contains(line.text, e) }) {
			story = append(story, line)
		}
	}
	slices.SortStableFunc(story, func(a, b logLine) int { return a.timestamp.Compare(b.timestamp) })
	return story
}
