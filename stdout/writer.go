package stdout

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// queueCapacity is the maximum number of queued lines. At 300 bytes per line they
// take 1.2 MB.
const queueCapacity = 4096

var _ io.Writer = &Writer{}

// A Writer queues lines and writes them in the background. It drops and counts
// lines while the queue is full.
type Writer struct {
	output       io.Writer
	lines        chan []byte
	droppedLines atomic.Uint64
}

// New returns a writer to output. It queues lines but writes nothing before Start.
func New(output io.Writer) *Writer {
	return &Writer{output: output, lines: make(chan []byte, queueCapacity)}
}

// Write queues a line, or drops it if the queue is full. It never blocks and never
// returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.droppedLines.Add(1)
	}
	return len(line), nil
}

// DroppedLines returns the number of lines dropped so far.
func (w *Writer) DroppedLines() uint64 {
	return w.droppedLines.Load()
}

// Start writes queued lines until ctx is cancelled, then those that are still
// queued. The channel then yields nil. It yields an error as soon as the output
// fails.
func (w *Writer) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		reportedDrops := uint64(0)
		for {
			select {
			case line := <-w.lines:
				if err := w.writeLine(line, &reportedDrops); err != nil {
					done <- err
					return
				}
				continue
			case <-ctx.Done():
			}
			done <- w.flush(&reportedDrops)
			return
		}
	}()
	return done
}

// flush writes the queued lines.
func (w *Writer) flush(reportedDrops *uint64) error {
	for {
		select {
		case line := <-w.lines:
			if err := w.writeLine(line, reportedDrops); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// writeLine writes a line. If lines were dropped since the last report, it first
// writes a line with their number. reportedDrops is the number of dropped lines
// that were reported so far.
func (w *Writer) writeLine(line []byte, reportedDrops *uint64) error {
	if count := w.droppedLines.Load(); count > *reportedDrops {
		if _, err := fmt.Fprintf(w.output, "stdout: dropped %d lines, the reader of the output is too slow\n", count-*reportedDrops); err != nil {
			return err
		}
		*reportedDrops = count
	}
	_, err := w.output.Write(line)
	return err
}
