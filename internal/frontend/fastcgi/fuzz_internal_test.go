package fastcgi

import (
	"bytes"
	"testing"
)

// parsedRecord is a record that was put together from its parts.
type parsedRecord struct {
	recordHeader
	content  []byte
	complete bool
}

// parseAll parses input that is received in pieces of at most pieceSize bytes, up to the first error.
func parseAll(t *testing.T, input []byte, pieceSize int) []parsedRecord {
	t.Helper()
	var parser recordParser
	var records []parsedRecord
	for len(input) > 0 {
		piece := input[:min(pieceSize, len(input))]
		input = input[len(piece):]
		for len(piece) > 0 {
			part, rest, ok, err := parser.next(piece)
			if err != nil {
				return records
			}
			if !ok {
				break
			}
			if len(rest) > len(piece) || len(part.content) > len(piece) {
				t.Fatalf("content of %d bytes and a rest of %d in %d", len(part.content), len(rest), len(piece))
			}
			piece = rest
			if part.first {
				records = append(records, parsedRecord{recordHeader: part.recordHeader})
			}
			current := &records[len(records)-1]
			current.content = append(current.content, part.content...)
			current.complete = part.last
		}
		if complete := len(records) == 0 || records[len(records)-1].complete; !complete && !parser.midRecord() {
			t.Fatal("a record is not complete, and the parser waits for nothing")
		}
	}
	return records
}

// FuzzParse parses arbitrary bytes as records and their contents as name-value pairs. It fails if the parser reads past
// the end of the input, if a record has more content than its header says, or less although it is complete, or if the
// records depend on the pieces in which the input is received.
func FuzzParse(f *testing.F) {
	f.Add([]byte{1, 1, 0, 1, 0, 8, 0, 0, 0, 1, 1, 0, 0, 0, 0, 0}, 3)
	f.Add([]byte{1, 4, 0, 1, 0, 9, 3, 0, 0x80, 0, 0, 1, 1, 'a', 'b', 0, 0, 0, 0, 0}, 1)
	f.Add([]byte{1, 4, 0, 1, 0, 8, 0, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, 11)
	f.Fuzz(func(t *testing.T, input []byte, pieceSize int) {
		whole := parseAll(t, input, len(input)+1)
		for _, rec := range whole {
			if len(rec.content) > rec.contentLen || rec.complete && len(rec.content) != rec.contentLen {
				t.Fatalf("content of %d bytes, %d according to the header, complete: %v", len(rec.content), rec.contentLen, rec.complete)
			}
			total := 0
			_ = forEachPair(rec.content, func(name, value []byte) { total += len(name) + len(value) })
			if total > len(rec.content) {
				t.Fatalf("pairs of %d bytes in %d", total, len(rec.content))
			}
		}
		pieces := parseAll(t, input, max(pieceSize, 1))
		if len(pieces) != len(whole) {
			t.Fatalf("%d records in pieces, %d as a whole", len(pieces), len(whole))
		}
		for i := range whole {
			if pieces[i].recordHeader != whole[i].recordHeader || pieces[i].complete != whole[i].complete ||
				!bytes.Equal(pieces[i].content, whole[i].content) {
				t.Fatalf("record %d: %+v in pieces, %+v as a whole", i, pieces[i], whole[i])
			}
		}
	})
}
