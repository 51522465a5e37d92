package logging

import (
	"fmt"
	"io"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/ring"
)

// asyncLines is the capacity of the queue, in lines.
const asyncLines = 1024

// NewAsyncWriter returns a writer that never blocks: it queues lines for w, drops lines while the queue is full because w is slow,
// and then writes a warning with the number of dropped lines. The returned function flushes the queue and stops the
// writer.
func NewAsyncWriter(w io.Writer) (io.Writer, func()) {
	a := &asyncWriter{lines: ring.NewQueue[[]byte](asyncLines), done: make(chan struct{})}
	a.group.Go(func() error {
		a.run(w)
		return nil
	})
	return a, func() {
		close(a.done)
		_ = a.group.Wait() // run returns no error
	}
}

type asyncWriter struct {
	lines *ring.Queue[[]byte]
	done  chan struct{}
	group errgroup.Group
}

func (a *asyncWriter) Write(b []byte) (int, error) {
	a.lines.Offer(append([]byte(nil), b...))
	return len(b), nil
}

func (a *asyncWriter) run(w io.Writer) {
	reported := uint64(0)
	// Write errors are ignored: there is no other log in which to report them.
	for {
		select {
		case b := <-a.lines.C():
			_, _ = w.Write(b)
			if n := a.lines.Refused(); n > reported {
				_, _ = fmt.Fprintf(w, `{"@level":"warn","@message":"log lines left out","count":%d}`+"\n", n-reported)
				reported = n
			}
		case <-a.done:
			for {
				select {
				case b := <-a.lines.C():
					_, _ = w.Write(b)
				default:
					return
				}
			}
		}
	}
}
