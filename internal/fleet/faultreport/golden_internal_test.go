package faultreport

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"

	"calicohill/internal/testbed/golden"
	"calicohill/routing"
)

// The encoding of statement bodies must not change: reports encode to the golden bytes, and those decode to the
// reports.
func TestGoldenStatements(t *testing.T) {
	silent := Report{Worker: "w-1", Fault: routing.Unresponsive, FirstSeenAgo: 1200, LastSeenAgo: 0, Attempts: 7}
	stalled := Report{Worker: "w-2", Fault: routing.Slow, FirstSeenAgo: 30_000, LastSeenAgo: 24, Attempts: 300}
	failing := Report{Worker: "vävare/3", Fault: routing.Failing, FirstSeenAgo: 4_294_967_295, LastSeenAgo: 256, Attempts: 65_535}
	unreachable := Report{Worker: "w-4", Fault: routing.Unreachable, FirstSeenAgo: 70_000, LastSeenAgo: 70_000, Attempts: 1}
	var long []Report // more reports than fit; the most recent ones are kept
	for i := range uint32(14) {
		long = append(long, Report{
			Worker: strings.Repeat(string(rune('a'+i)), MaxWorkerIDBytes), Fault: routing.Unresponsive,
			FirstSeenAgo: 100_000, LastSeenAgo: 100 - i, Attempts: 10,
		})
	}
	for _, tt := range []struct {
		name       string
		list, want []Report
	}{
		{"none.cbor", []Report{}, []Report{}},
		{"silent.cbor", []Report{silent}, []Report{silent}},
		{"stalled.cbor", []Report{stalled}, []Report{stalled}},
		{"failing.cbor", []Report{failing}, []Report{failing}},
		{"unreachable.cbor", []Report{unreachable}, []Report{unreachable}},
		{"all.cbor", []Report{unreachable, failing, stalled, silent}, []Report{silent, stalled, failing, unreachable}},
		{"long.cbor", long, []Report{long[13], long[12], long[11], long[10], long[9], long[8], long[7]}},
	} {
		encoded, err := Encode(tt.list)
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, tt.name, encoded)
		decoded, err := Decode(golden.Read(t, tt.name))
		if err != nil {
			t.Fatalf("%s: %v", tt.name, err)
		}
		if !reflect.DeepEqual(decoded, tt.want) {
			t.Errorf("%s: decoded as\n%+v\nwant\n%+v", tt.name, decoded, tt.want)
		}
	}
}

// Malformed bodies must be rejected with these error texts.
func TestGoldenErrors(t *testing.T) {
	complete := golden.Read(t, "all.cbor")
	wrongFault := bytes.Clone(golden.Read(t, "silent.cbor"))
	faultOffset := bytes.Index(wrongFault, []byte("w-1")) + len("w-1")
	wrongFault[faultOffset] = byte(routing.Unreachable) + 1
	for _, tt := range []struct {
		body []byte
		want string
	}{
		{complete[:len(complete)-1], "faultreport: malformed statement: unexpected EOF"},
		{wrongFault, "faultreport: malformed statement"},
		{make([]byte, maxStatementBytes+1), "faultreport: malformed statement"},
	} {
		if _, err := Decode(tt.body); err == nil || err.Error() != tt.want || !errors.Is(err, ErrMalformed) {
			t.Errorf("error %v, want %s", err, tt.want)
		}
	}
}
