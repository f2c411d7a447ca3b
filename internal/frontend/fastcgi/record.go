package fastcgi

import (
	"encoding/binary"
	"errors"
	"slices"
	"strconv"
)

// recordType is the type of a FastCGI record.
type recordType uint8

// The record types of FastCGI 1.0 that this package uses.
const (
	typeBeginRequest    recordType = 1
	typeAbortRequest    recordType = 2
	typeEndRequest      recordType = 3
	typeParams          recordType = 4
	typeStdin           recordType = 5
	typeStdout          recordType = 6
	typeData            recordType = 8
	typeGetValues       recordType = 9
	typeGetValuesResult recordType = 10
	typeUnknownType     recordType = 11
)

// isKnown reports whether a client may send records of the type.
func (t recordType) isKnown() bool {
	switch t {
	case typeBeginRequest, typeAbortRequest, typeParams, typeStdin, typeData, typeGetValues:
		return true
	default:
		return false
	}
}

// protocolStatus is the protocol status of an END_REQUEST record.
type protocolStatus uint8

// The protocol statuses that the server sends.
const (
	statusComplete    protocolStatus = 0
	statusOverloaded  protocolStatus = 2
	statusUnknownRole protocolStatus = 3
)

// Other constants of the protocol.
const (
	protocolVersion = 1
	roleResponder   = 1
	flagKeepConn    = 1

	headerLen     = 8
	maxContentLen = 65535
	maxPaddingLen = 255
	// controlBodyLen is the length of the content of BEGIN_REQUEST, END_REQUEST and UNKNOWN_TYPE records.
	controlBodyLen = 8
	// maxGetValuesLen is the maximum length of the content of a GET_VALUES record that the server answers. The names of
	// all variables that FastCGI defines take less than 100 bytes.
	maxGetValuesLen = 1 << 10

	// The length of a name or a value takes one byte if it is below longLength. Otherwise it takes four bytes, and the
	// highest bit is set.
	longLength     = 0x80
	longLengthFlag = 1 << 31
	longLengthSize = 4
)

// requestID identifies a request on its connection. Management records, which concern the connection, have the ID
// noRequest.
type requestID uint16

const noRequest requestID = 0

var (
	errFraming       = errors.New("invalid FastCGI framing")
	errTruncatedPair = errors.New("truncated name-value pair")
)

// forEachPair calls visit for each name-value pair of a stream. It stops at a truncated pair and returns
// errTruncatedPair.
func forEachPair(stream []byte, visit func(name, value []byte)) error {
	for len(stream) > 0 {
		nameLen, rest, err := readLength(stream)
		if err != nil {
			return err
		}
		valueLen, rest, err := readLength(rest)
		if err != nil {
			return err
		}
		// The sum of two lengths can overflow 32 bits.
		pairLen := uint64(nameLen) + uint64(valueLen)
		if pairLen > uint64(len(rest)) {
			return errTruncatedPair
		}
		visit(rest[:nameLen], rest[nameLen:pairLen])
		stream = rest[pairLen:]
	}
	return nil
}

// readLength reads the length of a name or a value and returns the rest of the buffer.
func readLength(buf []byte) (length uint32, rest []byte, err error) {
	switch {
	case len(buf) >= 1 && buf[0] < longLength:
		return uint32(buf[0]), buf[1:], nil
	case len(buf) >= longLengthSize:
		return binary.BigEndian.Uint32(buf) &^ longLengthFlag, buf[longLengthSize:], nil
	default:
		return 0, nil, errTruncatedPair
	}
}

// appendLength appends the encoded length of a name or a value.
func appendLength(buf []byte, length int) []byte {
	if length < longLength {
		return append(buf, byte(length))
	}
	return binary.BigEndian.AppendUint32(buf, uint32(length)|longLengthFlag)
}

// appendPair appends a name-value pair.
func appendPair(buf []byte, name, value string) []byte {
	buf = appendLength(buf, len(name))
	buf = appendLength(buf, len(value))
	buf = append(buf, name...)
	return append(buf, value...)
}

// appendHeader appends the header of a record that has no padding.
func appendHeader(buf []byte, kind recordType, id requestID, contentLen int) []byte {
	return append(buf, protocolVersion, byte(kind), byte(id>>8), byte(id), byte(contentLen>>8), byte(contentLen), 0, 0)
}

// appendStream appends the records of a stream, including the empty record that ends it. The content of the stream is
// head followed by body.
func appendStream(buf []byte, kind recordType, id requestID, head, body []byte) []byte {
	for len(head)+len(body) > 0 {
		contentLen := min(len(head)+len(body), maxContentLen)
		buf = appendHeader(buf, kind, id, contentLen)
		fromHead := min(contentLen, len(head))
		fromBody := contentLen - fromHead
		buf = append(buf, head[:fromHead]...)
		buf = append(buf, body[:fromBody]...)
		head = head[fromHead:]
		body = body[fromBody:]
	}
	return appendHeader(buf, kind, id, 0)
}

// appendEndRequest appends an END_REQUEST record.
func appendEndRequest(buf []byte, id requestID, status protocolStatus) []byte {
	buf = appendHeader(buf, typeEndRequest, id, controlBodyLen)
	return append(buf, 0, 0, 0, 0, byte(status), 0, 0, 0)
}

// appendUnknownType appends the response to a record of an unknown type.
func appendUnknownType(buf []byte, kind recordType) []byte {
	buf = appendHeader(buf, typeUnknownType, noRequest, controlBodyLen)
	return append(buf, byte(kind), 0, 0, 0, 0, 0, 0, 0)
}

// The variables that GET_VALUES records can ask for.
const (
	variableMaxConns    = "FCGI_MAX_CONNS"
	variableMaxRequests = "FCGI_MAX_REQS"
	variableMultiplexes = "FCGI_MPXS_CONNS"
)

var variables = [...]string{variableMaxConns, variableMaxRequests, variableMultiplexes}

// valueOf returns the value of one of the variables.
func valueOf(variable string, maxConns int) string {
	switch variable {
	case variableMaxConns:
		return strconv.Itoa(maxConns)
	case variableMaxRequests:
		return strconv.Itoa(maxConns * maxRequestsPerConn)
	default:
		return "1" // requests are multiplexed
	}
}

// appendGetValuesResult appends the response to a GET_VALUES record with the given content. The response contains each
// requested variable once and omits unknown ones.
func appendGetValuesResult(buf, content []byte, maxConns int) ([]byte, error) {
	var result []byte
	var given [len(variables)]bool
	err := forEachPair(content, func(name, _ []byte) {
		index := slices.Index(variables[:], string(name))
		if index >= 0 && !given[index] {
			given[index] = true
			result = appendPair(result, variables[index], valueOf(variables[index], maxConns))
		}
	})
	buf = appendHeader(buf, typeGetValuesResult, noRequest, len(result))
	return append(buf, result...), err
}
