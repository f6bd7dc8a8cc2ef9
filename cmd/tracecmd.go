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

// maxLogLineBytes is the maximum length of a log line. The line of a request has
// at most four steps.
const maxLogLineBytes = 64 << 10

// logLinePattern matches a klog line: severity with month and day, time, process ID,
// source location, text. Anything before it is ignored, such as the timestamp of a
// log collector.
var logLinePattern = regexp.MustCompile(`[IWEF](\d{4} \d\d:\d\d:\d\d\.\d{6}) +\d+ [^ ]+\] (.*)$`)

// newTraceCmd returns the trace command.
func newTraceCmd() *cobra.Command {
	var offsets map[string]string
	cmd := &cobra.Command{
		Use:     "trace ID FILE...",
		Short:   "Print the log lines about one request from the logs of instances",
		Example: "  savorystep trace 9c41d07be2a35f68 edge-1.log edge-2.log --offset edge-2.log=-40ms",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runTraceCmd(cmd.OutOrStdout(), args[0], args[1:], offsets)
		},
	}
	cmd.Flags().StringToStringVar(&offsets, "offset", nil, "`FILE=TIME` that is added to the times of a file, whose clock was that much behind")
	return cmd
}

// A logLine is a parsed line of a log file, with the offset of its clock added to the
// timestamp.
type logLine struct {
	timestamp time.Time
	file      string
	text      string
}

// runTraceCmd prints the log lines about a request and about the endpoints that it
// was sent to, in order of their corrected timestamps. The error has KindNotFound if
// no line has the ID of the request.
func runTraceCmd(out io.Writer, id string, files []string, offsets map[string]string) error {
	lines, err := readLogs(files, offsets)
	if err != nil {
		return err
	}
	selected := selectRequestLines(lines, id)
	if len(selected) == 0 {
		return savorystep.NewError(savorystep.KindNotFound, "no line with request ID %s in %d log files", id, len(files))
	}
	for _, line := range selected {
		if _, err := fmt.Fprintf(out, "%s %s %s\n", line.timestamp.Format("01-02 15:04:05.000"), line.file, line.text); err != nil {
			return err
		}
	}
	return nil
}

// readLog reads a log file and adds offset to the timestamps. It skips lines that
// klog did not write.
func readLog(path string, offset time.Duration) ([]logLine, error) {
	file, err := os.Open(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindNotFound, err, "open log file")
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
		timestamp, err := time.Parse("0102 15:04:05.000000", match[1])
		if err != nil {
			continue
		}
		lines = append(lines, logLine{timestamp: timestamp.Add(offset), file: filepath.Base(path), text: match[2]})
	}
	if err := scanner.Err(); err != nil {
		return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "read log file %s", path)
	}
	return lines, nil
}

// stepEndpointPattern matches the endpoint ID at the start of a step in the log line
// of a request. The reason for the choice of the endpoint follows it. The
// pattern must keep matching the logs of older builds.
var stepEndpointPattern = regexp.MustCompile(`"([^ "]+) (?:owner|overflow|stranger|cold) `)

// selectRequestLines returns the lines with the ID of the request, and those about
// the endpoints in its steps, in order of time.
func selectRequestLines(lines []logLine, id string) []logLine {
	var endpointTexts []string
	for _, line := range lines {
		if strings.Contains(line.text, "id="+id+" ") {
			for _, match := range stepEndpointPattern.FindAllStringSubmatch(line.text, -1) {
				endpointTexts = append(endpointTexts, "endpoint "+match[1]+" ")
			}
		}
	}
	var selected []logLine
	for _, line := range lines {
		hasID := strings.Contains(line.text, "id="+id+" ")
		if hasID || slices.ContainsFunc(endpointTexts, func(text string) bool { return strings.Contains(line.text, text) }) {
			selected = append(selected, line)
		}
	}
	slices.SortStableFunc(selected, func(a, b logLine) int { return a.timestamp.Compare(b.timestamp) })
	return selected
}
