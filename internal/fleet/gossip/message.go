package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
)

// MaxDatagram is the longest datagram that is sent or read, in bytes.
const MaxDatagram = 1200

// Bounds of a message. What passes them is dropped whole.
const (
	maxItems          = 32  // records, claims, statements or summaries in a message
	maxStatementBytes = 480 // bytes of a statement's body
	maxCertBytes      = 560 // bytes of a certificate
	maxNameBytes      = 64
	signatureBytes    = 64
	cookieBytes       = 8
)

// Kind says what a message is for.
type Kind uint8

// The kinds of message.
const (
	Ping         Kind = iota + 1 // asks for an Ack under its Nonce
	Ack                          // answers a Ping, or an IndirectPing once the member asked for has answered
	Nack                         // answers an IndirectPing whose member has not answered: whoever asked is heard, at least
	IndirectPing                 // asks to ping Target and pass its Ack on
	Gossip                       // only brings what it carries
	lastKind     = Gossip
)

// Message is what one member tells another. Its figures are only as true as its sender, but for Records and
// Statements, which carry the signature of whom they are of.
type Message struct {
	_          struct{} `cbor:",toarray"`
	Kind       Kind
	Nonce      uint64
	At         int64    // when it was sent by its sender's clock, Unix milliseconds
	Target     string   // of an IndirectPing
	Cookie     Cookie   // what the sender wants to see on what it is sent
	Cert       []byte   // the sender's, for one that may not know it
	Records    []Record // of members
	Claims     []Claim  // of the sender, on others
	Statements []Statement
	Summaries  []Claim  // what the sender knows of some members; newer Records are wanted back
	Want       []string // members of whom a Record is wanted
}

// Cookie shows that its bearer has had a message from whom it is shown to, since that one started.
type Cookie [cookieBytes]byte

// Addr is a UDP address.
type Addr struct{ netip.AddrPort }

// Record is what a member says of itself.
type Record struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Addr        Addr
	Epoch       int64  // when it started, Unix milliseconds by its own clock
	Incarnation uint32 `cbor:"Inc"` // its incarnation: grows when it contradicts that it is gone
	Gone        bool   // it leaves
	Sig         []byte
}

// Claim is what one member holds of another.
type Claim struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Epoch       int64
	Incarnation uint32 `cbor:"Inc"`
	State       State
}

// Statement is what a member says to all, passed on as it is.
type Statement struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Epoch int64
	Seq   uint64
	At    int64 // Unix milliseconds, by the clock of Name
	Body  []byte
	Cert  []byte
	Sig   []byte
}

var errAddress = errors.New("gossip: not an address")

// MarshalBinary writes an address as 4 or 16 bytes and the port.
func (a Addr) MarshalBinary() ([]byte, error) {
	if !a.IsValid() {
		return []byte{}, nil
	}
	return binary.BigEndian.AppendUint16(a.Addr().AsSlice(), a.Port()), nil
}

// UnmarshalBinary reads what MarshalBinary wrote.
func (a *Addr) UnmarshalBinary(b []byte) error {
	if len(b) == 0 {
		*a = Addr{}
		return nil
	}
	if len(b) != 6 && len(b) != 18 {
		return errAddress
	}
	ip, _ := netip.AddrFromSlice(b[:len(b)-2])
	a.AddrPort = netip.AddrPortFrom(ip.Unmap(), binary.BigEndian.Uint16(b[len(b)-2:]))
	return nil
}

// The codec: definite lengths, no tags, bounded arrays and nesting. What a message may hold is checked after it.
var (
	encoder = func() cbor.EncMode {
		m, err := cbor.CoreDetEncOptions().EncMode()
		if err != nil {
			panic(err) // the options are constant
		}
		return m
	}()
	decoder = func() cbor.DecMode {
		m, err := cbor.DecOptions{
			DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 6, MaxArrayElements: 32,
			MaxMapPairs: 16, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
			ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, UTF8: cbor.UTF8RejectInvalid,
		}.DecMode()
		if err != nil {
			panic(err) // the options are constant
		}
		return m
	}()
)

// ErrMalformed is the error of what is no message.
var ErrMalformed = errors.New("gossip: malformed")

func encode(m *Message) ([]byte, error) { return encoder.Marshal(m) }

