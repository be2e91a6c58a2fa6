package config

import (
	"fmt"
	"strings"
)

// Problem is one error in a document. Line is zero when the document did not
// come from YAML.
type Problem struct {
	Line    int
	Field   string // such as "targets[3].cold-limit"
	Message string
}

// Error implements error.
func (p Problem) Error() string {
	switch {
	case p.Line > 0 && p.Field != "":
		return fmt.Sprintf("line %d: %s: %s", p.Line, p.Field, p.Message)
	case p.Line > 0:
		return fmt.Sprintf("line %d: %s", p.Line, p.Message)
	case p.Field != "":
		return fmt.Sprintf("%s: %s", p.Field, p.Message)
	default:
		return p.Message
	}
}

// Problems is the error for an invalid document. Its text has one line per
// problem.
type Problems []Problem

// maxReportedProblems bounds the length of the error text, because one wrong name
// can make thousands of references invalid.
const maxReportedProblems = 20

// Error implements error.
func (p Problems) Error() string {
	lines := make([]string, 0, maxReportedProblems+1)
	for _, o := range p[:min(len(p), maxReportedProblems)] {
		lines = append(lines, o.Error())
	}
	if more := len(p) - maxReportedProblems; more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more problems", more))
	}
	return strings.Join(lines, "\n")
}
