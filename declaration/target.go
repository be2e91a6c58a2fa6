package declaration

import "rattanline.example/rattanline/config"

// FailureDomain refers to a declared failure domain.
type FailureDomain struct{ name string }

// FailureDomain declares a failure domain in service. Print doesn't know of
// drains by `rattanline drain`: declare a drained domain with Drained.
func (f *Fleet) FailureDomain(name, region string, options ...DomainOption) FailureDomain {
	d := config.FailureDomain{Name: name, Region: region}
	for _, o := range options {
		o(&d)
	}
	f.document.FailureDomains = append(f.document.FailureDomains, d)
	return FailureDomain{name: name}
}

// DomainOption changes a declared failure domain.
type DomainOption func(*config.FailureDomain)

// Drained takes the failure domain out of service.
func Drained() DomainOption {
	return func(d *config.FailureDomain) { d.Drained = true }
}

// Limits are the numbers of requests that a target can run at once: right after
// a start, and ever.
type Limits struct{ Cold, Max int }

// TargetOption changes a declared target.
type TargetOption func(*config.Target)

// Target declares one server that runs requests of the service.
func (f *Fleet) Target(name string, s Service, d FailureDomain, url string, l Limits, options ...TargetOption) {
	t := config.Target{
		Name: name, Service: s.name, FailureDomain: d.name, URL: url, ColdLimit: l.Cold, MaxLimit: l.Max,
	}
	for _, o := range options {
		o(&t)
	}
	f.document.Targets = append(f.document.Targets, t)
}

// Host names the target's host in the platform's host list.
func Host(name string) TargetOption {
	return func(t *config.Target) { t.Host = name }
}

// Leaving marks a target that gets no new work.
func Leaving() TargetOption {
	return func(t *config.Target) { t.Leaving = true }
}

// ChecksFencing tells that the target rejects commands with an old fencing token.
func ChecksFencing() TargetOption {
	return func(t *config.Target) { t.ChecksFencing = true }
}
