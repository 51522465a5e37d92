package ring

import "testing"

// TestKeepsLatestEntries guards against lost, duplicated or reordered entries at a chunk boundary and where the buffer
// starts to overwrite.
func TestKeepsLatestEntries(t *testing.T) {
	for _, size := range []int{1, 7, chunkSize, chunkSize + 1, 2*chunkSize + 5} {
		l := NewBuffer[uint64](size)
		for n := range uint64(3*size + 2) {
			if got := l.Add(n); got != n {
				t.Fatalf("entry %d has number %d", n, got)
			}
			if n%97 != 0 && n != uint64(3*size+1) {
				continue
			}
			entries, next, lost := l.Since(0)
			kept := min(n+1, uint64(size))
			if next != n+1 || lost != n+1-kept || uint64(len(entries)) != kept {
				t.Fatalf("size %d after %d: %d entries, next %d, lost %d", size, n+1, len(entries), next, lost)
			}
			for i, v := range entries {
				if v != lost+uint64(i) {
					t.Fatalf("size %d after %d: entry %d is %d", size, n+1, lost+uint64(i), v)
				}
			}
		}
	}
}
