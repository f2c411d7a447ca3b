package bufferpool_test

import (
	"bytes"
	"errors"
	"testing"

	"calicohill/internal/runtime/bufferpool"

	"pgregory.net/rapid"
)

func TestAppend(t *testing.T) {
	const large = 1 << 20
	cases := map[string]struct {
		limit    int
		initial  int
		added    int
		want     error
		capacity int // afterwards
	}{
		"into an empty buffer":       {limit: large, added: 10, capacity: bufferpool.MinSize},
		"up to the smallest size":    {limit: bufferpool.MinSize, initial: 10, added: bufferpool.MinSize - 10, capacity: bufferpool.MinSize},
		"beyond the smallest size":   {limit: large, initial: bufferpool.MinSize, added: 1, capacity: 2 * bufferpool.MinSize},
		"far beyond it":              {limit: large, initial: 10, added: 5 * bufferpool.MinSize, capacity: 8 * bufferpool.MinSize},
		"up to the largest size":     {limit: large, initial: bufferpool.Size - 10, added: 10, capacity: bufferpool.Size},
		"beyond the largest size":    {limit: large, initial: bufferpool.Size - 10, added: 11, want: bufferpool.ErrTooLong, capacity: bufferpool.Size},
		"nothing when full":          {limit: large, initial: bufferpool.Size, capacity: bufferpool.Size},
		"beyond the limit":           {limit: 3*bufferpool.MinSize - 1, initial: 10, added: bufferpool.MinSize, want: bufferpool.ErrExhausted, capacity: bufferpool.MinSize},
		"up to the limit, by a copy": {limit: 3 * bufferpool.MinSize, initial: 10, added: bufferpool.MinSize, capacity: 2 * bufferpool.MinSize},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			pool := bufferpool.NewPool(tt.limit)
			buffer := pool.Get()
			if err := pool.Append(buffer, bytes.Repeat([]byte("a"), tt.initial)); err != nil {
				t.Fatal(err)
			}
			added := bytes.Repeat([]byte("b"), tt.added)
			growth := bufferpool.GrowthFor(buffer, added)
			if fits := pool.Fits(growth); fits == errors.Is(tt.want, bufferpool.ErrExhausted) {
				t.Errorf("Fits(GrowthFor) = %v before Append = %v", fits, tt.want)
			}
			if err := pool.Append(buffer, added); !errors.Is(err, tt.want) {
				t.Errorf("Append = %v, want %v", err, tt.want)
			}
			want := bytes.Repeat([]byte("a"), tt.initial)
			if tt.want == nil {
				want = append(want, added...)
			}
			if !bytes.Equal(buffer.B, want) || buffer.Capacity() != tt.capacity {
				t.Errorf("length %d and capacity %d, want %d and %d", len(buffer.B), buffer.Capacity(), len(want), tt.capacity)
			}
			if pool.Used() != tt.capacity || pool.InUse() != 1 {
				t.Errorf("%d bytes and %d buffers in use, want %d and 1", pool.Used(), pool.InUse(), tt.capacity)
			}
		})
	}
}

func TestPutNil(t *testing.T) {
	pool := bufferpool.NewPool(bufferpool.MinSize)
	pool.Put(nil)
	if pool.Get() == nil || pool.Get() != nil {
		t.Error("Put(nil) changed the memory in use")
	}
}

