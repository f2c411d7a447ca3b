package gossip

import "encoding/binary"

const (
	magic            = 0xca
	formatVersion    = 1
	versionBytes     = 2 // magic byte and format version
	epochBytes       = 8
	incarnationBytes = 4
	seqBytes         = 8
	fixedHeaderBytes = versionBytes + cookieBytes + epochBytes + incarnationBytes + seqBytes
)

// header is the start of a datagram, followed by the signature and the message. It contains what is needed to decide
// whether to spend a signature check on the datagram.
type header struct {
	cookie      Cookie // issued by the receiver; zero if the sender has none
	from        string
	to          string // empty if the sender does not know the receiver's name
	epoch       int64  // of the sender
	incarnation uint32 // of the sender
	seq         uint64 // sequence number of the datagram within the sender's epoch
}

// appendTo appends the encoded header.
func (h *header) appendTo(b []byte) []byte {
	b = append(b, magic, formatVersion)
	b = append(b, h.cookie[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(h.epoch))
	b = binary.BigEndian.AppendUint32(b, h.incarnation)
	b = binary.BigEndian.AppendUint64(b, h.seq)
	b = appendName(b, h.from)
	return appendName(b, h.to)
}

// appendName appends a name, prefixed with its length in one byte.
func appendName(b []byte, name string) []byte {
	b = append(b, byte(len(name)))
	return append(b, name...)
}

// envelope is a parsed but unverified datagram. signature and body alias the datagram's bytes.
type envelope struct {
	header
	signature []byte
	body      []byte // encoded message
}

// parseEnvelope splits a datagram into its parts. The only error it returns is ErrMalformed.
func parseEnvelope(datagram []byte) (*envelope, error) {
	const minBytes = fixedHeaderBytes + 2 + signatureBytes // both names empty
	if len(datagram) < minBytes || len(datagram) > MaxDatagram || datagram[0] != magic || datagram[1] != formatVersion {
		return nil, ErrMalformed
	}
	var parsed envelope
	rest := datagram[versionBytes:]
	copy(parsed.cookie[:], rest)
	rest = rest[cookieBytes:]
	parsed.epoch = int64(binary.BigEndian.Uint64(rest))
	rest = rest[epochBytes:]
	parsed.incarnation = binary.BigEndian.Uint32(rest)
	rest = rest[incarnationBytes:]
	parsed.seq = binary.BigEndian.Uint64(rest)
	rest = rest[seqBytes:]
	for _, name := range []*string{&parsed.from, &parsed.to} {
		var ok bool
		if *name, rest, ok = consumeName(rest); !ok {
			return nil, ErrMalformed
		}
	}
	if parsed.from == "" || len(rest) < signatureBytes {
		return nil, ErrMalformed
	}
	parsed.signature = rest[:signatureBytes]
	parsed.body = rest[signatureBytes:]
	return &parsed, nil
}

// consumeName decodes a name written by appendName and returns the bytes after it. ok is false if the name is invalid.
func consumeName(b []byte) (name string, rest []byte, ok bool) {
	if len(b) == 0 {
		return "", nil, false
	}
	end := 1 + int(b[0])
	if end > 1+maxNameBytes || len(b) < end {
		return "", nil, false
	}
	return string(b[1:end]), b[end:], true
}

// Domain separators. Each signed text starts with one, so that a signature over one type of content is not valid for
// another.
const (
	domainMessage   = "calicohill gossip 1 message\x00"
	domainRecord    = "calicohill gossip 1 record\x00"
	domainStatement = "calicohill gossip 1 statement\x00"
)

// signedPrefix returns the start of a signed text: the domain and the length-prefixed fields. The length prefixes keep
// different field lists from encoding to the same text.
func signedPrefix(domain string, fields ...string) []byte {
	text := []byte(domain)
	for _, field := range fields {
		text = binary.BigEndian.AppendUint16(text, uint16(len(field)))
		text = append(text, field...)
	}
	return text
}

// signedText returns the text to sign for a record.
func (r *Record) signedText(fleet string) []byte {
	addr, _ := r.Addr.MarshalBinary() // never fails
	text := signedPrefix(domainRecord, fleet, r.Name, string(addr))
	text = binary.BigEndian.AppendUint64(text, uint64(r.Epoch))
	text = binary.BigEndian.AppendUint32(text, r.Incarnation)
	if r.Gone {
		return append(text, 1)
	}
	return append(text, 0)
}

// signedText returns the text to sign for a statement.
func (s *Statement) signedText(fleet string) []byte {
	text := signedPrefix(domainStatement, fleet, s.Name)
	text = binary.BigEndian.AppendUint64(text, uint64(s.Epoch))
	text = binary.BigEndian.AppendUint64(text, s.Seq)
	text = binary.BigEndian.AppendUint64(text, uint64(s.At))
	return append(text, s.Body...)
}

// signedText returns the text to sign for a message. It excludes the cookie, which is checked before the signature
// to choose the budget for the signature check.
func (h *header) signedText(fleet string, body []byte) []byte {
	withoutCookie := *h
	withoutCookie.cookie = Cookie{}
	text := signedPrefix(domainMessage, fleet)
	text = withoutCookie.appendTo(text)
	return append(text, body...)
}
