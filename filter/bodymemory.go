package filter

import (
	"errors"
	"io"

	"bramleymill/errkind"
)

// errNoMemory is returned by buffer if the memory budget of the process does not hold the body.
var errNoMemory = errkind.New(errkind.MemoryUsedUp, "the memory budget of the process does not hold the body")

// firstBuffer is the size of the first buffer of a body.
const firstBuffer = 4 << 10

// buffer reads up to limit bytes of the body into memory. The memory grows with the bytes
// that arrive.
func (b *Body) buffer(limit int64) error {
	if b.complete {
		return nil
	}
	b.conn.BeginBody()
	err := b.fill(limit)
	if !b.conn.EndBody() {
		return errNoMemory
	}
	return err
}

func (b *Body) fill(limit int64) error {
	known := b.Length >= 0 && b.Length <= limit
	if known {
		limit = b.Length
	}
	for int64(len(b.prefix)) < limit {
		if len(b.prefix) == cap(b.prefix) && !b.grow(limit) {
			return errNoMemory
		}
		n, err := b.readRest(b.prefix[len(b.prefix):cap(b.prefix)])
		b.prefix = b.prefix[:len(b.prefix)+n]
		switch {
		case err == nil:
		case !errors.Is(err, io.EOF):
			return err
		case known && int64(len(b.prefix)) < limit:
			return io.ErrUnexpectedEOF
		default:
			b.complete, b.Length = true, int64(len(b.prefix))
			return nil
		}
	}
	if known {
		b.complete = true
		return b.readEOF()
	}
	return nil
}

// grow doubles the buffer, up to limit. It reports false if the memory budget does not hold
// the new buffer beside the old one.
func (b *Body) grow(limit int64) bool {
	size := min(max(2*int64(cap(b.prefix)), firstBuffer), limit)
	if size > firstBuffer && !b.conn.Grow(size) { // the memory of a request includes the first buffer
		return false
	}
	larger := make([]byte, len(b.prefix), size)
	copy(larger, b.prefix)
	if old := int64(cap(b.prefix)); old > firstBuffer {
		b.conn.Shrink(old)
	}
	b.prefix = larger
	return true
}

// readRest reads from the connection.
func (b *Body) readRest(p []byte) (int, error) {
	b.conn.BeginRead()
	defer b.conn.EndRead()
	return b.rest.Read(p)
}
