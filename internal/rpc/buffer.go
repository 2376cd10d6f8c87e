package rpc

import (
	"bytes"
	"io"
	"sync"
)

// maxPooledBytes is the size up to which a buffer is kept for another call.
const maxPooledBytes = 64 << 10

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

// bufferPool keeps buffers from one call to another. It is safe for use by many
// goroutines.
type bufferPool struct{ pool sync.Pool }

func newBuffers() *bufferPool {
	return &bufferPool{pool: sync.Pool{New: func() any { return new(buffer) }}}
}

// get returns an empty buffer.
func (b *bufferPool) get() *buffer {
	taken, _ := b.pool.Get().(*buffer)
	return taken
}

// put takes a buffer back; nothing may point into it any more.
func (b *bufferPool) put(returned *buffer) {
	if returned.Cap() > maxPooledBytes {
		return
	}
	returned.Reset()
	b.pool.Put(returned)
}
