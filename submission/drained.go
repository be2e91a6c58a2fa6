package submission

import (
	"fmt"
	"strings"

	"rattanline.example/rattanline/config"
)

// KeepDrained returns the document with the drained states of the current version,
// and one line for each state that differed in the document. Files under version
// control do not record drains, so submitting one must neither put a failure
// domain back into service nor take it out.
func KeepDrained(current, d config.Document) (config.Document, string) {
	var kept strings.Builder
	for _, f := range current.FailureDomains {
		submitted, ok := d.FailureDomain(f.Name)
		if !ok || submitted.Drained == f.Drained {
			continue
		}
		d = d.WithDrained(f.Name, f.Drained)
		fmt.Fprintf(&kept, "= failure-domains/%s/drained: %t (kept; only drain and restore change it)\n", f.Name, f.Drained)
	}
	return d, kept.String()
}

// merge returns the document that the request would store as the successor of the
// current version, and one line for each drained state that it keeps.
func (r Request) merge(current config.Document) (config.Document, string) {
	if r.SetsDrained {
		return r.Document, ""
	}
	return KeepDrained(current, r.Document)
}
