package config

import (
	"reflect"

	"github.com/pkg/errors"
)

// ErrBaseMismatch is returned by WithDelta if the base of the delta is not the
// version of the document.
var ErrBaseMismatch = errors.New("delta starts at another version")

// Delta is the difference between two versions of the document, without Routes and
// Limits. With thousands of targets it is hundreds of times smaller than the
// document, which matters because every change is sent to every daemon.
type Delta struct {
	Base           uint64
	Version        uint64
	Accounts       Changes[Account]
	Services       Changes[Service]
	FailureDomains Changes[FailureDomain]
	Targets        Changes[Target]
}

// Changes holds the items of one type that were added or changed, and the names of
// those that were removed.
type Changes[T any] struct {
	Changed []T
	Removed []string
}

// DeltaBetween returns the delta that turns the document from into the document to.
func DeltaBetween(from, to Document) Delta {
	return Delta{
		Base:           from.Version,
		Version:        to.Version,
		Accounts:       changes(from.Accounts, to.Accounts, Account.name),
		Services:       changes(from.Services, to.Services, Service.name),
		FailureDomains: changes(from.FailureDomains, to.FailureDomains, FailureDomain.name),
		Targets:        changes(from.Targets, to.Targets, Target.name),
	}
}

// WithDelta returns the document with the delta applied, or ErrBaseMismatch. The
// order of items may differ from that of the original; nothing depends on it.
func (d Document) WithDelta(delta Delta) (Document, error) {
	if d.Version != delta.Base {
		return Document{}, ErrBaseMismatch
	}
	d.Version = delta.Version
	d.Accounts = delta.Accounts.apply(d.Accounts, Account.name)
	d.Services = delta.Services.apply(d.Services, Service.name)
	d.FailureDomains = delta.FailureDomains.apply(d.FailureDomains, FailureDomain.name)
	d.Targets = delta.Targets.apply(d.Targets, Target.name)
	return d, nil
}

func changes[T any](from, to []T, name func(T) string) Changes[T] {
	old := byName(from, name)
	var c Changes[T]
	for _, item := range to {
		if previous, ok := old[name(item)]; !ok || !reflect.DeepEqual(previous, item) {
			c.Changed = append(c.Changed, item)
		}
		delete(old, name(item))
	}
	for _, item := range from {
		if _, removed := old[name(item)]; removed {
			c.Removed = append(c.Removed, name(item))
		}
	}
	return c
}

func byName[T any](items []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(items))
	for _, item := range items {
		m[name(item)] = item
	}
	return m
}

// apply returns the items with the changes applied. Changed items keep their
// position, so that a small delta takes one pass over the items.
func (c Changes[T]) apply(items []T, name func(T) string) []T {
	if len(c.Changed) == 0 && len(c.Removed) == 0 {
		return items
	}
	changed := byName(c.Changed, name)
	removed := make(map[string]bool, len(c.Removed))
	for _, r := range c.Removed {
		removed[r] = true
	}
	result := make([]T, 0, len(items)+len(c.Changed))
	for _, item := range items {
		if removed[name(item)] {
			continue
		}
		if replacement, ok := changed[name(item)]; ok {
			item = replacement
			delete(changed, name(item))
		}
		result = append(result, item)
	}
	for _, item := range c.Changed {
		if _, added := changed[name(item)]; added {
			result = append(result, item)
		}
	}
	return result
}
