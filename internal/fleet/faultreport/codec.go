package faultreport

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"calicohill/routing"

	"github.com/fxamacker/cbor/v2"
)

// Limits on a statement. A statement and its signature must fit into one datagram.
const (
	MaxReports        = 12  // reports per statement
	MaxWorkerIDBytes  = 48  // length of a worker ID in a report
	maxStatementBytes = 480 // length of an encoded statement
)

// Limits of the decoder. Its input comes from peers and may be hostile.
const (
	maxNestedLevels  = 4
	maxArrayElements = 16
	maxMapPairs      = 16
)

// ErrMalformed is wrapped by every error that Decode returns.
var ErrMalformed = errors.New("faultreport: malformed statement")

// Report is one scheduler's report of a fault of a worker. Times are encoded as ages in milliseconds relative to the
// statement, so members do not need synchronized clocks.
type Report struct {
	_            struct{} `cbor:",toarray"`
	Worker       string
	Fault        routing.Fault
	FirstSeenAgo uint32 // age of the oldest request that showed the fault
	LastSeenAgo  uint32 // age of the newest request that showed the fault
	Attempts     uint16 // number of requests that showed the fault
}

var (
	statementEncoder = newStatementEncoder()
	statementDecoder = newStatementDecoder()
)

// newStatementEncoder returns the deterministic encoder. It panics on invalid options; the options are constant.
func newStatementEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// newStatementDecoder returns the size-limited decoder. It panics on invalid options; the options are constant.
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

// Encode returns a statement body with as many of the most recent reports as fit. It omits reports whose worker ID is
// longer than MaxWorkerIDBytes.
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

// Decode returns the reports in a statement body. All errors wrap ErrMalformed.
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
