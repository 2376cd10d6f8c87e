package rpc

import (
	"bytes"
	"io"
	"sync"
)

// maxPooledBytes is the largest capacity of a buffer that is returned to the pool.
const maxPooledBytes = 64 << 10

// buffer holds the body of a request or an answer until the call ends.
type buffer struct {
	bytes.Buffer
	limited io.LimitedReader
}

// readAll reads body until its end or until limit bytes are read.
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

// get returns an empty buffer, which the caller owns until it calls put.
func (b *bufferPool) get() *buffer {
	pooled, _ := b.pool.Get().(*buffer)
	return pooled
}

// put returns a buffer to the pool. The caller must not use the buffer or its bytes any more.
// Buffers over maxPooledBytes are dropped.
func (b *bufferPool) put(returned *buffer) {
	if returned.Cap() > maxPooledBytes {
		return
	}
	returned.Reset()
	b.pool.Put(returned)
}
