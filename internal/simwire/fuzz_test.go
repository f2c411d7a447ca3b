package simwire_test

import (
	"errors"
	"io"
	"os"
	"regexp"
	"strings"
	"testing"

	"calicohill/internal/simwire"
)

// For any input, the decoder must return batches, io.EOF, or an error that names the line.
func FuzzDecoder(f *testing.F) {
	recorded, err := os.ReadFile("../../cmd/simadapter/testdata/batches.txt")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(recorded))
	f.Add("round\t1\t1\ntarget_instance\t0\noutcome\tt/a\t1\t-\t\tw\t0\tdelivered\t-\nflush\n")
	f.Add("round\t1\t1\ntarget_instance\t0\nview\t0\t1\t9223372036854775807\nflush\n")
	f.Add("round\tNaN\t-1\nflush\n\x00\xff\t\t\n")
	named := regexp.MustCompile(`line|input ended`)
	f.Fuzz(func(t *testing.T, in string) {
		dec := simwire.NewDecoder(strings.NewReader(in))
		for {
			_, err := dec.Next()
			if errors.Is(err, io.EOF) {
				return
			}
			if err != nil {
				if !named.MatchString(err.Error()) {
					t.Errorf("error %q does not name a line", err)
				}
				return
			}
		}
	})
}
