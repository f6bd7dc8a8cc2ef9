package stdout

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// queuedLines bounds the lines that wait for a slow reader. At 300 bytes a line
// they take 1.2 MB.
const queuedLines = 4096

var _ io.Writer = &Writer{}

// A Writer queues lines and writes them in the background. Lines that find the
// queue full are left out and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	leftOut atomic.Uint64
}

// New returns a writer to the given output. Nothing is written before Start.
func New(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, queuedLines)}
}

// Write queues a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.leftOut.Add(1)
	}
	return len(line), nil
}

// DroppedLines returns how many lines were left out.
func (w *Writer) DroppedLines() uint64 {
	return w.leftOut.Load()
}

// Start begins writing. The channel yields one value after ctx is cancelled and
// the queued lines are written.
func (w *Writer) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		told := uint64(0)
		for {
			select {
			case line := <-w.lines:
				if err := w.write(line, &told); err != nil {
					done <- err
					return
				}
				continue
			case <-ctx.Done():
			}
			done <- w.drain(&told)
			return
		}
	}()
	return done
}

// drain writes what is queued.
func (w *Writer) drain(told *uint64) error {
	for {
		select {
		case line := <-w.lines:
			if err := w.write(line, told); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// write writes a line, after one that counts the lines left out since the last.
func (w *Writer) write(line []byte, told *uint64) error {
	if count := w.leftOut.Load(); count > *told {
		if _, err := fmt.Fprintf(w.out, "stdout: %d lines were left out for a slow reader\n", count-*told); err != nil {
			return err
		}
		*told = count
	}
	_, err := w.out.Write(line)
	return err
}
