package nodeagent

import "testing"

// FuzzParse parses any bytes as answers: one that is accepted is complete, and no longer than the limits.
func FuzzParse(f *testing.F) {
	f.Add([]byte("9b1f03aa5c7e2d41 OK depth=2,l=inflight:7;util:0.61 4\r\nbody\r\n"))
	f.Add([]byte("p1 UP l=util:NaN\r\n"))
	f.Add([]byte("x MISS - 0\r\n\r\n\r\n"))
	f.Add([]byte("x OK depth=-1 4294967295\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		a, n, err := parseAnswer(b, 1<<10)
		if err != nil {
			return
		}
		if n > len(b) || len(a.body) > n || n > maxAnswerLineBytes+(1<<10)+len(crlf) {
			t.Fatalf("answer takes %d of %d bytes, body %d", n, len(b), len(a.body))
		}
		if n > 0 && (a.id == "" || a.inFlightForFunction < 0) {
			t.Fatalf("answer %+v", a)
		}
	})
}
