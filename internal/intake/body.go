package intake

import (
	"errors"
	"fmt"
	"io"
	"time"
)

// TooLargeError reports a body beyond its limit.
type TooLargeError struct{ Limit int64 }

func (e *TooLargeError) Error() string { return fmt.Sprintf("body of more than %d bytes", e.Limit) }

// firstRead is the size of the first buffer of a body that is not announced.
const firstRead = 4 << 10

// ReadBody reads a body and reserves its memory as it grows, also when its length is announced: a client that announces a body and does
// not send it takes no memory. length is -1 if it is not announced, limit is zero if there is none. clock returns the present time.
// Errors are *TooLargeError, *ExhaustedError or those of in.
func ReadBody(in io.Reader, length, limit int64, r *Reservation, clock func() time.Time) ([]byte, error) {
	if limit > 0 && length > limit {
		return nil, &TooLargeError{limit}
	}
	size := int64(firstRead)
	if length >= 0 {
		size = min(length, SmallBody)
	}
	if err := r.Grow(clock(), Body, size); err != nil {
		return nil, err
	}
	buf := make([]byte, 0, size)
	for length < 0 || int64(len(buf)) < length {
		if len(buf) == cap(buf) {
			var err error
			if buf, err = grow(buf, length, limit, r, clock()); err != nil {
				return nil, err
			}
		}
		n, err := in.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if n > 0 {
			r.Progress(clock())
		}
		switch {
		case limit > 0 && int64(len(buf)) > limit:
			return nil, &TooLargeError{limit}
		case errors.Is(err, io.EOF) && (length < 0 || int64(len(buf)) == length):
			return buf, nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
	return buf, nil
}

// grow returns buf with twice its capacity, at most what the body can need. During the copy both are reserved.
func grow(buf []byte, length, limit int64, r *Reservation, now time.Time) ([]byte, error) {
	old := int64(cap(buf))
	size := 2 * old
	switch {
	case length >= 0:
		size = min(size, length)
	case limit > 0:
		size = min(size, limit+1) // one more byte shows that the body is too large
	}
	kind := Body
	if size > SmallBody {
		kind = LargeBody
	}
	if err := r.Grow(now, kind, size); err != nil {
		return nil, err
	}
	out := make([]byte, len(buf), size)
	copy(out, buf)
	r.Shrink(old)
	return out, nil
}