// The pool must respect its limit, with what it keeps for reuse, and the bound on free buffers, return only empty
// buffers, and never return a buffer that is in use. It must refuse memory only if the memory in use leaves no room.
func TestPoolBounds(t *testing.T) {
	const limit = 40 * bufferpool.Size
	rapid.Check(t, func(rt *rapid.T) {
		pool := bufferpool.NewPool(limit)
		var inUse []*bufferpool.Buffer
		reserved := 0
		get := func(rt *rapid.T) {
			had := pool.Fits(bufferpool.MinSize)
			buffer := pool.Get()
			if (buffer != nil) != had {
				rt.Fatalf("Get() = %v with %d bytes in use", buffer, pool.Used())
			}
			if buffer == nil {
				return
			}
			if len(buffer.B) != 0 {
				rt.Fatalf("Get() returned a buffer with %d bytes", len(buffer.B))
			}
			inUse = append(inUse, buffer)
		}
		put := func(rt *rapid.T) {
			if len(inUse) == 0 {
				return
			}
			i := rapid.IntRange(0, len(inUse)-1).Draw(rt, "buffer")
			pool.Put(inUse[i])
			inUse = append(inUse[:i], inUse[i+1:]...)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"get": get,
			"get many": func(rt *rapid.T) {
				for range rapid.IntRange(0, 100).Draw(rt, "buffers") {
					get(rt)
				}
			},
			"append": func(rt *rapid.T) {
				if len(inUse) == 0 {
					return
				}
				buffer := inUse[rapid.IntRange(0, len(inUse)-1).Draw(rt, "buffer")]
				added := make([]byte, rapid.IntRange(0, bufferpool.Size-len(buffer.B)).Draw(rt, "length"))
				fits := pool.Fits(bufferpool.GrowthFor(buffer, added))
				if err := pool.Append(buffer, added); (err == nil) != fits {
					rt.Fatalf("Append = %v with %d bytes in use", err, pool.Used())
				}
			},
			"put": put,
			"put many": func(rt *rapid.T) {
				for range rapid.IntRange(0, 100).Draw(rt, "buffers") {
					put(rt)
				}
			},
			"reserve": func(rt *rapid.T) {
				size := rapid.IntRange(0, limit/4).Draw(rt, "bytes")
				fits := pool.Fits(size)
				if pool.Reserve(size) != fits {
					rt.Fatalf("Reserve(%d) = %v with %d bytes in use", size, !fits, pool.Used())
				}
				if fits {
					reserved += size
				}
			},
			"release": func(rt *rapid.T) {
				size := rapid.IntRange(0, reserved).Draw(rt, "bytes")
				pool.Release(size)
				reserved -= size
			},
			"": func(rt *rapid.T) { checkPool(rt, pool, limit, reserved, inUse) },
		})
	})
}

// checkPool checks the counts of a pool with the given memory in use.
func checkPool(rt *rapid.T, pool *bufferpool.Pool, limit, reserved int, inUse []*bufferpool.Buffer) {
	used, free := reserved, 0
	seen := map[*byte]bool{}
	for _, buffer := range inUse {
		used += buffer.Capacity()
		seen[&buffer.B[:1][0]] = true
	}
	for _, buffer := range pool.Free() {
		free += buffer.Capacity()
		seen[&buffer.B[:1][0]] = true
	}
	if len(seen) != len(inUse)+len(pool.Free()) {
		rt.Fatal("a buffer is in use or free twice")
	}
	if pool.Used() != used || pool.InUse() != len(inUse) || pool.Highest() < used {
		rt.Fatalf("Used() = %d, InUse() = %d, Highest() = %d, want %d, %d and at least %d",
			pool.Used(), pool.InUse(), pool.Highest(), used, len(inUse), used)
	}
	if used+free > limit {
		rt.Fatalf("%d bytes in use and %d free, the limit is %d", used, free, limit)
	}
	if free > limit+bufferpool.MaxExcessFree {
		rt.Fatalf("%d bytes are free", free)
	}
}

// The pool must not keep all buffers of a large burst.
func TestBurstReleasesMemory(t *testing.T) {
	const burst = 10 * bufferpool.MaxExcessFree / bufferpool.MinSize
	pool := bufferpool.NewPool(burst * bufferpool.MinSize)
	var inUse []*bufferpool.Buffer
	for range burst {
		inUse = append(inUse, pool.Get())
	}
	for _, buffer := range inUse {
		pool.Put(buffer)
	}
	// Buffers are kept until the free ones outnumber those in use by MaxExcessFree, about halfway through.
	if got, want := len(pool.Free())*bufferpool.MinSize, (burst*bufferpool.MinSize+bufferpool.MaxExcessFree)/2; got != want {
		t.Errorf("%d bytes of %d are kept, want %d", got, burst*bufferpool.MinSize, want)
	}
}
