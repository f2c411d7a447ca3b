package bufferpool_test

import (
	"testing"

	"calicohill/internal/runtime/bufferpool"

	"pgregory.net/rapid"
)

func TestAppend(t *testing.T) {
	cases := map[string]struct {
		initial int
		added   int
		fits    bool
	}{
		"into an empty buffer": {initial: 0, added: 10, fits: true},
		"up to the size":       {initial: bufferpool.Size - 10, added: 10, fits: true},
		"beyond the size":      {initial: bufferpool.Size - 10, added: 11, fits: false},
		"nothing when full":    {initial: bufferpool.Size, added: 0, fits: true},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			buffer := bufferpool.NewPool(1).Get()
			buffer.B = append(buffer.B, make([]byte, tt.initial)...)
			want := tt.initial
			if tt.fits {
				want += tt.added
			}
			if got := buffer.Append(make([]byte, tt.added)); got != tt.fits {
				t.Errorf("Append = %v, want %v", got, tt.fits)
			}
			if len(buffer.B) != want || cap(buffer.B) != bufferpool.Size {
				t.Errorf("length %d and capacity %d, want %d and %d", len(buffer.B), cap(buffer.B), want, bufferpool.Size)
			}
		})
	}
}

func TestPutNil(t *testing.T) {
	pool := bufferpool.NewPool(1)
	pool.Put(nil)
	if pool.Get() == nil || pool.Get() != nil {
		t.Error("Put(nil) changed the number of buffers in use")
	}
}

// The pool must respect its limit and the bound on free buffers, return only empty buffers, and never return a buffer
// that is in use.
func TestPoolBounds(t *testing.T) {
	const limit = 200
	rapid.Check(t, func(rt *rapid.T) {
		pool := bufferpool.NewPool(limit)
		var inUse []*bufferpool.Buffer
		for range rapid.IntRange(1, 20).Draw(rt, "bursts") {
			for range rapid.IntRange(0, limit+10).Draw(rt, "gets") {
				buffer := pool.Get()
				if (buffer == nil) != (len(inUse) == limit) {
					rt.Fatalf("Get() = %v with %d buffers in use", buffer, len(inUse))
				}
				if buffer == nil {
					break
				}
				if len(buffer.B) != 0 {
					rt.Fatalf("Get() returned a buffer with %d bytes", len(buffer.B))
				}
				buffer.Append([]byte("used"))
				inUse = append(inUse, buffer)
			}
			for range rapid.IntRange(0, len(inUse)).Draw(rt, "puts") {
				pool.Put(inUse[len(inUse)-1])
				inUse = inUse[:len(inUse)-1]
				if len(pool.Free()) > limit+bufferpool.MaxExcessFree {
					rt.Fatalf("%d buffers are free", len(pool.Free()))
				}
			}
			seen := map[*bufferpool.Buffer]bool{}
			for _, buffer := range append(append([]*bufferpool.Buffer{}, inUse...), pool.Free()...) {
				if seen[buffer] {
					rt.Fatal("a buffer is in use or free twice")
				}
				seen[buffer] = true
			}
		}
	})
}

// The pool must not keep all buffers of a large burst.
func TestBurstReleasesMemory(t *testing.T) {
	const burst = 10 * bufferpool.MaxExcessFree
	pool := bufferpool.NewPool(burst)
	var inUse []*bufferpool.Buffer
	for range burst {
		inUse = append(inUse, pool.Get())
	}
	for _, buffer := range inUse {
		pool.Put(buffer)
	}
	// Buffers are kept until the free ones outnumber those in use by MaxExcessFree, about halfway through.
	if got, want := len(pool.Free()), (burst+bufferpool.MaxExcessFree)/2; got != want {
		t.Errorf("%d of %d buffers are kept, want %d", got, burst, want)
	}
}
