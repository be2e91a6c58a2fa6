package declaration

import "rattanline.example/rattanline/config"

// FailureDomain refers to a declared failure domain.
type FailureDomain struct{ name string }

// FailureDomain declares a failure domain, which is in service unless Drained is
// given. Print does not reflect drains by `rattanline drain`: declare a drained
// domain with Drained.
func (f *Fleet) FailureDomain(name, region string, options ...DomainOption) FailureDomain {
	d := config.FailureDomain{Name: name, Region: region}
	for _, o := range options {
		o(&d)
	}
	f.document.FailureDomains = append(f.document.FailureDomains, d)
	return FailureDomain{name: name}
}

// DomainOption sets a property of a declared failure domain.
type DomainOption func(*config.FailureDomain)

// Drained takes the failure domain out of service.
func Drained() DomainOption {
	return func(d *config.FailureDomain) { d.Drained = true }
}

// Limits holds the numbers of requests that a target can run concurrently: Cold
// right after a start, Max at any time.
type Limits struct{ Cold, Max int }

// TargetOption sets a property of a declared target.
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

// Leaving excludes the target from new requests.
func Leaving() TargetOption {
	return func(t *config.Target) { t.Leaving = true }
}

// ChecksFencing declares that the target rejects commands with an outdated fencing
// token.
func ChecksFencing() TargetOption {
	return func(t *config.Target) { t.ChecksFencing = true }
}
