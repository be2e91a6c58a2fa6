package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Diff returns the difference between two documents, one line for each value,
// such as "- targets/t1/max-limit: 8" and "+ targets/t1/max-limit: 16". Entries
// are matched by name; their order and the document's version are ignored. The
// result is empty for equal documents.
func Diff(before, after Document) string {
	old, changed := flatten(before), flatten(after)
	fields := map[string]bool{}
	for f := range old {
		fields[f] = true
	}
	for f := range changed {
		fields[f] = true
	}
	var b strings.Builder
	for _, f := range slices.Sorted(maps.Keys(fields)) {
		for _, v := range missing(old[f], changed[f]) {
			fmt.Fprintf(&b, "- %s: %s\n", f, v)
		}
		for _, v := range missing(changed[f], old[f]) {
			fmt.Fprintf(&b, "+ %s: %s\n", f, v)
		}
	}
	return b.String()
}

// missing returns the values that others does not contain.
func missing(values, others []string) []string {
	return slices.DeleteFunc(slices.Clone(values), func(v string) bool { return slices.Contains(others, v) })
}

// flatten returns the values of each field by its path. It encodes the document as
// JSON, so that fields added to the document later appear in differences without
// a change here.
func flatten(d Document) map[string][]string {
	fields := map[string][]string{}
	data, err := json.Marshal(d.WithVersion(0))
	if err != nil {
		// Only NaN and infinite numbers can't be encoded; Validate rejects them.
		return map[string][]string{"document": {err.Error()}}
	}
	var tree any
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.UseNumber()
	if err := decoder.Decode(&tree); err != nil {
		return map[string][]string{"document": {err.Error()}}
	}
	flattenInto(fields, "", tree)
	return fields
}

func flattenInto(fields map[string][]string, path string, tree any) {
	switch o := tree.(type) {
	case map[string]any:
		for k, v := range o {
			flattenInto(fields, strings.TrimPrefix(path+"/"+k, "/"), v)
		}
	case []any:
		for _, v := range o {
			inner := path
			if m, ok := v.(map[string]any); ok {
				inner = fmt.Sprintf("%s/%v", path, m["name"])
			}
			flattenInto(fields, inner, v)
		}
	case nil:
	default:
		fields[path] = append(fields[path], fmt.Sprint(o))
	}
}
