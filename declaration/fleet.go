// Package declaration lets operators declare the configuration in Go, so that
// the compiler checks references and loops replace repetition, and prints the
// YAML that `rattanline submit` takes.
package declaration

import (
	"fmt"
	"io"

	"rattanline.example/rattanline/config"
)

// Fleet collects the declarations of one configuration. The zero value is empty.
type Fleet struct{ document config.Document }

// Document returns the declared document. Its error names the invalid declarations.
func (f *Fleet) Document() (config.Document, error) {
	if err := f.document.Validate(); err != nil {
		return config.Document{}, fmt.Errorf("declaration: %w", err)
	}
	return f.document, nil
}

// Print writes the declared document as YAML.
func (f *Fleet) Print(w io.Writer) error {
	d, err := f.Document()
	if err != nil {
		return err
	}
	text, err := d.Marshal()
	if err != nil {
		return err
	}
	if _, err := w.Write(text); err != nil {
		return fmt.Errorf("print declaration: %w", err)
	}
	return nil
}
