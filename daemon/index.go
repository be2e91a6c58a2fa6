package daemon

import (
	"sync/atomic"

	"rattanline.example/rattanline/config"
)

// index caches the prepared lookups of the configuration in force, because
// building them takes time in proportion to the document.
type index struct {
	load   func() config.Document
	cached atomic.Pointer[config.Index]
}

// get returns the lookups of the version in force.
func (x *index) get() *config.Index {
	document := x.load()
	if cached := x.cached.Load(); cached != nil && cached.Version() == document.Version {
		return cached
	}
	fresh := config.NewIndex(document)
	x.cached.Store(fresh)
	return fresh
}
