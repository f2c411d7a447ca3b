package gossip

import "net/netip"

// MaxDatagram is the maximum length of a datagram that is sent or read, in bytes.
const MaxDatagram = 1200

// Bounds of a message. A message that exceeds one is dropped.
const (
	maxItems          = 32 // of each of records, claims, statements, summaries and requested names
	maxStatementBytes = 480
	maxCertBytes      = 560
	maxNameBytes      = 64
	signatureBytes    = 64
	cookieBytes       = 8
)

// Kind is the purpose of a message.
type Kind uint8

// The kinds of message.
const (
	Ping         Kind = iota + 1 // sent by a prober; asks for an Ack with the same Nonce
	Ack                          // answers a Ping, or an IndirectPing once its target has answered
	Nack                         // answers an IndirectPing whose target has not answered, so the relay at least is reachable
	IndirectPing                 // sent to a relay when a probe timed out; asks it to ping Target and to forward its Ack
	Gossip                       // only carries content
	lastKind     = Gossip
)

// Message is sent by one member to another. Its content is only as trustworthy as its sender, except for Records and
// Statements, which are signed by their author.
type Message struct {
	_          struct{} `cbor:",toarray"`
	Kind       Kind
	Nonce      uint64
	At         int64    // when it was sent by the sender's clock, Unix milliseconds
	Target     string   // of an IndirectPing
	Cookie     Cookie   // to be shown by the receiver on the datagrams that it sends back
	Cert       []byte   // the sender's certificate, for a receiver that may not have it
	Records    []Record // of members
	Claims     []Claim  // of the sender, about other members
	Statements []Statement
	Summaries  []Claim  // what the sender knows of some members; it asks for Records that are newer
	Want       []string // names of the members whose Records are requested
}

// Cookie proves that its bearer has received a message from the member it is shown to since that member started.
type Cookie [cookieBytes]byte

// Addr is a UDP address.
type Addr struct{ netip.AddrPort }

// Record is what a member publishes about itself.
type Record struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Addr        Addr
	Epoch       int64  // when the member started by its own clock, Unix milliseconds
	Incarnation uint32 // incremented when the member refutes a suspicion
	Gone        bool   // the member leaves
	Sig         []byte
}

// supersedes reports whether the record is newer than one of the same member with these properties.
func (r *Record) supersedes(epoch int64, incarnation uint32, gone bool) bool {
	if r.Epoch != epoch {
		return r.Epoch > epoch
	}
	if r.Incarnation != incarnation {
		return r.Incarnation > incarnation
	}
	return r.Gone && !gone
}

// Claim is the state that one member takes another to be in.
type Claim struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Epoch       int64
	Incarnation uint32
	State       State
}

// Statement is content that a member publishes to the fleet. Other members forward it unchanged.
type Statement struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Epoch int64
	Seq   uint64
	At    int64 // when it was made by the clock of Name, Unix milliseconds
	Body  []byte
	Cert  []byte
	Sig   []byte
}

// supersedes reports whether the statement is newer than another of the same member.
func (s *Statement) supersedes(other *Statement) bool {
	if s.Epoch != other.Epoch {
		return s.Epoch > other.Epoch
	}
	return s.Seq > other.Seq
}

// sameNumber reports whether two statements of a member have the same sequence number of the same epoch.
func (s *Statement) sameNumber(other *Statement) bool {
	return s.Epoch == other.Epoch && s.Seq == other.Seq
}

// The sizes of items in a datagram, in bytes at most: the bytes of variable length and the rest.
const (
	recordOverhead    = 48
	claimOverhead     = 24
	statementOverhead = 48
	wantOverhead      = 2
	messageOverhead   = fixedHeaderBytes + 2 + 2*8 + signatureBytes + 48
)

func (r *Record) size() int { return len(r.Name) + len(r.Sig) + recordOverhead }

func (c *Claim) size() int { return len(c.Name) + claimOverhead }

func (s *Statement) size() int {
	return len(s.Name) + len(s.Body) + len(s.Cert) + len(s.Sig) + statementOverhead
}

// wantSize is the size of a name in Message.Want.
func wantSize(name string) int { return len(name) + wantOverhead }

// Size returns an estimate of the length of the datagram with the message, in bytes.
func (m *Message) Size() int {
	size := messageOverhead + len(m.Cert) + len(m.Target)
	for _, record := range m.Records {
		size += record.size()
	}
	for _, statement := range m.Statements {
		size += statement.size()
	}
	for _, claim := range m.Claims {
		size += claim.size()
	}
	for _, summary := range m.Summaries {
		size += summary.size()
	}
	for _, name := range m.Want {
		size += wantSize(name)
	}
	return size
}
