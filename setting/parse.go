package setting

import (
	"fmt"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// Load parses the settings in a file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return Settings{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse parses settings in YAML. It rejects unknown, duplicate and missing
// settings. Its error is a single line. An error of one setting contains the name
// and, if the setting was given, its line.
func Parse(data []byte) (Settings, error) {
	nodes, err := mapping(data)
	if err != nil {
		return Settings{}, err
	}
	var s Settings
	given := map[string]int{}
	for _, n := range nodes {
		name, line := n.Key.GetToken().Value, n.Key.GetToken().Position.Line
		r, ok := find(name)
		if !ok {
			return Settings{}, settingError(line, name, errors.New("unknown setting"))
		}
		if first, ok := given[name]; ok {
			return Settings{}, settingError(line, name, fmt.Errorf("already given on line %d", first))
		}
		given[name] = line
		if err := r.set(&s, n.Value); err != nil {
			return Settings{}, settingError(line, name, err)
		}
	}
	for _, r := range table {
		if given[r.name] > 0 {
			continue
		}
		if r.required {
			return Settings{}, fmt.Errorf("%s: the setting is missing", r.name)
		}
		if err := r.apply(&s); err != nil {
			return Settings{}, settingError(0, r.name, fmt.Errorf("default: %w", err))
		}
	}
	if name, err := s.checkRelations(); err != nil {
		return Settings{}, settingError(given[name], name, err)
	}
	return s, nil
}

// settingError adds the name of the setting and its line to the error. Line is 0 if
// the setting was not given.
func settingError(line int, name string, err error) error {
	if line == 0 {
		return fmt.Errorf("%s (not given): %w", name, err)
	}
	return fmt.Errorf("line %d: %s: %w", line, name, err)
}

func find(name string) (row, bool) {
	for _, r := range table {
		if r.name == name {
			return r, true
		}
	}
	return row{}, false
}

// apply stores the default, which is parsed and checked like a given value.
func (r row) apply(s *Settings) error {
	if r.defaultValue == "" {
		return nil
	}
	nodes, err := mapping([]byte(r.name + ": " + r.defaultValue))
	if err != nil {
		return err
	}
	return r.set(s, nodes[0].Value)
}

// mapping returns the entries of the text, which must be a single YAML mapping.
func mapping(data []byte) ([]*ast.MappingValueNode, error) {
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		var e yaml.Error
		if errors.As(err, &e) && e.GetToken() != nil {
			message, _, _ := strings.Cut(e.GetMessage(), "\n")
			return nil, fmt.Errorf("line %d: %s", e.GetToken().Position.Line, message)
		}
		return nil, fmt.Errorf("parse: %w", err)
	}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return nil, errors.New("the text holds no settings")
	}
	if len(file.Docs) > 1 {
		return nil, errors.New("the text holds more than one YAML document")
	}
	switch o := file.Docs[0].Body.(type) {
	case *ast.MappingNode:
		return o.Values, nil
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{o}, nil
	default:
		return nil, fmt.Errorf("line %d: expected a mapping from names to values", o.GetToken().Position.Line)
	}
}
