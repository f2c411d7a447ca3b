package operatorfile

import (
	"errors"
	"slices"
	"testing"
)

// TestSplitLine guards against wrong token boundaries, columns and errors, in particular around quotes, comments and
// expressions.
func TestSplitLine(t *testing.T) {
	cases := map[string]struct {
		section string
		line    string
		want    []token
		err     *lexicalError
	}{
		"empty line":                {line: ""},
		"blanks and a comment":      {line: " \t# log"},
		"heading":                   {line: "match one", want: []token{{"match", 1}, {"one", 7}}},
		"indented words":            {line: "\tlevel  debug # all", want: []token{{"level", 2}, {"debug", 9}}},
		"quoted word":               {line: `fleet "a # \"b\" \\"`, want: []token{{"fleet", 1}, {`a # "b" \`, 7}}},
		"comment after a quote":     {line: `"a"#b`, want: []token{{"a", 1}}},
		"quote without end":         {line: `a "b`, err: &lexicalError{3, "missing closing quote"}},
		"no blank after a quote":    {line: `"a"b`, err: &lexicalError{4, "missing blank after a quoted word"}},
		"no blank before a quote":   {line: `a"b"`, err: &lexicalError{2, "missing blank before a quoted word"}},
		"control character":         {line: "a \x01", err: &lexicalError{3, `unexpected character '\x01'`}},
		"expression":                {"match", "  when a == \"b # c\" # d", []token{{"when", 3}, {`a == "b # c"`, 8}}, nil},
		"expression in backslashes": {"match", `  when 'a\'# b'`, []token{{"when", 3}, {`'a\'# b'`, 8}}, nil},
		"expression after a word":   {"match", "  label  x  a + b", []token{{"label", 3}, {"x", 10}, {"a + b", 13}}, nil},
		"missing expression":        {"match", "  when # a", []token{{"when", 3}}, nil},
		"expression at the margin":  {"match", "when a + b", []token{{"when", 1}, {"a", 6}, {"+", 8}, {"b", 10}}, nil},
		"other kind of section":     {"log", "  when a + b", []token{{"when", 3}, {"a", 8}, {"+", 10}, {"b", 12}}, nil},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := splitLine(tt.section, tt.line)
			if !slices.Equal(got, tt.want) {
				t.Errorf("tokens %+v, want %+v", got, tt.want)
			}
			var lexical *lexicalError
			switch {
			case tt.err == nil && err != nil:
				t.Errorf("error %v", err)
			case tt.err != nil && (!errors.As(err, &lexical) || *lexical != *tt.err):
				t.Errorf("error %#v, want %#v", err, tt.err)
			}
		})
	}
}
