package config

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// MaxTextBytes bounds the YAML text of a document, so that a wrong file submitted
// by an operator can't keep a small host busy with parsing.
const MaxTextBytes = 4 << 20

// Parse parses and validates a document in YAML. It rejects unknown and duplicate
// fields. Its error is of type Problems, each of which names its line and field.
func Parse(data []byte) (Document, error) {
	if len(data) > MaxTextBytes {
		return Document{}, Problems{{Message: fmt.Sprintf("the text has %d bytes, at most %d are allowed", len(data), MaxTextBytes)}}
	}
	if err := checkNesting(data); err != nil {
		return Document{}, err
	}
	d, file, err := decode(data)
	if err != nil {
		return Document{}, Problems{problemFromError(err, file)}
	}
	if err := d.Validate(); err != nil {
		var problems Problems
		if !errors.As(err, &problems) {
			return Document{}, fmt.Errorf("validate: %w", err)
		}
		lines := fieldLines(file)
		for i := range problems {
			problems[i].Line = lineOf(lines, problems[i].Field)
		}
		return Document{}, problems
	}
	return d, nil
}

// decode returns the document without validating it, and the syntax tree that it
// was decoded from.
func decode(data []byte) (d Document, file *ast.File, err error) {
	defer func() {
		// Fuzzing found malformed texts on which the YAML library panics, such as
		// a tag without a value.
		if p := recover(); p != nil {
			err = fmt.Errorf("the text is not valid YAML: %v", p)
		}
	}()
	file, err = parser.ParseBytes(data, 0)
	if err != nil {
		return Document{}, nil, err
	}
	if len(file.Docs) > 1 {
		return Document{}, file, errors.New("the text holds more than one YAML document")
	}
	// An empty file is a mistake; accepting it would remove the whole fleet.
	if len(file.Docs) == 0 || file.Docs[0].Body == nil || file.Docs[0].Body.Type() == ast.NullType {
		return Document{}, file, errors.New("the text holds no document")
	}
	// Decoding from the syntax tree avoids parsing the text again.
	decoder := yaml.NewDecoder(bytes.NewReader(nil), yaml.Strict())
	err = decoder.DecodeFromNode(file.Docs[0].Body, &d)
	return d, file, err
}

// UnmarshalYAML parses a duration. It takes the node and not its text, so that
// errors have a position.
func (d *Duration) UnmarshalYAML(n ast.Node) error {
	text := n.GetToken().Value
	if err := d.UnmarshalText([]byte(text)); err != nil {
		return &yaml.SyntaxError{Message: fmt.Sprintf("%q is not a duration such as 30s", text), Token: n.GetToken()}
	}
	return nil
}

// problemFromError converts an error of the YAML library. It finds the field by
// the position of the error's token.
func problemFromError(err error, file *ast.File) Problem {
	var e yaml.Error
	if !errors.As(err, &e) || e.GetToken() == nil {
		return Problem{Message: err.Error()}
	}
	p := Problem{Line: e.GetToken().Position.Line, Message: e.GetMessage()}
	walkFields(file, func(field string, n ast.Node) {
		if p.Field == "" && n.GetToken().Position.Offset == e.GetToken().Position.Offset {
			p.Field = field
		}
	})
	return p
}

// fieldLines returns the line of each field of the text, such as "targets[3].url".
func fieldLines(file *ast.File) map[string]int {
	lines := map[string]int{}
	walkFields(file, func(field string, n ast.Node) {
		if _, ok := lines[field]; !ok {
			lines[field] = n.GetToken().Position.Line
		}
	})
	return lines
}

// lineOf returns the line of the field, or of the nearest enclosing field if the
// text omits it, or 0 if there is none.
func lineOf(lines map[string]int, field string) int {
	for field != "" {
		if line, ok := lines[field]; ok {
			return line
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return 0
}

// walkFields calls visit for each key and value of the text, parents before
// children.
func walkFields(file *ast.File, visit func(field string, n ast.Node)) {
	if file == nil {
		return
	}
	for _, doc := range file.Docs {
		if doc.Body != nil {
			walkNode("", doc.Body, visit)
		}
	}
}

func walkNode(field string, n ast.Node, visit func(field string, n ast.Node)) {
	switch o := n.(type) {
	case *ast.MappingNode:
		for _, v := range o.Values {
			walkNode(field, v, visit)
		}
	case *ast.MappingValueNode:
		inner := strings.TrimPrefix(field+"."+o.Key.GetToken().Value, ".")
		visit(inner, o.Key)
		walkNode(inner, o.Value, visit)
	case *ast.SequenceNode:
		for i, v := range o.Values {
			inner := fmt.Sprintf("%s[%d]", field, i)
			visit(inner, v)
			walkNode(inner, v, visit)
		}
	case *ast.TagNode:
		walkNode(field, o.Value, visit)
	case *ast.AnchorNode:
		walkNode(field, o.Value, visit)
	default:
		if n != nil && n.GetToken() != nil {
			visit(field, n)
		}
	}
}
