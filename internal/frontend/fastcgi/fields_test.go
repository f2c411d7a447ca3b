package fastcgi

import (
	"testing"
	"time"

	"calicohill/internal/config/deployment"
	"calicohill/routing"
)

// asked is the parameters of an ordinary request, as they stand in its records.
func asked(t testing.TB) []byte {
	t.Helper()
	var params []byte
	b := appendRequest(nil, 1, Request{
		Path: "/rpc/consulta", ID: "9b1f03aa5c7e2d41", Function: "7f3a9c21e0b4d655", OnceKey: "k",
		Budget: time.Second, Spec: "memory_mb:512;lanes:2",
	})
	for len(b) > 0 {
		r, n, err := parseRecord(b)
		if err != nil || n == 0 {
			t.Fatal(err)
		}
		if r.kind == typeParams {
			params = append(params, r.content...)
		}
		b = b[n:]
	}
	return params
}

var someSite = deployment.Settings{Settings: routing.Settings{Classes: []routing.Class{{LatencyObjective: 1, Deadline: 1}}}, ClassNames: []string{"consulta"}}

func BenchmarkFields(b *testing.B) {
	params, classes := asked(b), map[string]int{"consulta": 0}
	b.ReportAllocs()
	for b.Loop() {
		f, err := parseFields(params, nil)
		if err == nil {
			_, err = f.call(&someSite, classes)
		}
		if err != nil {
			b.Fatal(err)
		}
	}
}
