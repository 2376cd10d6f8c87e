package rpc

import (
	"bytes"
	"io"
	"sync"
)

// maxKeptBytes is the size up to which a buffer is kept for another call.
const maxKeptBytes = 64 << 10

// buffer takes a body that is used up before its call ends.
type buffer struct {
	bytes.Buffer
	limited io.LimitedReader
}

// readAll reads until the end of the body, but limit bytes at most.
func (b *buffer) readAll(body io.Reader, limit int64) error {
	b.limited = io.LimitedReader{R: body, N: limit}
	_, err := b.ReadFrom(&b.limited)
	b.limited.R = nil
	return err
}

// buffers keeps buffers from one call to another. It is safe for use by many
// goroutines.
type buffers struct{ pool sync.Pool }

func newBuffers() *buffers {
	return &buffers{pool: sync.Pool{New: func() any { return new(buffer) }}}
}

// get returns an empty buffer.
func (b *buffers) get() *buffer {
	taken, _ := b.pool.Get().(*buffer)
	return taken
}

// put takes a buffer back; nothing may point into it any more.
func (b *buffers) put(returned *buffer) {
	if returned.Cap() > maxKeptBytes {
		return
	}
	returned.Reset()
	b.pool.Put(returned)
}
