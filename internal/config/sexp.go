package config

import (
	"errors"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// sexpLexer splits an operator's file into tokens. The file consists of S-expressions: forms in parentheses, each of
// which begins with its key and contains atoms (words and numbers), strings in double quotes and further forms. A
// semicolon begins a comment, which ends with the line.
var sexpLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Space", Pattern: `[ \t\r\n]+`},
	{Name: "Comment", Pattern: `;[^\n]*`},
	{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
	{Name: "Word", Pattern: `[^\s()";]+`},
	{Name: "Punct", Pattern: `[()]`},
})

// A sexpFile holds the top-level values of a file.
type sexpFile struct {
	Values []*sexp `parser:"@@*"`
}

// A sexp is an atom, a string or a form.
type sexp struct {
	Pos  lexer.Position
	Atom *string   `parser:"  @Word"`
	Text *string   `parser:"| @String"`
	Form *sexpForm `parser:"| @@"`
}

// A sexpForm holds the values between two parentheses.
type sexpForm struct {
	Open   string  `parser:"@'('"`
	Values []*sexp `parser:"@@* ')'"`
}

var sexpParser = participle.MustBuild[sexpFile](
	participle.Lexer(sexpLexer), participle.Elide("Space", "Comment"), participle.Unquote("String"),
)

const (
	maxOperatorFileBytes = 1 << 20 // bytes
	maxFormDepth         = 32      // nesting depth of forms; no key needs more
)

// parse returns the top-level values of a text. If the text is too long, too deeply nested or has a syntax error, it
// records an error and returns nil.
func (r *reader) parse(text []byte) []*sexp {
	if len(text) > maxOperatorFileBytes {
		r.addError(nil, "", "%d bytes, at most %d are allowed", len(text), maxOperatorFileBytes)
		return nil
	}
	if exceedsMaxDepth(text) {
		r.addError(nil, "", "lists are nested more than %d deep", maxFormDepth)
		return nil
	}
	file, err := sexpParser.ParseBytes(r.file, text)
	if err != nil {
		r.errors = append(r.errors, r.syntaxError(err))
		return nil
	}
	return file.Values
}

// syntaxError converts an error of the parser into an OperatorError with its position in the file.
func (r *reader) syntaxError(err error) OperatorError {
	var parseError participle.Error
	if !errors.As(err, &parseError) {
		return OperatorError{File: r.file, Text: err.Error()}
	}
	position := parseError.Position()
	return OperatorError{
		File:   r.file,
		Line:   position.Line,
		Column: position.Column,
		Text:   strings.TrimPrefix(parseError.Message(), "lexer: "),
	}
}

// exceedsMaxDepth reports whether forms are nested more than maxFormDepth deep. The parser recurses, so the depth
// has to be checked before parsing.
func exceedsMaxDepth(text []byte) bool {
	depth, quoted, comment := 0, false, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case c == '\n':
			quoted, comment = false, false
		case comment:
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == ';':
			comment = true
		case c == '(':
			depth++
		case c == ')':
			depth--
		}
		if depth > maxFormDepth {
			return true
		}
	}
	return false
}

// String returns a value in the form that error messages show.
func (s *sexp) String() string {
	switch {
	case s.Atom != nil:
		return *s.Atom
	case s.Text != nil:
		return strconv.Quote(*s.Text)
	}
	return "a list"
}
