package fastcgi

import "testing"

// FuzzParse parses arbitrary bytes as records and their contents as name-value pairs. It fails if the parser reads past
// the end of the input or returns a record shorter than a header.
func FuzzParse(f *testing.F) {
	f.Add([]byte{1, 1, 0, 1, 0, 8, 0, 0, 0, 1, 1, 0, 0, 0, 0, 0})
	f.Add([]byte{1, 4, 0, 1, 0, 9, 3, 0, 0x80, 0, 0, 1, 1, 'a', 'b', 0, 0, 0, 0, 0})
	f.Add([]byte{1, 4, 0, 1, 0, 8, 0, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, input []byte) {
		for len(input) > 0 {
			rec, size, err := parseRecord(input)
			if err != nil || size == 0 {
				return
			}
			if size < headerLen || size > len(input) || len(rec.content) > size {
				t.Fatalf("record takes %d of %d bytes, content %d", size, len(input), len(rec.content))
			}
			total := 0
			_ = forEachPair(rec.content, func(name, value []byte) { total += len(name) + len(value) })
			if total > len(rec.content) {
				t.Fatalf("pairs of %d bytes in %d", total, len(rec.content))
			}
			input = input[size:]
		}
	})
}
