package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed is returned for a datagram that does not contain a valid message.
var ErrMalformed = errors.New("gossip: malformed datagram")

var (
	errAddress     = errors.New("gossip: invalid address encoding")
	errOutOfBounds = fmt.Errorf("%w: field out of bounds", ErrMalformed)
)

// Lengths of an encoded address (IP address and port), in bytes.
const (
	portBytes     = 2
	ipv4AddrBytes = 4 + portBytes
	ipv6AddrBytes = 16 + portBytes
)

// MarshalBinary encodes an address as the 4 or 16 bytes of the IP address followed by the port. An invalid address
// encodes to no bytes.
func (a Addr) MarshalBinary() ([]byte, error) {
	if !a.IsValid() {
		return []byte{}, nil
	}
	return binary.BigEndian.AppendUint16(a.Addr().AsSlice(), a.Port()), nil
}

// UnmarshalBinary decodes an address in the format of MarshalBinary.
func (a *Addr) UnmarshalBinary(encoded []byte) error {
	if len(encoded) == 0 {
		*a = Addr{}
		return nil
	}
	if len(encoded) != ipv4AddrBytes && len(encoded) != ipv6AddrBytes {
		return errAddress
	}
	portAt := len(encoded) - portBytes
	ip, _ := netip.AddrFromSlice(encoded[:portAt])
	a.AddrPort = netip.AddrPortFrom(ip.Unmap(), binary.BigEndian.Uint16(encoded[portAt:]))
	return nil
}

// Decoder limits. They protect against input from hostile senders.
const (
	maxNestedLevels = 6
	maxMapPairs     = 16
)

// The CBOR codec accepts only definite lengths, no tags, and bounded arrays and nesting. Message bounds are checked
// after decoding.
var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   maxNestedLevels,
		MaxArrayElements:  maxItems,
		MaxMapPairs:       maxMapPairs,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		UTF8:              cbor.UTF8RejectInvalid,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

func encode(message *Message) ([]byte, error) { return encoder.Marshal(message) }

// decode decodes a message and checks its bounds.
func decode(body []byte) (*Message, error) {
	var message Message
	if err := decoder.Unmarshal(body, &message); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if !message.withinBounds() {
		return nil, errOutOfBounds
	}
	return &message, nil
}

// withinBounds reports whether all fields of a decoded message are within their bounds.
func (m *Message) withinBounds() bool {
	if m.Kind < Ping || m.Kind > lastKind || len(m.Target) > maxNameBytes || len(m.Cert) > maxCertBytes {
		return false
	}
	return allWithin(m.Records, (*Record).withinBounds) &&
		allWithin(m.Claims, (*Claim).withinBounds) &&
		allWithin(m.Statements, (*Statement).withinBounds) &&
		allWithin(m.Summaries, (*Claim).withinBounds) &&
		allWithin(m.Want, func(name *string) bool { return validName(*name) })
}

// allWithin reports whether there are at most maxItems items and all of them are valid.
func allWithin[Item any](items []Item, valid func(*Item) bool) bool {
	if len(items) > maxItems {
		return false
	}
	for i := range items {
		if !valid(&items[i]) {
			return false
		}
	}
	return true
}

func (r *Record) withinBounds() bool {
	return validName(r.Name) && r.Addr.IsValid() && len(r.Sig) <= signatureBytes
}

func (c *Claim) withinBounds() bool { return validName(c.Name) && c.State <= Left }

func (s *Statement) withinBounds() bool {
	return validName(s.Name) && len(s.Body) <= maxStatementBytes && len(s.Cert) <= maxCertBytes &&
		len(s.Sig) <= signatureBytes
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }
