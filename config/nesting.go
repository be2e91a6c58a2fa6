package config

import (
	"bytes"
	"fmt"
)

// maxNesting is far above the depth of a document, which is 4.
const maxNesting = 64

// checkNesting rejects deeply nested text before it is parsed, because the parsing
// time of the YAML library grows with the square of the depth: 100,000 opening
// brackets took 26 s. Brackets in comments and strings count too, which only
// affects text that leaves more than 64 of them open.
func checkNesting(data []byte) error {
	brackets, number := 0, 0
	for line := range bytes.Lines(data) {
		number++
		content := bytes.TrimLeft(line, " -?")
		if bytes.Count(line[:len(line)-len(content)], []byte("- ")) > maxNesting {
			return Problems{{Line: number, Message: fmt.Sprintf("more than %d lists are nested", maxNesting)}}
		}
		for _, b := range content {
			switch b {
			case '[', '{':
				brackets++
			case ']', '}':
				brackets = max(brackets-1, 0)
			}
			if brackets > maxNesting {
				return Problems{{Line: number, Message: fmt.Sprintf("more than %d lists or mappings are nested", maxNesting)}}
			}
		}
	}
	return nil
}
