package gossip

import "encoding/binary"

const (
	magic            = 0xca
	formatVersion    = 1
	versionBytes     = 2 // the magic and the format version
	epochBytes       = 8
	incarnationBytes = 4
	seqBytes         = 8
	fixedHeaderBytes = versionBytes + cookieBytes + epochBytes + incarnationBytes + seqBytes
)

// header begins a datagram, before the signature and the message. It is enough to decide whether the signature is
// worth verifying.
type header struct {
	cookie      Cookie // the one that the receiver handed out, if the sender has it
	from        string
	to          string // empty while the sender does not know the receiver's name
	epoch       int64  // of the sender
	incarnation uint32 // of the sender
	seq         uint64 // of the sender's datagrams
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

// appendName appends a name after its length in one byte.
func appendName(b []byte, name string) []byte {
	b = append(b, byte(len(name)))
	return append(b, name...)
}

// envelope is a datagram taken apart: the header, the signature and the encoded message. Nothing in it is verified, and
// neither the signature nor the message is copied.
type envelope struct {
	header
	signature []byte
	body      []byte
}

// parseEnvelope takes a datagram apart. Its error is ErrMalformed.
func parseEnvelope(datagram []byte) (*envelope, error) {
	const minBytes = fixedHeaderBytes + 2 + signatureBytes // with two empty names
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
		if *name, rest, ok = cutName(rest); !ok {
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

// cutName decodes what appendName appended and returns what is after it; ok is false if there is no valid name.
func cutName(b []byte) (name string, rest []byte, ok bool) {
	if len(b) == 0 {
		return "", nil, false
	}
	end := 1 + int(b[0])
	if end > 1+maxNameBytes || len(b) < end {
		return "", nil, false
	}
	return string(b[1:end]), b[end:], true
}

// The domains of signed texts. Each begins its texts, so that a signature of one kind of text is none of another.
const (
	domainMessage   = "calicohill gossip 1 message\x00"
	domainRecord    = "calicohill gossip 1 record\x00"
	domainStatement = "calicohill gossip 1 statement\x00"
)

// signedPrefix begins a signed text: each field after its length, so that no two lists of fields give the same text.
func signedPrefix(domain string, fields ...string) []byte {
	text := []byte(domain)
	for _, field := range fields {
		text = binary.BigEndian.AppendUint16(text, uint16(len(field)))
		text = append(text, field...)
	}
	return text
}

// signed is the text that the signature of a record is made over.
func (r *Record) signed(fleet string) []byte {
	addr, _ := r.Addr.MarshalBinary() // it never fails
	text := signedPrefix(domainRecord, fleet, r.Name, string(addr))
	text = binary.BigEndian.AppendUint64(text, uint64(r.Epoch))
	text = binary.BigEndian.AppendUint32(text, r.Incarnation)
	if r.Gone {
		return append(text, 1)
	}
	return append(text, 0)
}

// signed is the text that the signature of a statement is made over.
func (s *Statement) signed(fleet string) []byte {
	text := signedPrefix(domainStatement, fleet, s.Name)
	text = binary.BigEndian.AppendUint64(text, uint64(s.Epoch))
	text = binary.BigEndian.AppendUint64(text, s.Seq)
	text = binary.BigEndian.AppendUint64(text, uint64(s.At))
	return append(text, s.Body...)
}

// signed is the text that the signature of a message is made over. It leaves out the cookie, which serves to rank the
// datagram before its signature is verified.
func (h *header) signed(fleet string, body []byte) []byte {
	withoutCookie := *h
	withoutCookie.cookie = Cookie{}
	text := signedPrefix(domainMessage, fleet)
	text = withoutCookie.appendTo(text)
	return append(text, body...)
}
