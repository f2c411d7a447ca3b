package bufferpool_test

import (
	"testing"

	"calicohill/internal/runtime/bufferpool"

	"pgregory.net/rapid"
)

func TestAppend(t *testing.T) {
	cases := map[string]struct {
		held  int
		added int
		fits  bool
	}{
		"into an empty buffer": {held: 0, added: 10, fits: true},
		"up to the size":       {held: bufferpool.Size - 10, added: 10, fits: true},
		"beyond the size":      {held: bufferpool.Size - 10, added: 11, fits: false},
		"nothing when full":    {held: bufferpool.Size, added: 0, fits: true},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			buffer := bufferpool.NewPool(1).Get()
			buffer.B = append(buffer.B, make([]byte, tt.held)...)
			want := tt.held
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
		t.Error("putting nil back changes how many buffers are lent")
	}
}

// TestPoolBounds holds a pool to its limit and to the memory that it may keep, and every buffer to be lent once, empty.
func TestPoolBounds(t *testing.T) {
	const limit = 200
	rapid.Check(t, func(rt *rapid.T) {
		pool := bufferpool.NewPool(limit)
		var lent []*bufferpool.Buffer
		for range rapid.IntRange(1, 20).Draw(rt, "bursts") {
			for range rapid.IntRange(0, limit+10).Draw(rt, "gets") {
				buffer := pool.Get()
				if (buffer == nil) != (len(lent) == limit) {
					rt.Fatalf("Get() = %v with %d lent", buffer, len(lent))
				}
				if buffer == nil {
					break
				}
				if len(buffer.B) != 0 {
					rt.Fatalf("a lent buffer holds %d bytes", len(buffer.B))
				}
				buffer.Append([]byte("used"))
				lent = append(lent, buffer)
			}
			for range rapid.IntRange(0, len(lent)).Draw(rt, "puts") {
				pool.Put(lent[len(lent)-1])
				lent = lent[:len(lent)-1]
				if len(pool.Free()) > limit+bufferpool.MaxExcessFree {
					rt.Fatalf("%d buffers are kept", len(pool.Free()))
				}
			}
			seen := map[*bufferpool.Buffer]bool{}
			for _, buffer := range append(append([]*bufferpool.Buffer{}, lent...), pool.Free()...) {
				if seen[buffer] {
					rt.Fatal("a buffer is lent or free twice")
				}
				seen[buffer] = true
			}
		}
	})
}

// TestBurstReleasesMemory returns a large burst: only some of its buffers are kept.
func TestBurstReleasesMemory(t *testing.T) {
	const burst = 10 * bufferpool.MaxExcessFree
	pool := bufferpool.NewPool(burst)
	var lent []*bufferpool.Buffer
	for range burst {
		lent = append(lent, pool.Get())
	}
	for _, buffer := range lent {
		pool.Put(buffer)
	}
	// Buffers are kept until the free ones exceed those still lent by MaxExcessFree, which is halfway through.
	if got, want := len(pool.Free()), (burst+bufferpool.MaxExcessFree)/2; got != want {
		t.Errorf("%d buffers are kept of %d, want %d", got, burst, want)
	}
}
