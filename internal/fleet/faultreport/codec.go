package faultreport

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"calicohill/routing"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of a statement, which has to fit into a datagram together with its signature.
const (
	MaxReports        = 12  // reports in a statement
	MaxWorkerIDBytes  = 48  // length of a worker's id in a report
	maxStatementBytes = 480 // length of an encoded statement
)

// Bounds of the decoder, which reads bytes of peers that may be hostile.
const (
	maxNestedLevels  = 4
	maxArrayElements = 16
	maxMapPairs      = 16
)

// ErrMalformed is wrapped by every error of Decode.
var ErrMalformed = errors.New("faultreport: malformed statement")

// Report is one scheduler's report of a fault of a worker. Times are ages in milliseconds at the time of the
// statement, so that the members' clocks need not agree.
type Report struct {
	_            struct{} `cbor:",toarray"`
	Worker       string
	Fault        routing.Fault
	FirstSeenAgo uint32 // age of the oldest request that shows the fault
	LastSeenAgo  uint32 // age of the newest request that shows it
	Attempts     uint16 // number of requests that show it
}

var (
	statementEncoder = newStatementEncoder()
	statementDecoder = newStatementDecoder()
)

// newStatementEncoder returns the deterministic encoder; it panics on bad options, which are constant.
func newStatementEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// newStatementDecoder returns the bounded decoder; it panics on bad options, which are constant.
func newStatementDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		UTF8:             cbor.UTF8RejectInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the body of a statement with the most recent reports, as many as fit. Reports of workers whose id is
// longer than MaxWorkerIDBytes are left out.
func Encode(list []Report) ([]byte, error) {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.LastSeenAgo, b.LastSeenAgo), cmp.Compare(a.Worker, b.Worker))
	})
	list = slices.DeleteFunc(list, func(a Report) bool { return len(a.Worker) > MaxWorkerIDBytes })
	list = list[:min(len(list), MaxReports)]
	for {
		body, err := statementEncoder.Marshal(list)
		if err != nil || len(body) <= maxStatementBytes {
			return body, err
		}
		list = list[:len(list)-1]
	}
}

// Decode returns the reports in the body of a statement. Any error wraps ErrMalformed.
func Decode(body []byte) ([]Report, error) {
	if len(body) > maxStatementBytes {
		return nil, ErrMalformed
	}
	var list []Report
	if err := statementDecoder.Unmarshal(body, &list); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(list) > MaxReports {
		return nil, ErrMalformed
	}
	seen := map[string]bool{}
	for _, report := range list {
		if !report.valid() || seen[report.Worker] {
			return nil, ErrMalformed
		}
		seen[report.Worker] = true
	}
	return list, nil
}

// valid reports whether the fields of a received report are in range.
func (r Report) valid() bool {
	validID := r.Worker != "" && len(r.Worker) <= MaxWorkerIDBytes
	validFault := r.Fault != routing.Healthy && r.Fault <= routing.Unreachable
	return validID && validFault && r.LastSeenAgo <= r.FirstSeenAgo
}
