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

// parseHeader decodes the header of a datagram and returns the signature and the message after it, which are not
// copied. Its error is ErrMalformed.
func parseHeader(datagram []byte) (parsed header, sig, body []byte, err error) {
	const minBytes = fixedHeaderBytes + 2 + signatureBytes // with two empty names
	if len(datagram) < minBytes || len(datagram) > MaxDatagram || datagram[0] != magic || datagram[1] != formatVersion {
		return parsed, nil, nil, ErrMalformed
	}
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
		if *name, rest, err = parseName(rest); err != nil {
			return parsed, nil, nil, err
		}
	}
	if parsed.from == "" || len(rest) < signatureBytes {
		return parsed, nil, nil, ErrMalformed
	}
	return parsed, rest[:signatureBytes], rest[signatureBytes:], nil
}

// parseName decodes what appendName appended and returns what is after it.
func parseName(b []byte) (name string, rest []byte, err error) {
	if len(b) == 0 {
		return "", nil, ErrMalformed
	}
	end := 1 + int(b[0])
	if end > 1+maxNameBytes || len(b) < end {
		return "", nil, ErrMalformed
	}
	return string(b[1:end]), b[end:], nil
}