func decode(b []byte) (*Message, error) {
	var m Message
	if err := decoder.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	ok := m.Kind >= Ping && m.Kind <= lastKind && len(m.Target) <= maxNameBytes && len(m.Cert) <= maxCertBytes &&
		len(m.Records) <= maxItems && len(m.Claims) <= maxItems && len(m.Statements) <= maxItems &&
		len(m.Summaries) <= maxItems && len(m.Want) <= maxItems
	for _, r := range m.Records {
		ok = ok && validName(r.Name) && r.Addr.IsValid() && len(r.Sig) <= signatureBytes
	}
	for _, c := range append(m.Claims, m.Summaries...) {
		ok = ok && validName(c.Name) && c.State <= Left
	}
	for _, s := range m.Statements {
		ok = ok && validName(s.Name) && len(s.Body) <= maxStatementBytes && len(s.Cert) <= maxCertBytes && len(s.Sig) <= signatureBytes
	}
	for _, n := range m.Want {
		ok = ok && validName(n)
	}
	if !ok {
		return nil, fmt.Errorf("%w: out of bounds", ErrMalformed)
	}
	return &m, nil
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// size is what a record, a claim and a statement take in a datagram, at the most.
func (r *Record) size() int    { return len(r.Name) + len(r.Sig) + 48 }
func (c *Claim) size() int     { return len(c.Name) + 24 }
func (s *Statement) size() int { return len(s.Name) + len(s.Body) + len(s.Cert) + len(s.Sig) + 48 }

// What is signed, told apart by what it begins with.
const (
	domainMessage   = "calicohill gossip 1 message\x00"
	domainRecord    = "calicohill gossip 1 record\x00"
	domainStatement = "calicohill gossip 1 statement\x00"
)

// text begins a signed text: each part with its length, so that no two lists of parts give the same text.
func signedPrefix(domain string, parts ...string) []byte {
	b := []byte(domain)
	for _, p := range parts {
		b = binary.BigEndian.AppendUint16(b, uint16(len(p)))
		b = append(b, p...)
	}
	return b
}

func (r *Record) signed(fleet string) []byte {
	addr, _ := r.Addr.MarshalBinary()
	b := signedPrefix(domainRecord, fleet, r.Name, string(addr))
	b = binary.BigEndian.AppendUint64(b, uint64(r.Epoch))
	b = binary.BigEndian.AppendUint32(b, r.Incarnation)
	if r.Gone {
		return append(b, 1)
	}
	return append(b, 0)
}

func (s *Statement) signed(fleet string) []byte {
	b := signedPrefix(domainStatement, fleet, s.Name)
	b = binary.BigEndian.AppendUint64(b, uint64(s.Epoch))
	b = binary.BigEndian.AppendUint64(b, s.Seq)
	b = binary.BigEndian.AppendUint64(b, uint64(s.At))
	return append(b, s.Body...)
}

// header is what a datagram begins with, in front of a signature and a message: enough to decide whether the
// signature is worth a check.
type header struct {
	cookie      Cookie
	from, to    string // to is "" while the sender does not know whom it writes to
	epoch       int64
	incarnation uint32
	seq         uint64
}

const (
	magic            = 0xca
	formatVersion    = 1
	fixedHeaderBytes = 2 + cookieBytes + 8 + 4 + 8
)

func (h *header) appendTo(b []byte) []byte {
	b = append(append(b, magic, formatVersion), h.cookie[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(h.epoch))
	b = binary.BigEndian.AppendUint32(b, h.incarnation)
	b = binary.BigEndian.AppendUint64(b, h.seq)
	b = append(append(b, byte(len(h.from))), h.from...)
	return append(append(b, byte(len(h.to))), h.to...)
}

// parseHeader reads a header and returns the signature and the message behind it. It copies nothing but names.
func parseHeader(b []byte) (h header, sig, body []byte, err error) {
	if len(b) < fixedHeaderBytes+2+signatureBytes || len(b) > MaxDatagram || b[0] != magic || b[1] != formatVersion {
		return h, nil, nil, ErrMalformed
	}
	copy(h.cookie[:], b[2:])
	b = b[2+cookieBytes:]
	h.epoch = int64(binary.BigEndian.Uint64(b))
	h.incarnation = binary.BigEndian.Uint32(b[8:])
	h.seq = binary.BigEndian.Uint64(b[12:])
	b = b[20:]
	for _, p := range []*string{&h.from, &h.to} {
		if len(b) < 1 || int(b[0]) > maxNameBytes || len(b) < 1+int(b[0]) {
			return h, nil, nil, ErrMalformed
		}
		*p, b = string(b[1:1+b[0]]), b[1+b[0]:]
	}
	if h.from == "" || len(b) < signatureBytes {
		return h, nil, nil, ErrMalformed
	}
	return h, b[:signatureBytes], b[signatureBytes:], nil
}

// signed is what the signature of a message is made over.
func (h *header) signed(fleet string, body []byte) []byte {
	head := h.appendTo(nil)
	// The cookie is for whoever reads the datagram before the signature; it may change on the way.
	copy(head[2:], make([]byte, cookieBytes))
	return append(append(signedPrefix(domainMessage, fleet), head...), body...)
}

// Size is about what a message takes in a datagram, in bytes.
func (m *Message) Size() int {
	n := fixedHeaderBytes + 2 + 2*8 + signatureBytes + 48 + len(m.Cert) + len(m.Target)
	for _, r := range m.Records {
		n += r.size()
	}
	for _, s := range m.Statements {
		n += s.size()
	}
	for _, c := range m.Claims {
		n += c.size()
	}
	for _, c := range m.Summaries {
		n += c.size()
	}
	for _, w := range m.Want {
		n += len(w) + 2
	}
	return n
}
