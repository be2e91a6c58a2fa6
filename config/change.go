package config

import "slices"

// WithVersion returns the document with the version.
func (d Document) WithVersion(version uint64) Document {
	d.Version = version
	return d
}

// WithDrained returns the document with the drained state of the failure domain
// set. It ignores a domain that the document does not have.
func (d Document) WithDrained(domain string, drained bool) Document {
	d.FailureDomains = slices.Clone(d.FailureDomains)
	for i := range d.FailureDomains {
		if d.FailureDomains[i].Name == domain {
			d.FailureDomains[i].Drained = drained
		}
	}
	return d
}

// WithLeaving returns the document with the leaving state of the target set. It
// ignores a target that the document does not have.
func (d Document) WithLeaving(target string, leaving bool) Document {
	d.Targets = slices.Clone(d.Targets)
	for i := range d.Targets {
		if d.Targets[i].Name == target {
			d.Targets[i].Leaving = leaving
		}
	}
	return d
}

// WithAccount returns the document with the account added or replaced by name.
func (d Document) WithAccount(a Account) Document {
	d.Accounts = with(d.Accounts, a, Account.name)
	return d
}

// WithoutAccount returns the document without the account.
func (d Document) WithoutAccount(name string) Document {
	d.Accounts = without(d.Accounts, name, Account.name)
	return d
}

// WithService returns the document with the service added or replaced by name.
func (d Document) WithService(s Service) Document {
	d.Services = with(d.Services, s, Service.name)
	return d
}

// WithoutService returns the document without the service.
func (d Document) WithoutService(name string) Document {
	d.Services = without(d.Services, name, Service.name)
	return d
}

// WithFailureDomain returns the document with the failure domain added or
// replaced by name.
func (d Document) WithFailureDomain(f FailureDomain) Document {
	d.FailureDomains = with(d.FailureDomains, f, FailureDomain.name)
	return d
}

// WithoutFailureDomain returns the document without the failure domain.
func (d Document) WithoutFailureDomain(name string) Document {
	d.FailureDomains = without(d.FailureDomains, name, FailureDomain.name)
	return d
}

// WithTarget returns the document with the target added or replaced by name.
func (d Document) WithTarget(t Target) Document {
	d.Targets = with(d.Targets, t, Target.name)
	return d
}

// WithoutTarget returns the document without the target.
func (d Document) WithoutTarget(name string) Document {
	d.Targets = without(d.Targets, name, Target.name)
	return d
}

func (a Account) name() string       { return a.Name }
func (s Service) name() string       { return s.Name }
func (f FailureDomain) name() string { return f.Name }
func (t Target) name() string        { return t.Name }

func with[T any](items []T, item T, name func(T) string) []T {
	items = slices.Clone(items)
	i := slices.IndexFunc(items, func(o T) bool { return name(o) == name(item) })
	if i < 0 {
		return append(items, item)
	}
	items[i] = item
	return items
}

func without[T any](items []T, removed string, name func(T) string) []T {
	return slices.DeleteFunc(slices.Clone(items), func(o T) bool { return name(o) == removed })
}
