package logging

import (
	"fmt"
	"io"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/ring"
)

// asyncLines is how many lines may wait for a slow reader of the log.
const asyncLines = 1024

// Async returns a writer that never blocks: lines that a slow reader does not take in time are left out, and a line tells
// how many. The returned function writes what is left and ends the writer.
func Async(w io.Writer) (io.Writer, func()) {
	a := &async{lines: ring.NewQueue[[]byte](asyncLines), done: make(chan struct{})}
	a.group.Go(func() error {
		a.run(w)
		return nil
	})
	return a, func() {
		close(a.done)
		_ = a.group.Wait() // run returns no error
	}
}

type async struct {
	lines *ring.Queue[[]byte]
	done  chan struct{}
	group errgroup.Group
}

func (a *async) Write(b []byte) (int, error) {
	a.lines.Offer(append([]byte(nil), b...))
	return len(b), nil
}

func (a *async) run(w io.Writer) {
	told := uint64(0)
	// A log that cannot be written cannot tell so either.
	for {
		select {
		case b := <-a.lines.C():
			_, _ = w.Write(b)
			if n := a.lines.Refused(); n > told {
				_, _ = fmt.Fprintf(w, `{"@level":"warn","@message":"log lines left out","count":%d}`+"\n", n-told)
				told = n
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
