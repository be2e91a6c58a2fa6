package daemon

import (
	"sync/atomic"

	"rattanline.example/rattanline/config"
)

// index caches the config.Index of the configuration in force, because the time to
// build one is proportional to the size of the document.
type index struct {
	load   func() config.Document
	cached atomic.Pointer[config.Index]
}

// get returns the index of the version in force and builds it if the version has
// changed.
func (x *index) get() *config.Index {
	document := x.load()
	if cached := x.cached.Load(); cached != nil && cached.Version() == document.Version {
		return cached
	}
	fresh := config.NewIndex(document)
	x.cached.Store(fresh)
	return fresh
}
