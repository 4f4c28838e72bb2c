package config

import (
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The operator's file is S-expressions: lists in parentheses, each begun by its
// key, of words, numbers, strings in double quotes and lists. A semicolon begins a
// comment.
var sexpLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Space", Pattern: `[ \t\r\n]+`},
	{Name: "Comment", Pattern: `;[^\n]*`},
	{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
	{Name: "Word", Pattern: `[^\s()";]+`},
	{Name: "Punct", Pattern: `[()]`},
})

type sexpFile struct {
	Values []*sexp `parser:"@@*"`
}

// A sexp is a word, a string or a list.
type sexp struct {
	Pos  lexer.Position
	Atom *string   `parser:"  @Word"`
	Text *string   `parser:"| @String"`
	Form *sexpForm `parser:"| @@"`
}

type sexpForm struct {
	Open   string  `parser:"@'('"`
	Values []*sexp `parser:"@@* ')'"`
}

var sexpParser = participle.MustBuild[sexpFile](
	participle.Lexer(sexpLexer), participle.Elide("Space", "Comment"), participle.Unquote("String"),
)

const (
	maxOperatorFile = 1 << 20
	maxDepth        = 32 // of lists within lists: no form of ours has so many
)

// parse reads a text into forms.
func (r *reader) parse(text []byte) []*sexp {
	if len(text) > maxOperatorFile {
		r.fail(nil, "", "over %d bytes", maxOperatorFile)
		return nil
	}
	// The parser recurses: depth is bounded before it begins.
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
		if depth > maxDepth {
			r.fail(nil, "", "lists more than %d deep", maxDepth)
			return nil
		}
	}
	f, err := sexpParser.ParseBytes(r.file, text)
	if err != nil {
		fault := OperatorError{File: r.file, Text: err.Error()}
		if p, ok := err.(participle.Error); ok {
			fault.Line, fault.Column, fault.Text = p.Position().Line, p.Position().Column, strings.TrimPrefix(p.Message(), "lexer: ")
		}
		r.errors = append(r.errors, fault)
		return nil
	}
	return f.Values
}

func (s *sexp) String() string {
	switch {
	case s.Atom != nil:
		return *s.Atom
	case s.Text != nil:
		return strconv.Quote(*s.Text)
	}
	return "a list"
}
