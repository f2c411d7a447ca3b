package operatorfile

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

const (
	asciiDelete = 0x7f
	blanks      = " \t"
)

// token is a word or expression in a line.
type token struct {
	text   string
	column int // of its first byte, from 1
}

// lexicalError is the error for a line that cannot be split into tokens.
type lexicalError struct {
	column int
	reason string
}

func (e *lexicalError) Error() string { return e.reason }

// splitLine splits a line of a section into tokens. The expression argument of a directive is a single token that
// extends to the end of the line or to a comment outside quotes. The error is a *lexicalError.
func splitLine(section, line string) ([]token, error) {
	if leading, ok := tokensBeforeExpression(section, line); ok {
		return splitExpressionLine(line, leading)
	}
	tokens, _, err := splitTokens(line, math.MaxInt)
	return tokens, err
}

// tokensBeforeExpression returns the number of tokens before the expression in a line, including the name of the
// directive, and whether the directive has an expression argument.
func tokensBeforeExpression(section, line string) (int, bool) {
	tokens, _, err := splitTokens(line, 1)
	if err != nil || len(tokens) == 0 || tokens[0].column == 1 {
		return 0, false
	}
	directive, ok := Lookup(section, tokens[0].text)
	if !ok {
		return 0, false
	}
	i := slices.IndexFunc(directive.Args, func(a Arg) bool { return a.Type == Expr })
	return i + 1, i >= 0
}

// splitExpressionLine splits a line into a number of leading tokens and the expression that follows.
func splitExpressionLine(line string, leading int) ([]token, error) {
	tokens, rest, err := splitTokens(line, leading)
	if err != nil || len(tokens) < leading {
		return tokens, err
	}
	text := stripComment(line[rest:])
	indent := len(text) - len(strings.TrimLeft(text, blanks))
	text = strings.TrimSpace(text)
	if text != "" {
		tokens = append(tokens, token{text, rest + indent + 1})
	}
	return tokens, nil
}

// stripComment removes a trailing comment from an expression.
func stripComment(expression string) string {
	var quote byte // the open quote character, or 0
	for i := 0; i < len(expression); i++ {
		char := expression[i]
		switch {
		case quote != 0 && char == '\\':
			i++
		case quote != 0 && char == quote:
			quote = 0
		case quote == 0 && (char == '"' || char == '\''):
			quote = char
		case quote == 0 && char == '#':
			return expression[:i]
		}
	}
	return expression
}

// splitTokens returns up to maxTokens tokens from the beginning of a line and the offset of the remaining text.
func splitTokens(line string, maxTokens int) (tokens []token, rest int, err error) {
	lex := lexer{line: line}
	for len(tokens) < maxTokens {
		next, ok, err := lex.next()
		if err != nil {
			return nil, 0, err
		}
		if !ok {
			break
		}
		tokens = append(tokens, next)
	}
	return tokens, lex.offset, nil
}

// lexer reads the tokens of one line from left to right.
type lexer struct {
	line   string
	offset int // of the next byte
}

// next returns the next token. It returns false at the end of the line or at a comment.
func (l *lexer) next() (token, bool, error) {
	for l.offset < len(l.line) && isBlank(l.line[l.offset]) {
		l.offset++
	}
	if l.offset == len(l.line) {
		return token{}, false, nil
	}
	switch char := l.line[l.offset]; {
	case char == '#':
		l.offset = len(l.line)
		return token{}, false, nil
	case char == '"':
		return l.quotedToken()
	case isControl(char):
		return token{}, false, l.errorAt(l.offset, "unexpected character %q", char)
	default:
		return l.plainToken()
	}
}

// quotedToken reads a quoted token. A blank, a comment or the end of the line must follow it.
func (l *lexer) quotedToken() (token, bool, error) {
	text, length := unquote(l.line[l.offset:])
	if length == 0 {
		return token{}, false, l.errorAt(l.offset, "missing closing quote")
	}
	end := l.offset + length
	if end < len(l.line) && !isBlank(l.line[end]) && l.line[end] != '#' {
		return token{}, false, l.errorAt(end, "missing blank after a quoted word")
	}
	tok := token{text, l.offset + 1}
	l.offset = end
	return tok, true, nil
}

// plainToken reads an unquoted token.
func (l *lexer) plainToken() (token, bool, error) {
	end := l.offset
	for end < len(l.line) && isPlain(l.line[end]) {
		end++
	}
	if end < len(l.line) && l.line[end] == '"' {
		return token{}, false, l.errorAt(end, "missing blank before a quoted word")
	}
	tok := token{l.line[l.offset:end], l.offset + 1}
	l.offset = end
	return tok, true, nil
}

func (l *lexer) errorAt(offset int, format string, args ...any) *lexicalError {
	return &lexicalError{column: offset + 1, reason: fmt.Sprintf(format, args...)}
}

func isBlank(char byte) bool   { return char == ' ' || char == '\t' }
func isControl(char byte) bool { return char < ' ' || char == asciiDelete }

// isPlain reports whether a byte may be part of an unquoted token.
func isPlain(char byte) bool {
	return char != ' ' && char != '"' && char != '#' && !isControl(char)
}

// unquote decodes the quoted token at the beginning of text. length is the length of the token in bytes including its
// quotes, or 0 if the closing quote is missing. Within quotes, \" and \\ represent a quote and a backslash.
func unquote(text string) (decoded string, length int) {
	var b strings.Builder
	for i := 1; i < len(text); i++ {
		switch {
		case text[i] == '"':
			return b.String(), i + 1
		case text[i] == '\\' && i+1 < len(text) && (text[i+1] == '"' || text[i+1] == '\\'):
			i++
			b.WriteByte(text[i])
		default:
			b.WriteByte(text[i])
		}
	}
	return "", 0
}
