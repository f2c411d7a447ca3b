package gossip

import "encoding/binary"

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
