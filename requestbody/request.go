package requestbody

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"

	"github.com/vanillaarch/vanillaarch/membudget"
)

const (
	// firstBytes is the size of the first buffer of a longer body. The next one is as long as
	// the announced body.
	firstBytes = 64 << 10
	// initialBytes is the size of the first buffer of a body of unknown length, growthFactor by
	// how much the next one is larger. With 2, the buffers of a body take twice its size together.
	initialBytes = 4 << 10
	growthFactor = 4
)

// Request is the memory of one request: its head, its body, and what is needed to process it. It
// is not safe for concurrent use. A nil Request has no limit and holds nothing.
type Request struct {
	m      *Memory
	owner  string
	memory *membudget.Reservation
	// announced is the memory of the request with its announced body, large whether it must
	// leave a part of the memory to small requests.
	announced int64
	large     bool
	// head is what the head takes, small that and small buffers, buffer the large buffer, nil if there is none.
	head, small int64
	buffer      *largeBuffer
	// progressAt is the time at which the body last had made progress, progressed what had been
	// received by then.
	progressAt atomic.Int64
	progressed int

	// m.mu guards the following fields. bytes is what an incomplete body holds with its head,
	// end ends its pending read.
	// shared is Body.Shared.
	bytes   int64
	shared  bool
	end     func()
	evicted *membudget.EvictedError
}

// Body is the body of a request.
type Body struct {
	Reader io.Reader
	// Length is the announced length, -1 if there is none.
	Length int64
	// Limit bounds the body. Of a longer one, Limit+1 bytes are read.
	Limit int64
	// Shared is set if the connection carries other requests too, as with HTTP/2, so that it stays
	// open if the body gives way.
	Shared bool
	// End makes the pending Read of the Reader fail without delay, and every later one. It is
	// called at most once, from any goroutine, before Request.Read returns. It must not block.
	End func()
}

// Admit reserves memory for a request without a body. It returns a *membudget.ExceededError if
// there is none within half a second.
func (r *Request) Admit(ctx context.Context, headBytes int64) error {
	r.progressAt.Store(int64(r.m.Now())) // It has no body that could stop.
	return r.raise(ctx, headBytes, headBytes)
}

// Read reserves memory for a request, and reads its body. It returns a *membudget.ExceededError
// if there is no memory within half a second, and a *membudget.EvictedError if the body gave way
// to another request, after which the connection must be closed.
func (r *Request) Read(ctx context.Context, headBytes int64, b Body) ([]byte, error) {
	r.head = headBytes
	size := initialBytes
	known := b.Length >= 0 && b.Length <= b.Limit
	if known {
		size = int(min(b.Length, firstBytes)) + bytes.MinRead // The end is read without a larger buffer.
		r.announced = headBytes + b.Length
	}
	r.progressAt.Store(int64(r.m.Now()))
	if err := r.raise(ctx, headBytes+int64(size), max(r.announced, headBytes+int64(size))); err != nil {
		return nil, err
	}
	r.m.began(r, r.small, b)
	body, err := r.readInto(ctx, make([]byte, 0, size), b, known)
	if evicted := r.m.ended(r); evicted != nil {
		err = evicted
	}
	if err != nil {
		r.drop()
		return nil, err
	}
	return body, nil
}

// Release returns the memory. That of a large buffer counts until it was collected.
func (r *Request) Release() {
	if r == nil {
		return
	}
	r.drop()
	r.memory.Release()
}

func (r *Request) readInto(ctx context.Context, buffer []byte, b Body, known bool) ([]byte, error) {
	for {
		if int64(len(buffer)) > b.Limit {
			return buffer, nil
		}
		if len(buffer) == cap(buffer) {
			larger, err := r.larger(ctx, buffer, b, known)
			if err != nil {
				return nil, err
			}
			buffer = larger
		}
		n, err := b.Reader.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		r.progress(len(buffer))
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// larger returns a larger buffer with the same content.
func (r *Request) larger(ctx context.Context, buffer []byte, b Body, known bool) ([]byte, error) {
	size := min(int64(growthFactor*cap(buffer)), b.Limit+1)
	if known {
		size = b.Length + bytes.MinRead
	}
	if size < minLargeBytes {
		// Both buffers are there while the bytes are copied.
		held := r.small
		if err := r.raise(ctx, held+size, held+size); err != nil {
			return nil, err
		}
		r.m.grew(r, r.small-held)
		return append(make([]byte, 0, size), buffer...), nil
	}
	next, err := r.newLargeBuffer(ctx, size)
	if err != nil {
		return nil, err
	}
	next.data = append(next.data, buffer...)
	if r.buffer == nil {
		r.m.grew(r, size-(r.small-r.head))
		r.small = r.head
		r.memory.LowerBody(r.head) // The small buffer is garbage of usual size.
	} else {
		r.m.grew(r, size-r.buffer.bytes)
	}
	r.drop()
	r.buffer = next
	return next.data, nil
}

// raise raises what the head and small buffers take. total is what the whole request is known to
// take.
func (r *Request) raise(ctx context.Context, bytes, total int64) error {
	if total > r.m.SmallRequestBytes {
		r.large = true
		r.memory.Leave(r.m.SmallPartBytes)
	}
	err := r.m.await(ctx, r, bytes-r.small, func() error { return r.memory.RaiseBody(bytes) })
	if err == nil {
		r.small = bytes
	}
	return err
}

// leaves returns what the request must leave to others.
func (r *Request) leaves() int64 {
	if r.large {
		return r.m.SmallPartBytes
	}
	return 0
}

// progress records what was received of the body.
func (r *Request) progress(received int) {
	if received-r.progressed >= progressBytes {
		r.progressed = received
		r.progressAt.Store(int64(r.m.Now()))
	}
}

// drop gives up the large buffer.
func (r *Request) drop() {
	if r.buffer != nil {
		r.m.garbage.add(r.buffer.bytes)
		r.buffer = nil
	}
}
