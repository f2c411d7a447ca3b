package discovery

import "testing"

// FuzzParse guards against responses whose reported size or body exceeds the received bytes or the size limit.
func FuzzParse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\n{}\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n"))
	f.Add([]byte("HTTP/1.0 500 No\r\n: x\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		resp, err := parseResponse(b)
		if err == nil && (resp.size > len(b) || len(resp.body) > resp.size || len(resp.body) > maxBodyBytes) {
			t.Fatalf("response size %d of %d bytes, body %d bytes", resp.size, len(b), len(resp.body))
		}
	})
}
