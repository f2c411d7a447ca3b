package gossip

import "net/netip"

// MaxDatagram is the maximum length of a datagram, in bytes.
const MaxDatagram = 1200

// Bounds of a message. Messages that exceed one are dropped.
const (
	maxItems          = 32 // length of each list: records, claims, statements, summaries, requested names
	maxStatementBytes = 480
	maxCertBytes      = 560
	maxNameBytes      = 64
	signatureBytes    = 64
	cookieBytes       = 8
)

// Kind is the type of a message.
type Kind uint8

// The kinds of message.
const (
	Ping         Kind = iota + 1 // direct probe; requests an Ack with the same Nonce
	Ack                          // answers a Ping, or an IndirectPing after its target has answered
	Nack                         // answers an IndirectPing whose target was silent; shows that the relay is reachable
	IndirectPing                 // asks a relay to ping Target and forward its Ack after a direct probe timed out
	Gossip                       // carries content only
	lastKind     = Gossip
)

// Message is the content of a datagram. Its sender vouches for all fields except Records and Statements, which are
// signed by their author.
type Message struct {
	_          struct{} `cbor:",toarray"`
	Kind       Kind
	Nonce      uint64
	At         int64    // send time by the sender's clock, Unix milliseconds
	Target     string   // member to ping (IndirectPing only)
	Cookie     Cookie   // issued to the receiver, which includes it in the datagrams it sends back
	Cert       []byte   // the sender's certificate, if the receiver may not have it
	Records    []Record // records of any members
	Claims     []Claim  // the sender's claims about members
	Statements []Statement
	Summaries  []Claim  // the sender's view of some members; requests newer Records
	Want       []string // names of members whose Records are requested
}

// Cookie proves that its bearer has received a message from the issuer since the issuer started.
type Cookie [cookieBytes]byte

// Addr is a UDP address.
type Addr struct{ netip.AddrPort }

// Record is a member's description of itself.
type Record struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Addr        Addr
	Epoch       int64  // start time of the member by its own clock, Unix milliseconds
	Incarnation uint32 // incremented when the member refutes a suspicion
	Gone        bool   // the member has left the fleet
	Sig         []byte
}

// supersedes reports whether the record is newer than a record of the same member with the given fields.
func (r *Record) supersedes(epoch int64, incarnation uint32, gone bool) bool {
	if r.Epoch != epoch {
		return r.Epoch > epoch
	}
	if r.Incarnation != incarnation {
		return r.Incarnation > incarnation
	}
	return r.Gone && !gone
}

// Claim is one member's view of the state of another.
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
	At    int64 // creation time by the author's clock, Unix milliseconds
	Body  []byte
	Cert  []byte
	Sig   []byte
}

// supersedes reports whether the statement is newer than another of the same author.
func (s *Statement) supersedes(other *Statement) bool {
	if s.Epoch != other.Epoch {
		return s.Epoch > other.Epoch
	}
	return s.Seq > other.Seq
}

// sameNumber reports whether two statements of an author have the same epoch and sequence number.
func (s *Statement) sameNumber(other *Statement) bool {
	return s.Epoch == other.Epoch && s.Seq == other.Seq
}

// Upper bounds of the fixed part of an encoded item, in bytes. The size of an item adds its variable-length fields.
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

// Size returns an estimate of the datagram length for the message, in bytes.
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
