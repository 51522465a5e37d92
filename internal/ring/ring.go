// Package ring provides bounded buffers between the goroutines of a process, so that a slow consumer cannot make memory
// grow without limit.
package ring

import (
	"sync"
	"sync/atomic"
)

// Queue is a bounded FIFO queue between goroutines. It rejects entries when it is full.
type Queue[T any] struct {
	c       chan T
	refused atomic.Uint64
}

// NewQueue returns a queue with a capacity of size entries.
func NewQueue[T any](size int) *Queue[T] { return &Queue[T]{c: make(chan T, size)} }

// Offer adds an entry without blocking. When the queue is full, it counts the rejected entry and returns false.
func (q *Queue[T]) Offer(v T) bool {
	select {
	case q.c <- v:
		return true
	default:
		q.refused.Add(1)
		return false
	}
}

// Put adds an entry and blocks while the queue is full. It returns false when done is closed first.
func (q *Queue[T]) Put(done <-chan struct{}, v T) bool {
	select {
	case q.c <- v:
		return true
	case <-done:
		return false
	}
}

// C returns the channel from which entries are received.
func (q *Queue[T]) C() <-chan T { return q.c }

// Refused returns the number of entries that Offer has rejected.
func (q *Queue[T]) Refused() uint64 { return q.refused.Load() }

// Buffer is a ring buffer that overwrites its oldest entries. It is safe for concurrent use.
type Buffer[T any] struct {
	mu sync.Mutex
	// chunks hold the entries. A chunk is allocated on its first write, so memory use follows the number of entries.
	chunks [][]T
	size   uint64
	// next is the sequence number of the next entry; entries below next-size have been overwritten.
	next uint64
}

// chunkSize is the number of entries that are allocated together.
const chunkSize = 1024

// NewBuffer returns a buffer that keeps the last size entries.
func NewBuffer[T any](size int) *Buffer[T] {
	return &Buffer[T]{chunks: make([][]T, (size+chunkSize-1)/chunkSize), size: uint64(size)}
}

func (b *Buffer[T]) at(n uint64) *T {
	i := n % b.size
	p := &b.chunks[i/chunkSize]
	if *p == nil {
		*p = make([]T, min(chunkSize, b.size-i/chunkSize*chunkSize))
	}
	return &(*p)[i%chunkSize]
}

// Add appends an entry and returns its sequence number.
func (b *Buffer[T]) Add(v T) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.next
	*b.at(n) = v
	b.next++
	return n
}

// Since returns the entries that are still stored, starting at sequence number from. next is the sequence number at which
// to continue, lost the number of entries at or after from that were overwritten.
func (b *Buffer[T]) Since(from uint64) (entries []T, next, lost uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := uint64(0)
	if b.next > b.size {
		first = b.next - b.size
	}
	if from > b.next {
		from = b.next
	}
	if from < first {
		lost, from = first-from, first
	}
	for ; from < b.next; from++ {
		entries = append(entries, *b.at(from))
	}
	return entries, b.next, lost
}
