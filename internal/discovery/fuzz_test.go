package discovery

import "testing"

// FuzzParse reads any bytes as HTTP answers: a body is whole and no longer than the limit.
func FuzzParse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\n{}\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n"))
	f.Add([]byte("HTTP/1.0 500 No\r\n: x\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		body, n, _, err := parseResponse(b)
		if err == nil && (n > len(b) || len(body) > n || len(body) > maxBodyBytes) {
			t.Fatalf("answer takes %d of %d bytes, body %d", n, len(b), len(body))
		}
	})
}
