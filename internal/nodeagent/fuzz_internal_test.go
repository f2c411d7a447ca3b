package nodeagent

import "testing"

// FuzzParse parses arbitrary bytes as responses. It fails if an accepted response is incomplete or exceeds the limits.
func FuzzParse(f *testing.F) {
	f.Add([]byte("9b1f03aa5c7e2d41 OK depth=2,l=inflight:7;util:0.61 4\r\nbody\r\n"))
	f.Add([]byte("p1 UP l=util:NaN\r\n"))
	f.Add([]byte("x MISS - 0\r\n\r\n\r\n"))
	f.Add([]byte("x OK depth=-1 4294967295\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		a, n, err := parseResponse(b, 1<<10)
		if err != nil {
			return
		}
		if n > len(b) || len(a.body) > n || n > maxResponseLineBytes+(1<<10)+len(crlf) {
			t.Fatalf("response takes %d of %d bytes, body %d", n, len(b), len(a.body))
		}
		if n > 0 && (a.id == "" || a.inFlightForFunction < 0) {
			t.Fatalf("invalid response accepted: %+v", a)
		}
	})
}
