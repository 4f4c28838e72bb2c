package config

import (
	"errors"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The operator's file is S-expressions: forms in parentheses, each begun by its key, of atoms (words and
// numbers), strings in double quotes and forms. A semicolon begins a comment.
var sexpLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Space", Pattern: `[ \t\r\n]+`},
	{Name: "Comment", Pattern: `;[^\n]*`},
	{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
	{Name: "Word", Pattern: `[^\s()";]+`},
	{Name: "Punct", Pattern: `[()]`},
})

// A sexpFile is a whole file.
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

// A sexpForm is values in parentheses.
type sexpForm struct {
	Open   string  `parser:"@'('"`
	Values []*sexp `parser:"@@* ')'"`
}

var sexpParser = participle.MustBuild[sexpFile](
	participle.Lexer(sexpLexer), participle.Elide("Space", "Comment"), participle.Unquote("String"),
)

const (
	maxOperatorFileBytes = 1 << 20 // bytes
	maxFormDepth         = 32      // of forms within forms: no key needs so many
)

// parse reads a text into forms.
func (r *reader) parse(text []byte) []*sexp {
	if len(text) > maxOperatorFileBytes {
		r.addError(nil, "", "over %d bytes", maxOperatorFileBytes)
		return nil
	}
	if exceedsMaxDepth(text) {
		r.addError(nil, "", "lists more than %d deep", maxFormDepth)
		return nil
	}
	file, err := sexpParser.ParseBytes(r.file, text)
	if err != nil {
		r.errors = append(r.errors, r.syntaxError(err))
		return nil
	}
	return file.Values
}

// syntaxError returns a parser's error with its place in the file.
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

// tooDeep reports whether forms are nested over maxDepth. The parser recurses: the depth has to be
// bounded before it begins.
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

// String returns a value as error messages show it.
func (s *sexp) String() string {
	switch {
	case s.Atom != nil:
		return *s.Atom
	case s.Text != nil:
		return strconv.Quote(*s.Text)
	}
	return "a list"
}
