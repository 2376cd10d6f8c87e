package rpc

import (
	"bytes"
	"io"
	"sync"
)

// maxPooledBytes is the size up to which a buffer goes back to the pool.
const maxPooledBytes = 64 << 10

// buffer holds a body until its call ends.
type buffer struct {
	bytes.Buffer
	limited io.LimitedReader
}

// readAll reads up to the end of the body, but limit bytes at most.
func (b *buffer) readAll(body io.Reader, limit int64) error {
	b.limited = io.LimitedReader{R: body, N: limit}
	_, err := b.ReadFrom(&b.limited)
	b.limited.R = nil
	return err
}

// bufferPool recycles buffers. It is safe for concurrent use.
type bufferPool struct{ pool sync.Pool }

func newBufferPool() *bufferPool {
	return &bufferPool{pool: sync.Pool{New: func() any { return new(buffer) }}}
}

// get returns an empty buffer.
func (b *bufferPool) get() *buffer {
	pooled, _ := b.pool.Get().(*buffer)
	return pooled
}

// put takes a buffer back. Nothing may point into it any more.
func (b *bufferPool) put(returned *buffer) {
	if returned.Cap() > maxPooledBytes {
		return
	}
	returned.Reset()
	b.pool.Put(returned)
}
