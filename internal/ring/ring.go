// Package ring holds the bounded rings that join the duties of a process, so that a slow duty cannot make memory grow.
package ring

import (
	"sync"
	"sync/atomic"
)

// Queue is a bounded first-in-first-out queue between duties. It refuses entries when it is full.
type Queue[T any] struct {
	c       chan T
	refused atomic.Uint64
}

// NewQueue returns a queue that holds up to size entries.
func NewQueue[T any](size int) *Queue[T] { return &Queue[T]{c: make(chan T, size)} }

// Offer adds an entry. It reports false, and counts the refusal, when the queue is full.
func (q *Queue[T]) Offer(v T) bool {
	select {
	case q.c <- v:
		return true
	default:
		q.refused.Add(1)
		return false
	}
}

// Put adds an entry, waiting for room. It reports false when done is closed first.
func (q *Queue[T]) Put(done <-chan struct{}, v T) bool {
	select {
	case q.c <- v:
		return true
	case <-done:
		return false
	}
}

// C is the receiving end.
func (q *Queue[T]) C() <-chan T { return q.c }

// Refused is the number of entries refused so far.
func (q *Queue[T]) Refused() uint64 { return q.refused.Load() }

// Log is a bounded log that overwrites its oldest entries. Its methods may be called from several goroutines.
type Log[T any] struct {
	mu sync.Mutex
	// parts hold the entries. A part is allocated when it is first written, so that a log costs what is in it.
	parts [][]T
	size  uint64
	// next is the sequence number of the next entry; entries below next-size have been overwritten.
	next uint64
}

// part is the number of entries that are allocated together.
const part = 1024

// NewLog returns a log that keeps the last size entries.
func NewLog[T any](size int) *Log[T] {
	return &Log[T]{parts: make([][]T, (size+part-1)/part), size: uint64(size)}
}

func (l *Log[T]) at(n uint64) *T {
	i := n % l.size
	p := &l.parts[i/part]
	if *p == nil {
		*p = make([]T, min(part, l.size-i/part*part))
	}
	return &(*p)[i%part]
}

// Add appends an entry and returns its sequence number.
func (l *Log[T]) Add(v T) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.next
	*l.at(n) = v
	l.next++
	return n
}

// Since returns the kept entries from sequence number from on, the number that follows the last of them, and how many
// entries at or after from were overwritten.
func (l *Log[T]) Since(from uint64) (entries []T, next, lost uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := uint64(0)
	if l.next > l.size {
		first = l.next - l.size
	}
	if from > l.next {
		from = l.next
	}
	if from < first {
		lost, from = first-from, first
	}
	for ; from < l.next; from++ {
		entries = append(entries, *l.at(from))
	}
	return entries, l.next, lost
}
